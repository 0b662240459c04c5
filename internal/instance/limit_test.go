package instance

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/fakes/runner"
)

// limitedServer makes a backend server announce a limit and records when requests arrive while it does.
type limitedServer struct {
	announces atomic.Bool
	mu        sync.Mutex
	arrivals  []time.Time
}

func (l *limitedServer) attach(s *runner.Server, perSecond string) {
	l.announces.Store(true)
	s.Handler = func(w http.ResponseWriter, _ *http.Request, _ string) bool {
		l.mu.Lock()
		l.arrivals = append(l.arrivals, time.Now())
		l.mu.Unlock()
		if l.announces.Load() {
			w.Header().Set("Server-Limit", perSecond)
		}
		return false
	}
}

// busiest returns the largest number of arrivals within the window, among those after the given time.
func (l *limitedServer) busiest(after time.Time, window time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for i, from := range l.arrivals {
		if from.Before(after) {
			continue
		}
		n := 0
		for _, at := range l.arrivals[i:] {
			if at.Sub(from) <= window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// load sends requests at every instance, one at a time at each, and returns the responses to those that were not served.
func (s *site) load(path string, interval, duration time.Duration) []response {
	var mu sync.Mutex
	var failed []response
	var wg sync.WaitGroup
	for _, n := range s.nodes {
		wg.Go(func() {
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
				if a := s.do(n, call{path: path}); a.status != http.StatusOK {
					mu.Lock()
					failed = append(failed, a)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return failed
}

// Guards against servers in need being sent several times the limit that they announce.
func TestAnnouncedLimitHoldsOverAllInstances(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	for range 3 {
		s.start()
	}
	const limit, window = 5, 4 * time.Second
	var limited limitedServer
	limited.attach(s.tools[0], "5.0")
	start := time.Now()
	is.Equal(len(s.load("/read/x", 20*time.Millisecond, 6*time.Second)), 0)
	busiest := limited.busiest(start.Add(time.Second), window)
	t.Logf("at most %d requests in %v", busiest, window)
	is.True(busiest <= limit*4*3/2+5) // the limit holds over all instances
	is.True(busiest >= limit*4/2)     // the server is still used

	limited.announces.Store(false)
	lifted := time.Now()
	is.Equal(len(s.load("/read/x", 20*time.Millisecond, 3*time.Second)), 0)
	is.True(limited.busiest(lifted.Add(time.Second), 2*time.Second) > limit*4) // all is sent again
}

// Load pattern: every server of a service is limited, and clients ask for more than all of them accept.
func TestOverloadOfLimitedServersIsRefused(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	for range 2 {
		s.start()
	}
	const limit, window = 5, 4 * time.Second
	var limited [2]limitedServer
	for i := range limited {
		limited[i].attach(s.tools[i], "5.0")
	}
	start := time.Now()
	refused := s.load("/read/x", 20*time.Millisecond, 6*time.Second)
	is.True(len(refused) > 0)
	for i := range limited {
		busiest := limited[i].busiest(start.Add(time.Second), window)
		t.Logf("server %d: at most %d requests in %v, %d refused in all", i, busiest, window, len(refused))
		is.True(busiest <= limit*4*3/2+5)
		is.True(busiest >= limit*4/2)
	}
	for _, a := range refused {
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.True(a.header.Get("Retry-After") != "")
	}
}
