// Command histories shows what memory the daemons take for programs with long histories whose sub-agents run at the same time.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/berylpond/berylpond/review/lab"
)

const (
	partitions = 12
	machines   = 3
	// programs have turns turns each before their sub-agents start, agents of them at once, rounds times.
	programs, turns, agents, rounds = 4, 4, 3, 8
	roundGap                        = 6 * time.Second
	// documentBytes is the input of the turns before the sub-agents, within bodyBytes; usualBytes is that of all others.
	documentBytes, usualBytes = 4_000_000, 17_000
	bodyBytes                 = 4 << 20
	// A day has a fault if so many processes end on a tenth of the machines, and on two at least.
	tooManyEnds, tooManyMachines = 3, 2
)

func configuration() any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "dispute", "host": lab.Host, "pathPrefix": "/dispute/", "kind": "streaming", "timeoutMs": 5000, "goalMs": 250, "priority": 0,
			"service": "model-pool", "maxAttempts": 2, "retain": true, "retainS": 60, "public": false, "affinity": true, "resumable": false,
			"gapTargetMs": 400,
		}},
		"services": []any{map[string]any{
			"name": "model-pool", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kvCapacity": 1251740, "chunkTokens": 14, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{lab.Key}, "priority": 1, "ratePerS": 260, "burstSize": 260}},
	}
}

// client sends the turns of one program.
type client struct {
	s       *lab.Site
	http    *http.Client
	program string
}

// turn sends a turn, up to twice again from its start with one retry each time, each attempt at another machine. It returns the id
// of the attempt that was answered whole.
func (c *client) turn(session, previous string, input []byte, first int) (id string, ok bool) {
	for n := range 6 {
		a := lab.Attempt{
			ID: lab.NewID(), Method: http.MethodPost, Path: "/dispute/7", Deadline: 5 * time.Second, Body: input, Header: map[string]string{
				"Model": "m", "Program-Id": c.program, "Session-Id": session, "Finish-Ms": "60000", "Token-Budget": "47040",
				"Token-Usage": fmt.Sprintf("%d,56", len(input)/4), "Prompt-Prefix": fmt.Sprintf("%s:%d", session, len(input)/4),
			},
		}
		if previous != "" {
			a.Header["Previous-Turn"] = previous
		}
		m := c.s.Machines[(first+n)%machines]
		got := lab.Send(c.http, m, a)
		c.s.Note("program %s, turn of %d bytes after %q, attempt %s at %s: %v", c.program, len(input), previous, a.ID, m.Name, got)
		if got.Err == nil && got.Status == http.StatusOK {
			return a.ID, true
		}
		time.Sleep(min(max(got.RetryAfter, 100*time.Millisecond), 1600*time.Millisecond))
	}
	return "", false
}

func main() { lab.Run(partitions, run) }

func run(s *lab.Site) (int, error) {
	if err := s.Configure(configuration()); err != nil {
		return 0, err
	}
	for i := range 9 {
		r := &lab.Runner{
			ID: fmt.Sprintf("i-%08x", 0x7f3a0000+i), Service: "model-pool", Zone: []string{"giza", "nasr", "shubra"}[i%3], Slots: 64, Events: 4,
			Work: 400 * time.Millisecond,
		}
		if err := s.StartRunner(r); err != nil {
			return 0, err
		}
	}
	if err := s.StartMachines(machines, lab.Limits{MemoryMB: 164, MaxFiles: 8200}); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	s.LimitMemory()
	size := usualBytes
	if s.Trouble {
		size = documentBytes
	}
	previous := make([]string, programs)
	clients := make([]*client, programs)
	for p := range programs {
		clients[p] = &client{s: s, http: lab.FreshConnections(), program: lab.NewID()}
		for i := range turns {
			id, ok := clients[p].turn("77d20b", previous[p], make([]byte, size), p+i)
			if !ok {
				return 0, fmt.Errorf("turn %d of a program alone was not answered whole", i)
			}
			previous[p] = id
		}
	}
	ends := func() (all []int) {
		for _, m := range s.Machines {
			all = append(all, m.Ends())
		}
		return all
	}
	s.Note("%d programs have %d turns of %d bytes each; processes that were over their memory so far: %v", programs, turns, size, ends())
	for round := range rounds {
		began := time.Now()
		var wg sync.WaitGroup
		for p, c := range clients {
			for i := range agents {
				wg.Go(func() { c.turn(fmt.Sprintf("%08x", round<<8|i), previous[p], make([]byte, usualBytes), p+i) })
			}
		}
		wg.Wait()
		s.Note("round %d of sub-agents: processes that were over their memory so far: %v", round+1, ends())
		time.Sleep(roundGap - time.Since(began))
	}
	faulty := 0
	for _, n := range ends() {
		if n >= tooManyEnds {
			faulty++
		}
	}
	if faulty >= tooManyMachines {
		return lab.Broken, nil
	}
	return lab.Held, nil
}
