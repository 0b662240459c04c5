package gateway

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxPrograms bounds the programs that are remembered.
	maxPrograms = 1 << 12
	// programIdle is the time without a request after which a program counts as ended.
	programIdle = 2 * time.Second
	// quickerGain and slowerGain are the weights of a program that took less or more than the estimate of its route. The
	// estimate stays near the time of the quick ones, so that it does not grow with a congestion.
	quickerGain = 0.3
	slowerGain  = 0.02
)

type programKey struct{ account, program string }

// programState is what this instance has seen of a program.
type programState struct {
	route string
	// began is when its first turn came, zero if that came elsewhere; last is when its last request ended or was refused.
	began, last time.Time
	refused     bool
}

// programMemory remembers the programs that this instance saw lately, and learns how long those of each route take. It sees
// only the requests that come here, so its times are too short rather than too long.
type programMemory struct {
	mu       sync.Mutex
	programs *simplelru.LRU[programKey, *programState]
	// took is the time that quick programs take, by route.
	took map[string]time.Duration
}

func newProgramMemory() *programMemory {
	lru, err := simplelru.NewLRU[programKey, *programState](maxPrograms, nil)
	if err != nil {
		panic(err)
	}
	return &programMemory{programs: lru, took: map[string]time.Duration{}}
}

// lookUp reports whether a program was refused here, and the time that programs of the route take; zero if unknown.
func (m *programMemory) lookUp(k programKey, route string) (refused bool, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p, ok := m.programs.Get(k); ok {
		refused = p.refused
	}
	return refused, m.took[route]
}

// refused records that a request of the program was refused for lack of room.
func (m *programMemory) refused(k programKey, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k.program != "" {
		p := m.state(k)
		p.refused, p.last = true, now
	}
}

// served records that a turn of the program was served from began to ended.
func (m *programMemory) served(k programKey, route string, isFirst bool, began, ended time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k.program == "" {
		return
	}
	p := m.state(k)
	p.route, p.last = route, ended
	if isFirst {
		p.began = began
	}
	m.learnEnded(ended)
}

func (m *programMemory) state(k programKey) *programState {
	p, ok := m.programs.Get(k)
	if !ok {
		p = &programState{}
		m.programs.Add(k, p)
	}
	return p
}

// learnEnded takes the programs that have ended out of the memory. m.mu must be held.
func (m *programMemory) learnEnded(now time.Time) {
	for {
		k, p, ok := m.programs.GetOldest()
		if !ok || now.Sub(p.last) < programIdle {
			return
		}
		m.programs.Remove(k)
		if !p.began.IsZero() {
			m.learn(p.route, p.last.Sub(p.began))
		}
	}
}

func (m *programMemory) learn(route string, took time.Duration) {
	known := m.took[route]
	switch {
	case known == 0:
		m.took[route] = took
	case took < known:
		m.took[route] -= time.Duration(quickerGain * float64(known-took))
	default:
		m.took[route] += time.Duration(slowerGain * float64(took-known))
	}
}
