package engines

import (
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

const (
	// speedGain is the weight of a new sample in the moving means.
	speedGain = 0.1
	// minSamples is the number of samples after which an engine's own means replace those of the group.
	minSamples = 5
	// minPrefillTokens is the number of uncached prompt tokens below which the time to the first token is a poor
	// measure of prefill speed.
	minPrefillTokens = 100
	// defaultPrefillPerToken is the prefill time of one token, in seconds, before any sample.
	defaultPrefillPerToken = 1.0 / 5000
	// defaultCallTime is the duration of a call before any sample.
	defaultCallTime = time.Second
)

// GroupSpeed are moving means over all engines of a group, used for engines that have few samples of their own.
type GroupSpeed struct {
	prefill movingMean
	call    movingMean
}

// CallTime returns the group's mean call duration, and false before the first call has ended.
func (s *GroupSpeed) CallTime() (time.Duration, bool) {
	return time.Duration(s.call.value * float64(time.Second)), s.call.samples > 0
}

type movingMean struct {
	value   float64 // seconds
	samples int
}

func (m *movingMean) add(x float64) {
	m.samples++
	if m.samples == 1 {
		m.value = x
		return
	}
	m.value += speedGain * (x - m.value)
}

type speed struct {
	group   *GroupSpeed
	prefill movingMean
	calls   movingMean
}

func (s *speed) observe(call *inFlightCall, now time.Time, o framework.Outcome) {
	elapsed := now.Sub(call.sent).Seconds()
	s.calls.add(elapsed)
	s.group.call.add(elapsed)
	uncached := o.PromptTokens - o.CachedTokens
	if call.firstToken.IsZero() || uncached < minPrefillTokens {
		return
	}
	perToken := call.firstToken.Sub(call.sent).Seconds() / float64(uncached)
	s.prefill.add(perToken)
	s.group.prefill.add(perToken)
}

func (s *speed) prefillPerToken() float64 {
	switch {
	case s.prefill.samples >= minSamples:
		return s.prefill.value
	case s.group.prefill.samples > 0:
		return s.group.prefill.value
	default:
		return defaultPrefillPerToken
	}
}

func (s *speed) callTime() time.Duration {
	switch {
	case s.calls.samples >= minSamples:
		return time.Duration(s.calls.value * float64(time.Second))
	case s.group.call.samples > 0:
		return time.Duration(s.group.call.value * float64(time.Second))
	default:
		return defaultCallTime
	}
}
