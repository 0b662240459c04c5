// Command fullowner shows what becomes of a conversation whose owner's memory was filled by other conversations that have expired
// since.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/berylpond/berylpond/internal/turnlog"
	"github.com/berylpond/berylpond/review/lab"
)

const (
	partitions = 12
	machines   = 12
	// shortKeep and longKeep are the times for which the turns of the two routes are kept.
	shortKeep, longKeep = 10 * time.Second, 90 * time.Second
	// slack is for how much longer than that the memory of a turn may well be in use: the daemon allows for clocks that differ, and
	// looks for what has expired every 20 s.
	slack = 26 * time.Second

	// agents is how many sub-agents of the program that loops run at once; it is stopped after so many turns without the disruption.
	agents, usualTurns = 4, 20
	// loopBytes is the input of each of its turns, the longest on the sheets; usualBytes is that of others, the mean there.
	loopBytes, usualBytes = 100_000, 17_000
	loopBudget            = 100_000
	bodyBytes             = 4 << 20

	newPrograms = 60
	// tries is the number of attempts of a turn: two, and twice again from its start. enough of them without a runner are LOST.
	tries, enough = 6, 5
)

func configuration() any {
	route := func(name, prefix string, keep time.Duration) map[string]any {
		return map[string]any{
			"name": name, "host": lab.Host, "pathPrefix": prefix, "kind": "streaming", "timeoutMs": 5000, "goalMs": 250, "priority": 0,
			"service": "model-pool", "maxAttempts": 2, "retain": true, "retainS": keep.Seconds(), "public": false, "affinity": true,
			"resumable": false, "gapTargetMs": 400,
		}
	}
	return map[string]any{
		"version": 1,
		"routes":  []any{route("lookup", "/lookup/", shortKeep), route("dispute", "/dispute/", longKeep)},
		"services": []any{map[string]any{
			"name": "model-pool", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kvCapacity": 1251740, "chunkTokens": 14, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{lab.Key}, "priority": 1, "ratePerS": 260, "burstSize": 260}},
	}
}

// program is a client's program of turns that follow one another.
type program struct {
	id, session, path string
	budget            int
	previous          string
	// answered is when the previous turn was answered whole.
	answered time.Time
	turns    int
}

func (p *program) partition() int { return turnlog.PartitionOf(p.id, partitions) }

// turn sends the next turn, with so many attempts at most, each at another machine, and returns the number of those that were not
// answered whole while the previous turn was kept. It returns false if none was answered whole.
func (p *program) turn(s *lab.Site, c *http.Client, input []byte, first, most int) (failed int, ok bool) {
	for n := range most {
		a := lab.Attempt{
			ID: lab.NewID(), Method: http.MethodPost, Path: p.path, Deadline: 5 * time.Second, Body: input, Header: map[string]string{
				"Model": "m", "Program-Id": p.id, "Session-Id": p.session, "Finish-Ms": "60000", "Token-Budget": strconv.Itoa(p.budget),
				"Token-Usage": fmt.Sprintf("%d,56", len(input)), "Prompt-Prefix": fmt.Sprintf("%s:%d", p.session, len(input)),
			},
		}
		if p.previous != "" {
			a.Header["Previous-Turn"] = p.previous
		}
		m := s.Machines[(first+n)%len(s.Machines)]
		got := lab.Send(c, m, a)
		s.Note("program %s (partition %d) turn %d, attempt %s at %s, previous %q: %v", p.id, p.partition(), p.turns+1, a.ID, m.Name, p.previous, got)
		if got.Err == nil && got.Status == http.StatusOK {
			p.previous, p.answered = a.ID, time.Now()
			p.turns++
			return failed, true
		}
		// An attempt that was refused promises not to run, and the runners tell that it has not.
		if time.Since(p.answered) < longKeep && !p.ran(a.ID) {
			failed++
		}
		time.Sleep(min(max(got.RetryAfter, 100*time.Millisecond), 1600*time.Millisecond))
	}
	return failed, false
}

// ran reports whether an attempt has run at a runner.
func (p *program) ran(id string) bool {
	for _, r := range runners {
		if r.Ran(id) > 0 {
			return true
		}
	}
	return false
}

var runners []*lab.Runner

func newProgram(ids *rand.Rand, path string) *program {
	return &program{id: fmt.Sprintf("%014x", ids.Uint64()>>8), session: fmt.Sprintf("%08x", ids.Uint32()), path: path, budget: 4704}
}

func main() { lab.Run(partitions, run) }

func run(s *lab.Site) (int, error) {
	if err := s.Configure(configuration()); err != nil {
		return 0, err
	}
	for i := range 9 {
		r := &lab.Runner{
			ID: fmt.Sprintf("i-%08x", 0x7f3a0000+i), Service: "model-pool", Zone: []string{"giza", "nasr", "shubra"}[i%3], Slots: 64, Events: 4,
			Work: 40 * time.Millisecond,
		}
		if err := s.StartRunner(r); err != nil {
			return 0, err
		}
		runners = append(runners, r)
	}
	if err := s.StartMachines(machines, lab.Limits{MemoryMB: 164, MaxFiles: 8200}); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second) // the partitions have found their owners, and the machines are in touch
	c := lab.FreshConnections()
	ids := rand.New(rand.NewPCG(14, 43))

	var talks []*program
	for i := range 2 * partitions {
		p := newProgram(ids, "/dispute/7")
		if _, ok := p.turn(s, c, make([]byte, usualBytes), i, tries); !ok {
			return 0, fmt.Errorf("program %s could not begin on a quiet site", p.id)
		}
		talks = append(talks, p)
	}
	s.Note("%d conversations have begun", len(talks))

	// The program that loops: its first turn, then sub-agents that go on from that one, again and again until it is stopped.
	parent := newProgram(ids, "/lookup/2")
	parent.budget = loopBudget
	if _, ok := parent.turn(s, c, make([]byte, loopBytes), 0, tries); !ok {
		return 0, fmt.Errorf("the program that loops could not begin")
	}
	var wg sync.WaitGroup
	var turns atomic.Int64
	for agent := range agents {
		wg.Go(func() {
			for n := 0; s.Trouble || n < usualTurns/agents; n++ {
				p := *parent
				p.session = fmt.Sprintf("%04x%04x", agent, n)
				if _, ok := p.turn(s, c, make([]byte, loopBytes), agent+n, tries); !ok {
					return
				}
				turns.Add(1)
			}
		})
	}
	wg.Wait()
	s.Note("the program that loops, in partition %d, is stopped after %d turns of %d bytes", parent.partition(), turns.Load(), loopBytes)
	time.Sleep(shortKeep + slack)
	s.Note("all turns of the route that keeps them for %v have expired", shortKeep)

	for _, r := range runners {
		r.Most()
	}
	lost := 0
	var mu sync.Mutex
	for i, p := range talks {
		wg.Go(func() {
			if failed, ok := p.turn(s, c, make([]byte, usualBytes), i, tries); !ok && failed >= enough {
				mu.Lock()
				lost++
				mu.Unlock()
				s.Note("LOST: program %s, turn %s answered whole less than %v ago: its next turn reached no runner in %d attempts", p.id, p.previous,
					longKeep, failed)
			}
		})
	}
	began := 0
	for i := range newPrograms {
		wg.Go(func() {
			p := newProgram(rand.New(rand.NewPCG(uint64(i), 7)), "/dispute/7")
			if _, ok := p.turn(s, c, make([]byte, usualBytes), i, tries); ok {
				mu.Lock()
				began++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	most := 0
	for _, r := range runners {
		most = max(most, r.Most())
	}
	s.Note("%d of %d conversations were lost; %d of %d new programs began; no runner had more than %d of 64 places taken", lost, len(talks), began,
		newPrograms, most)
	for _, m := range s.Machines {
		answer := lab.Send(c, m, lab.Attempt{ID: lab.NewID(), Method: http.MethodPost, Path: "/dispute/7", Deadline: 5 * time.Second, Body: []byte("x"),
			Header: map[string]string{"Program-Id": lab.NewID(), "Token-Budget": "4704", "Token-Usage": "1,56"}})
		s.Note("%s: ended %v, ready %v, a new program there: %v", m.Name, m.HasEnded(), m.IsReady(), answer)
	}
	switch {
	case s.Since() > 110*time.Second:
		return 0, fmt.Errorf("the machine is too slow for this case")
	case lost == 0:
		return lab.Held, nil
	case 10*began < 9*newPrograms || most > 32:
		return 0, fmt.Errorf("%d of %d new programs began, %d places taken: the rule excuses this", began, newPrograms, most)
	}
	return lab.Broken, nil
}
