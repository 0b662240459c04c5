// Command longturn shows what becomes of a conversation while one of its turns takes longer than turns are kept.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/berylpond/berylpond/review/lab"
)

const (
	partitions = 12
	machines   = 3
	keep       = 60 * time.Second
	// timeoutBefore and timeoutAfter are the route's timeouts before and after the change of the configuration.
	timeoutBefore, timeoutAfter = 5 * time.Second, 110 * time.Second
	// pause is the time between two events, within gapTargetMs.
	pause                   = 300 * time.Millisecond
	shortEvents, longEvents = 4, 300
	// count is the number of conversations that are looked at.
	count = 40
)

func configuration(version int, timeout time.Duration) any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "dispute", "host": lab.Host, "pathPrefix": "/dispute/", "kind": "streaming", "timeoutMs": timeout.Milliseconds(), "goalMs": 250,
			"priority": 0, "service": "model-pool", "maxAttempts": 2, "retain": true, "retainS": keep.Seconds(), "public": false, "affinity": true,
			"resumable": false, "gapTargetMs": 400,
		}},
		"services": []any{map[string]any{
			"name": "model-pool", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kvCapacity": 1251740, "chunkTokens": 14, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{lab.Key}, "priority": 1, "ratePerS": 260, "burstSize": 260}},
	}
}

// model is a model runner that keeps what it was sent.
type model struct {
	id string

	mu     sync.Mutex
	bodies map[string][]byte
}

// data is the data of an event.
func data(id string, n int) string { return fmt.Sprintf("%s says %d", id, n) }

// eventsOf is the number of events of a request: what the client asks for with the end of its path.
func eventsOf(path string) int {
	if strings.HasSuffix(path, "/long") {
		return longEvents
	}
	return shortEvents
}

func (m *model) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	if e := r.Header.Get("Expect-Instance"); e != "" && e != m.id {
		w.Header().Set("Instance-Id", m.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.mu.Lock()
	m.bodies[id] = body
	m.mu.Unlock()
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Stamp", lab.Stamp(id))
	w.Header().Set("Content-Type", "text/event-stream")
	wait := pause
	if eventsOf(r.URL.Path) == shortEvents {
		wait = 10 * time.Millisecond
	}
	for n := range eventsOf(r.URL.Path) {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, data(id, n+1))
		w.(http.Flusher).Flush()
		time.Sleep(wait)
	}
}

func (m *model) body(id string) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, ok := m.bodies[id]
	return b, ok
}

func startModel(s *lab.Site, id, zone string) (*model, error) {
	l, err := net.Listen("tcp", s.Host()+":8164")
	if err != nil {
		return nil, err
	}
	m := &model{id: id, bodies: map[string][]byte{}}
	go func() { _ = http.Serve(l, m) }()
	entry, err := json.Marshal(map[string]any{
		"service": "model-pool", "addr": l.Addr().String(), "zone": zone, "version": "v1", "slots": 64, "state": "ready", "coldLeftMs": 0, "seq": 1,
		"born": time.Now().UnixMilli(),
	})
	if err != nil {
		return nil, err
	}
	s.Store.PutKeyed("keyed.servers", id, entry)
	return m, nil
}

// conversation is a program of turns that follow one another, with what a runner is to receive before the next input.
type conversation struct {
	program, previous string
	history           []byte
}

// turn sends a turn and returns its id and what its runner is to receive.
func (c *conversation) turn(s *lab.Site, m *lab.Machine, path, input string) (id string, want []byte, got lab.Answer) {
	a := lab.Attempt{
		ID: lab.NewID(), Method: http.MethodPost, Path: path, Deadline: timeoutAfter, Body: []byte(input), Header: map[string]string{
			"Model": "m", "Program-Id": c.program, "Session-Id": "77d20b", "Finish-Ms": "120000", "Token-Budget": "14000", "Token-Usage": "20,4200",
			"Prompt-Prefix": c.program[:8] + ":20",
		},
	}
	if c.previous != "" {
		a.Header["Previous-Turn"] = c.previous
	}
	want = append(bytes.Clone(c.history), input...)
	got = lab.Send(http.DefaultClient, m, a)
	if got.Err == nil && got.Status == http.StatusOK {
		c.previous, c.history = a.ID, want
		for n := range eventsOf(path) {
			c.history = append(c.history, data(a.ID, n+1)+"\n"...)
		}
	}
	return a.ID, want, got
}

func main() { lab.Run(partitions, run) }

func run(s *lab.Site) (int, error) {
	if err := s.Configure(configuration(1, timeoutBefore)); err != nil {
		return 0, err
	}
	var models []*model
	for i, zone := range []string{"giza", "nasr", "shubra"} {
		m, err := startModel(s, fmt.Sprintf("i-%08x", 0x7f3a0000+i), zone)
		if err != nil {
			return 0, err
		}
		models = append(models, m)
	}
	if err := s.StartMachines(machines, lab.Limits{MemoryMB: 164, MaxFiles: 8200}); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	path := "/dispute/short"
	if s.Trouble {
		if err := s.Configure(configuration(2, timeoutAfter)); err != nil {
			return 0, err
		}
		time.Sleep(3 * time.Second)
		path = "/dispute/long"
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { // other clients' programs, one turn each
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			c := &conversation{program: lab.NewID()}
			if _, _, got := c.turn(s, s.Machines[n%machines], "/dispute/short", "another"); got.Status != http.StatusOK {
				s.Note("another client's turn: %v", got)
			}
		}
	})
	conversations := make([]*conversation, count)
	broken, served := 0, 0
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range conversations {
		c := &conversation{program: lab.NewID()}
		all.Go(func() {
			for n, p := range []string{"/dispute/short", path, "/dispute/short"} {
				began := time.Now()
				id, want, got := c.turn(s, s.Machines[(i+n)%machines], p, fmt.Sprintf("input %d of %s; ", n+1, c.program))
				s.Note("program %s, turn %d (%s), took %.1f s: %v", c.program, n+1, id, time.Since(began).Seconds(), got)
				for _, m := range models {
					body, ran := m.body(id)
					if !ran {
						continue
					}
					mu.Lock()
					if served++; !bytes.Equal(body, want) {
						broken++
						s.Note("UNASKED: turn %s names a turn that was answered whole just before; runner %s got %d bytes instead of %d: %.60q", id, m.id,
							len(body), len(want), body)
					}
					mu.Unlock()
				}
				if got.Status != http.StatusOK {
					return
				}
			}
		})
	}
	all.Wait()
	close(stop)
	wg.Wait()
	s.Note("%d turns ran, %d of them without their whole history", served, broken)
	if broken > 0 {
		return lab.Broken, nil
	}
	if served < 2*count {
		return 0, fmt.Errorf("only %d turns ran", served)
	}
	return lab.Held, nil
}
