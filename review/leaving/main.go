// Command leaving shows what clients get that leave before their deadline and close their side of the connection first.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/berylpond/berylpond/review/lab"
)

const (
	partitions = 12
	machines   = 3
	runners    = 6
	slots      = 24
	requests   = 600
	// One client in leavingShare leaves, at half of the objective; work is how long a request takes.
	leavingShare = 5
	objective    = 300 * time.Millisecond
	work         = 250 * time.Millisecond
	deadline     = 2 * time.Second
	inProgress   = 24
)

func configuration() any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "locker-open", "host": lab.Host, "pathPrefix": "/open/", "kind": "non_idempotent", "timeoutMs": deadline.Milliseconds(),
			"goalMs": objective.Milliseconds(), "priority": 2, "service": "kiosk-api", "maxAttempts": 2,
		}},
		"services": []any{map[string]any{"name": "kiosk-api", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{lab.Key}, "priority": 1, "ratePerS": 260, "burstSize": 260}},
	}
}

// answer is what a client has read from its connection. Status is zero if that is no whole answer.
type answer struct {
	status      int
	stamp, body string
	err         error
}

// send sends a request on a connection of its own. A client that leaves ends its side of the connection after a while, as one does
// that closes without a reset, and reads until the other side ends.
func send(m *lab.Machine, id string, leaves bool) answer {
	c, err := net.DialTimeout("tcp", m.Front(), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(deadline)); err != nil {
		return answer{err: err}
	}
	const body = "door 4"
	_, err = fmt.Fprintf(c, "POST /open/9c HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		lab.Host, id, deadline.Milliseconds(), lab.Key, len(body), body)
	if err != nil {
		return answer{err: err}
	}
	if leaves {
		time.Sleep(objective / 2)
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			return answer{err: err}
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode, stamp: resp.Header.Get("Response-Stamp"), body: string(b)}
}

func main() { lab.Run(partitions, run) }

func run(s *lab.Site) (int, error) {
	if err := s.Configure(configuration()); err != nil {
		return 0, err
	}
	for i := range runners {
		r := &lab.Runner{ID: fmt.Sprintf("i-%08x", 0x21000000+i), Service: "kiosk-api", Zone: []string{"giza", "nasr", "shubra"}[i%3], Slots: slots, Work: work}
		if err := s.StartRunner(r); err != nil {
			return 0, err
		}
	}
	if err := s.StartMachines(machines, lab.Limits{MemoryMB: 164, MaxFiles: 8200}); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	served, left, wrong, failed := 0, 0, 0, 0
	var wg sync.WaitGroup
	limit := make(chan struct{}, inProgress)
	for n := range requests {
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			id, m, leaves := lab.NewID(), s.Machines[n%machines], s.Trouble && n%leavingShare == 0
			got := send(m, id, leaves)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case got.status == http.StatusOK && (got.stamp != lab.Stamp(id) || got.body != "done "+id):
				wrong++
				s.Note("MIXED: request %s at %s, leaves %v: %d, stamp %q, body %q", id, m.Name, leaves, got.status, got.stamp, got.body)
			case got.status == http.StatusOK:
				served++
			case leaves && errors.Is(got.err, io.ErrUnexpectedEOF):
				left++
			default:
				failed++
				s.Note("request %s at %s, leaves %v: %d, %v", id, m.Name, leaves, got.status, got.err)
			}
		})
	}
	wg.Wait()
	s.Note("%d requests: %d served, %d left without an answer, %d failed, %d successes without a runner's signature", requests, served, left, failed, wrong)
	switch {
	case wrong > 0:
		return lab.Broken, nil
	case served < requests/2:
		return 0, fmt.Errorf("only %d of %d requests were served", served, requests)
	}
	return lab.Held, nil
}
