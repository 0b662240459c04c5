package executor

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/berylpond/berylpond/internal/verdict"
)

// suspectDuration is how long a failed backend server is used only if no other is available.
const suspectDuration = 2 * time.Second

// balancer distributes calls over the backend servers of plain services: it picks the less loaded of two random
// servers, counting only the calls that this instance has in flight.
type balancer struct {
	now func() time.Time

	mu       sync.Mutex
	backends map[string]*backendState
}

type backendState struct {
	inFlight     int
	suspectUntil time.Time
}

func newBalancer() *balancer {
	return &balancer{now: time.Now, backends: map[string]*backendState{}}
}

// pick returns the address of a server that is not in exclude, and false if there is none.
func (b *balancer) pick(addrs, exclude []string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var healthy, suspect []string
	now := b.now()
	for _, a := range addrs {
		switch s := b.backends[a]; {
		case slices.Contains(exclude, a):
		case s != nil && now.Before(s.suspectUntil):
			suspect = append(suspect, a)
		default:
			healthy = append(healthy, a)
		}
	}
	if len(healthy) == 0 {
		healthy = suspect
	}
	if len(healthy) == 0 {
		return "", false
	}
	first, second := healthy[rand.IntN(len(healthy))], healthy[rand.IntN(len(healthy))]
	if b.load(second) < b.load(first) {
		return second, true
	}
	return first, true
}

// load returns the number of calls in flight. b.mu must be held.
func (b *balancer) load(addr string) int {
	if s := b.backends[addr]; s != nil {
		return s.inFlight
	}
	return 0
}

// begin counts a call as in flight until the returned function is called with the call's error.
func (b *balancer) begin(addr string) func(error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.backends[addr]
	if s == nil {
		s = &backendState{}
		b.backends[addr] = s
	}
	s.inFlight++
	return func(err error) { b.end(s, err) }
}

func (b *balancer) end(s *backendState, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.inFlight--
	if err == nil {
		return
	}
	switch verdict.From(err).Reason {
	case verdict.ReasonNoBackend, verdict.ReasonBackendFailed, verdict.ReasonBackendSilent:
		s.suspectUntil = b.now().Add(suspectDuration)
	}
}
