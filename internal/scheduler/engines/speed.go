package engines

import (
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

const (
	// speedGain is the weight of a new sample in the moving means.
	speedGain = 0.1
	// ownSamples is the number of samples after which an engine's own speed is used.
	ownSamples = 5
	// leastPrefill is the number of uncached tokens below which the time to the first token says little of speed.
	leastPrefill = 100
	// defaultPerToken is the prefill time of a token, in seconds, before anything is known.
	defaultPerToken = 1.0 / 5000
	// defaultCall is the time of a call before anything is known.
	defaultCall = time.Second
)

// Speeds are the moving means of a whole group, used for engines of which little is known.
type Speeds struct {
	prefill mean
	call    mean
}

// CallTime returns the group's mean time of a call, and false before the first one has ended.
func (s *Speeds) CallTime() (time.Duration, bool) {
	return time.Duration(s.call.value * float64(time.Second)), s.call.samples > 0
}

type mean struct {
	value   float64 // seconds
	samples int
}

func (m *mean) add(x float64) {
	m.samples++
	if m.samples == 1 {
		m.value = x
		return
	}
	m.value += speedGain * (x - m.value)
}

type speed struct {
	group   *Speeds
	prefill mean
	calls   mean
}

func (s *speed) learn(f *flight, now time.Time, o framework.Outcome) {
	took := now.Sub(f.sent).Seconds()
	s.calls.add(took)
	s.group.call.add(took)
	uncached := o.PromptTokens - o.CachedTokens
	if f.firstToken.IsZero() || uncached < leastPrefill {
		return
	}
	perToken := f.firstToken.Sub(f.sent).Seconds() / float64(uncached)
	s.prefill.add(perToken)
	s.group.prefill.add(perToken)
}

func (s *speed) perToken() float64 {
	switch {
	case s.prefill.samples >= ownSamples:
		return s.prefill.value
	case s.group.prefill.samples > 0:
		return s.group.prefill.value
	default:
		return defaultPerToken
	}
}

func (s *speed) call() time.Duration {
	switch {
	case s.calls.samples >= ownSamples:
		return time.Duration(s.calls.value * float64(time.Second))
	case s.group.call.samples > 0:
		return time.Duration(s.group.call.value * float64(time.Second))
	default:
		return defaultCall
	}
}
