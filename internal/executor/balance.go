package executor

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/berylpond/berylpond/internal/verdict"
)

// suspectFor is how long a backend server that failed is used only when no other is left.
const suspectFor = 2 * time.Second

// balance spreads calls over the backend servers of plain services: the less loaded of two random ones, by what this
// instance has in flight itself.
type balance struct {
	now func() time.Time

	mu    sync.Mutex
	state map[string]*backendState
}

type backendState struct {
	inFlight     int
	suspectUntil time.Time
}

func newBalance() *balance {
	return &balance{now: time.Now, state: map[string]*backendState{}}
}

// pick returns a backend server that is not in avoid.
func (b *balance) pick(addrs, avoid []string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var good, suspect []string
	now := b.now()
	for _, a := range addrs {
		switch s := b.state[a]; {
		case slices.Contains(avoid, a):
		case s != nil && now.Before(s.suspectUntil):
			suspect = append(suspect, a)
		default:
			good = append(good, a)
		}
	}
	if len(good) == 0 {
		good = suspect
	}
	if len(good) == 0 {
		return "", false
	}
	first, second := good[rand.IntN(len(good))], good[rand.IntN(len(good))]
	if b.load(second) < b.load(first) {
		return second, true
	}
	return first, true
}

// load returns the calls in flight. b.mu is held.
func (b *balance) load(addr string) int {
	if s := b.state[addr]; s != nil {
		return s.inFlight
	}
	return 0
}

// begin counts a call in flight until the returned function is called with its end.
func (b *balance) begin(addr string) func(error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state[addr]
	if s == nil {
		s = &backendState{}
		b.state[addr] = s
	}
	s.inFlight++
	return func(err error) { b.end(s, err) }
}

func (b *balance) end(s *backendState, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.inFlight--
	if err == nil {
		return
	}
	switch verdict.From(err).Reason {
	case verdict.ReasonNoBackend, verdict.ReasonBackendFailed, verdict.ReasonBackendSilent:
		s.suspectUntil = b.now().Add(suspectFor)
	}
}
