// Command descriptors shows what becomes of the daemons' descriptors while runners are replaced one after the other.
package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/berylpond/berylpond/review/lab"
)

const (
	partitions = 12
	machines   = 3
	// maxFiles is the limit of the smaller machines of the pages.
	maxFiles = 3075
	// perService is the number of runners of each of the two services.
	perService = 12
	slots      = 24
	// eachTime is how many runners are replaced at a time over both services, and gap the time between.
	eachTime = 4
	gap      = time.Second
	drain    = 2500 * time.Millisecond
	// busy is the time with replacements, calm that without before the last requests.
	busy, calm = 76 * time.Second, 8 * time.Second
	// wave is the number of requests that a machine has in progress once a second: some at each runner.
	wave = 2 * perService * 16
	work = 60 * time.Millisecond

	timeout  = 2000 * time.Millisecond
	deadline = 3000 * time.Millisecond
	// lastPerMachine is the number of the last requests to each machine.
	lastPerMachine = 20
)

var services = []string{"kiosk-api", "notice-api"}

func configuration() any {
	var routes, list []any
	for _, service := range services {
		routes = append(routes,
			map[string]any{
				"name": service + "-read", "host": lab.Host, "pathPrefix": "/" + service + "/read/", "kind": "idempotent", "timeoutMs": 1200, "goalMs": 150,
				"priority": 2, "service": service, "maxAttempts": 2,
			},
			map[string]any{
				"name": service + "-open", "host": lab.Host, "pathPrefix": "/" + service + "/open/", "kind": "non_idempotent",
				"timeoutMs": timeout.Milliseconds(), "goalMs": 300, "priority": 2, "service": service, "maxAttempts": 2,
			})
		list = append(list, map[string]any{"name": service, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": 1, "routes": routes, "services": list,
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{lab.Key}, "priority": 1, "ratePerS": 4000, "burstSize": 4000}},
	}
}

// fleet is the runners of all services, those that have been there for longest first.
type fleet struct {
	s       *lab.Site
	runners []*lab.Runner
	started int
}

func (f *fleet) start(service string) error {
	f.started++
	r := &lab.Runner{
		ID: fmt.Sprintf("i-%08x", f.started), Service: service, Zone: []string{"giza", "nasr", "shubra"}[f.started%3], Slots: slots, Work: work,
	}
	f.runners = append(f.runners, r)
	return f.s.StartRunner(r)
}

// replace replaces so many runners: the new ones start first, the old ones drain and leave.
func (f *fleet) replace(n int) error {
	old := f.runners[:n]
	f.runners = slices.Clone(f.runners[n:])
	for _, r := range old {
		if err := f.start(r.Service); err != nil {
			return err
		}
		go r.Leave(drain)
	}
	return nil
}

// load sends waves of requests to a machine on connections that the clients keep.
type load struct {
	served, refused, other atomic.Int64
}

func (l *load) run(s *lab.Site, m *lab.Machine, stop <-chan struct{}) {
	c := lab.KeptConnections(wave)
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		for i := range wave {
			go func() {
				got := lab.Send(c, m, lab.Attempt{
					ID: lab.NewID(), Method: http.MethodGet, Path: "/" + services[i%2] + "/read/2f", Deadline: 1200 * time.Millisecond,
				})
				switch got.Status {
				case http.StatusOK:
					l.served.Add(1)
				case http.StatusServiceUnavailable, http.StatusTooManyRequests:
					l.refused.Add(1)
				default:
					l.other.Add(1)
				}
			}()
		}
		select {
		case <-stop:
			return
		case <-t.C:
		}
	}
}

func main() { lab.Run(partitions, run) }

// ownFiles is how many descriptors this program needs for its clients and runners.
const ownFiles = 8000

func run(s *lab.Site) (int, error) {
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil || own.Cur < ownFiles {
		return 0, fmt.Errorf("the clients and the runners need %d descriptors, and may have %d (%v)", ownFiles, own.Cur, err)
	}
	if err := s.Configure(configuration()); err != nil {
		return 0, err
	}
	f := &fleet{s: s}
	for i := range 2 * perService {
		if err := f.start(services[i%2]); err != nil {
			return 0, err
		}
	}
	if err := s.StartMachines(machines, lab.Limits{MemoryMB: 164, MaxFiles: maxFiles}); err != nil {
		return 0, err
	}
	loads := make([]load, machines)
	stop := make(chan struct{})
	for i, m := range s.Machines {
		time.Sleep(time.Second / machines)
		go loads[i].run(s, m, stop)
	}
	note := func() {
		for i, m := range s.Machines {
			l := &loads[i]
			s.Note("%s: %d descriptors of %d; in the last seconds %d requests served, %d refused, %d ended otherwise; %d runners replaced", m.Name,
				m.Descriptors(), maxFiles, l.served.Swap(0), l.refused.Swap(0), l.other.Swap(0), f.started-2*perService)
		}
	}
	for range int(busy / gap) {
		time.Sleep(gap)
		if s.Trouble {
			if err := f.replace(eachTime); err != nil {
				return 0, err
			}
		}
		if int(s.Since().Seconds())%4 == 0 {
			note()
		}
	}
	s.Note("no runner is replaced any more; clients go on")
	for range int(calm / gap) {
		time.Sleep(gap)
		note()
	}
	// The last requests come on connections of their own, while the others go on.
	var late, later, served atomic.Int64
	var wg sync.WaitGroup
	for _, m := range s.Machines {
		c := lab.FreshConnections()
		for i := range lastPerMachine {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				a := lab.Attempt{ID: lab.NewID(), Method: http.MethodPost, Path: "/" + services[i%2] + "/open/9c", Deadline: deadline, Body: []byte("door 4")}
				got := lab.Send(c, m, a)
				s.Note("%s: request %s: %v", m.Name, a.ID, got)
				if got.Status == http.StatusOK {
					served.Add(1)
				}
				if got.Took > timeout {
					late.Add(1)
				}
				if got.Took > timeout+500*time.Millisecond {
					later.Add(1)
				}
			})
		}
	}
	wg.Wait()
	close(stop)
	note()
	for _, m := range s.Machines {
		s.Note("%s: ended %v, ready %v", m.Name, m.HasEnded(), m.IsReady())
	}
	s.Note("of %d last requests %d were served; %d had no answer at the route's timeoutMs, %d of these none half a second later",
		machines*lastPerMachine, served.Load(), late.Load(), later.Load())
	if late.Load() > 0 && 2*later.Load() > late.Load() {
		return lab.Broken, nil
	}
	return lab.Held, nil
}
