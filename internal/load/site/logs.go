package site

import (
	"bufio"
	"encoding/json"
	"os"
	"strings"
)

// Complaint is a line of a daemon's log that must not be there.
type Complaint struct {
	Process string
	Line    string
}

// complaintLine is what a line of the log is told by.
type complaintLine struct {
	Msg string `json:"msg"`
}

// Complaints returns the violated invariants and panics in the logs of all daemons, those that were killed included.
func (s *Site) Complaints() ([]Complaint, error) {
	var out []Complaint
	for _, in := range s.Instances {
		for _, p := range in.history {
			found, err := complaints(p)
			if err != nil {
				return nil, err
			}
			out = append(out, found...)
		}
	}
	return out, nil
}

func complaints(p *Process) ([]Complaint, error) {
	f, err := os.Open(p.log)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []Complaint
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, maxLogLine)
	for sc.Scan() {
		var l complaintLine
		_ = json.Unmarshal(sc.Bytes(), &l)
		if l.Msg == "Invariant violated" || l.Msg == "Request panicked" || strings.HasPrefix(sc.Text(), "panic:") ||
			strings.HasPrefix(sc.Text(), "fatal error:") {
			out = append(out, Complaint{Process: p.Name, Line: sc.Text()})
		}
	}
	return out, sc.Err()
}

// maxLogLine is in bytes.
const maxLogLine = 1 << 20
