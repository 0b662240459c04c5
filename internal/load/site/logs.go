package site

import (
	"bufio"
	"encoding/json"
	"os"
	"strings"
)

// LogFailure is a line in a daemon's log that shows a violated invariant or a panic.
type LogFailure struct {
	Process string
	Line    string
}

// logLine has the fields by which log lines are classified.
type logLine struct {
	Msg string `json:"msg"`
}

// LogFailures returns the violated invariants and panics in the logs of all daemons, including those that were killed.
func (s *Site) LogFailures() ([]LogFailure, error) {
	var out []LogFailure
	for _, in := range s.Instances {
		for _, p := range in.incarnations {
			found, err := scanLog(p)
			if err != nil {
				return nil, err
			}
			out = append(out, found...)
		}
	}
	return out, nil
}

func scanLog(p *Process) ([]LogFailure, error) {
	f, err := os.Open(p.log)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []LogFailure
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, maxLogLine)
	for sc.Scan() {
		var l logLine
		_ = json.Unmarshal(sc.Bytes(), &l)
		if l.Msg == "Invariant violated" || l.Msg == "Request panicked" || strings.HasPrefix(sc.Text(), "panic:") ||
			strings.HasPrefix(sc.Text(), "fatal error:") {
			out = append(out, LogFailure{Process: p.Name, Line: sc.Text()})
		}
	}
	return out, sc.Err()
}

// maxLogLine is the maximum length of a log line, in bytes.
const maxLogLine = 1 << 20
