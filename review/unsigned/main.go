// Command unsigned shows what clients get when a faulty runner sends bytes that belong to no request.
package main

import (
	"bufio"
	"encoding/json"
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
	requests   = 3000
	// share is the share of its answers that a faulty runner spoils, and runners / 2 the number of faulty runners.
	share   = 0.02
	runners = 4
)

func configuration() any {
	return map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{
				"name": "status-read", "host": lab.Host, "pathPrefix": "/status/", "kind": "idempotent", "timeoutMs": 1200, "goalMs": 150, "priority": 2,
				"service": "kiosk-api", "maxAttempts": 2,
			},
			map[string]any{
				"name": "refund-pay", "host": lab.Host, "pathPrefix": "/pay/", "kind": "non_idempotent", "timeoutMs": 3000, "goalMs": 500, "priority": 2,
				"service": "kiosk-api", "maxAttempts": 1,
			},
		},
		"services": []any{map[string]any{"name": "kiosk-api", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{lab.Key}, "priority": 1, "ratePerS": 2000, "burstSize": 2000}},
	}
}

// faulty is a runner that after some of its answers sends additional bytes on the connection, when the next request has come.
type faulty struct {
	id      string
	s       *lab.Site
	trouble bool

	mu      sync.Mutex
	answers int
	spoilt  int
	ran     map[string]bool
}

// additional are what the runner sends by turns after a complete answer. They are no answers of its own, as they have neither id nor
// signature, nor Not-Run.
var additional = []string{
	"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 21\r\n\r\nbalance: 0 of another",
	"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
}

// next returns what follows the answer that was just sent; it is empty after most.
func (f *faulty) next() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers++
	if !f.trouble || float64(f.spoilt+1) > share*float64(f.answers) {
		return ""
	}
	f.spoilt++
	return additional[f.spoilt%len(additional)]
}

func (f *faulty) run(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ran[id] = true
}

func (f *faulty) hasRun(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran[id]
}

func (f *faulty) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	leftover := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		if leftover != "" {
			f.s.Note("runner %s: additional bytes after the answer before, as request %s arrives: %q", f.id, id, leftover)
			if _, err := io.WriteString(c, leftover); err != nil {
				return
			}
		}
		f.run(id)
		time.Sleep(5 * time.Millisecond)
		body := "done " + id
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", id, lab.Stamp(id), len(body), body)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		leftover = f.next()
	}
}

func (f *faulty) start() error {
	l, err := net.Listen("tcp", f.s.Host()+":8164")
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c)
		}
	}()
	entry, err := json.Marshal(map[string]any{
		"service": "kiosk-api", "addr": l.Addr().String(), "zone": "giza", "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": 1,
		"born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	f.s.Store.PutKeyed("keyed.servers", f.id, entry)
	return nil
}

func main() { lab.Run(partitions, run) }

func run(s *lab.Site) (int, error) {
	if err := s.Configure(configuration()); err != nil {
		return 0, err
	}
	var all []*faulty
	for i := range runners {
		f := &faulty{id: fmt.Sprintf("i-%08x", 0x5a000000+i), s: s, trouble: s.Trouble && i < runners/2, ran: map[string]bool{}}
		if err := f.start(); err != nil {
			return 0, err
		}
		all = append(all, f)
	}
	if err := s.StartMachines(machines, lab.Limits{MemoryMB: 164, MaxFiles: 8200}); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	served, failed, wrong := 0, 0, 0
	var promised []string
	var wg sync.WaitGroup
	for client := range 6 {
		c := lab.KeptConnections(2)
		wg.Go(func() {
			for n := range requests / 6 {
				a := lab.Attempt{ID: lab.NewID(), Method: http.MethodGet, Path: "/status/2f", Deadline: 1200 * time.Millisecond}
				if n%2 == 0 {
					a.Method, a.Path, a.Deadline, a.Body = http.MethodPost, "/pay/77", 3*time.Second, []byte("refund 12.40")
				}
				m := s.Machines[(client+n)%machines]
				got := lab.Send(c, m, a)
				right := got.Stamp == lab.Stamp(a.ID) && string(got.Body) == "done "+a.ID
				mu.Lock()
				switch {
				case got.Err == nil && got.Status == http.StatusServiceUnavailable && a.Method == http.MethodPost:
					promised = append(promised, a.ID)
				case got.Err != nil || got.Status != http.StatusOK:
					failed++
				case right:
					served++
				default:
					wrong++
					s.Note("MIXED: %s %s, request %s at %s: %v: %q", a.Method, a.Path, a.ID, m.Name, got, got.Body)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second) // runners end what they run
	broken := 0
	for _, id := range promised {
		for _, f := range all {
			if f.hasRun(id) {
				broken++
				s.Note("REFUSED: request %s, which may run once at most, was answered 503 and has run at runner %s", id, f.id)
			}
		}
	}
	s.Note("%d requests: %d served, %d failed, %d successes without a runner's signature, %d of %d answered 503 have run", requests, served, failed,
		wrong, broken, len(promised))
	switch {
	case wrong > 0:
		return lab.Broken, nil
	case served < requests/2:
		return 0, fmt.Errorf("only %d of %d requests were served", served, requests)
	}
	return lab.Held, nil
}
