package engines

import (
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

const (
	// failuresToSuspect is the number of failed calls in a row after which an engine gets no new work for a while.
	failuresToSuspect = 2
	// unansweredToSuspect is the number of polls in a row without an answer that does the same.
	unansweredToSuspect = 3
	// maxBackoffDoublings bounds the growth of the pause before probation.
	maxBackoffDoublings = 6
)

// health follows an engine from healthy to suspect or failed, through probation (one call at a time) and back.
type health struct {
	state      framework.Health
	failures   int
	pauses     int
	until      time.Time
	unanswered int
}

func (h *health) succeeded() {
	h.state, h.failures, h.pauses = framework.Healthy, 0, 0
}

// sign notes progress on a call, which ends a suspicion but not a probation.
func (h *health) sign() {
	if h.state == framework.Suspect {
		h.state = framework.Healthy
	}
}

func (h *health) failed(now time.Time, k framework.OutcomeKind, pause time.Duration) {
	h.failures++
	next := framework.Down
	if k == framework.Failed {
		if h.failures < failuresToSuspect && h.state == framework.Healthy {
			return
		}
		next = framework.Suspect
	}
	if now.Before(h.until) && h.state != framework.Probation {
		return // calls sent before the failure was known
	}
	h.state = next
	h.until = now.Add(pause << min(h.pauses, maxBackoffDoublings))
	h.pauses++
}

func (h *health) reachable() { h.unanswered = 0 }

func (h *health) unreachable() { h.unanswered++ }

// at returns the state, with a pause that has ended turned into probation.
func (h *health) at(now time.Time) framework.Health {
	if (h.state == framework.Suspect || h.state == framework.Down) && !now.Before(h.until) {
		h.state = framework.Probation
	}
	if h.state == framework.Healthy && h.unanswered >= unansweredToSuspect {
		return framework.Suspect
	}
	return h.state
}

func (h *health) allows(now time.Time) bool {
	s := h.at(now)
	return s == framework.Healthy || (s == framework.Probation && h.unanswered < unansweredToSuspect)
}
