package engines

import (
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

const (
	// failuresToSuspect is the number of consecutive failed calls after which an engine receives no new calls for a
	// backoff.
	failuresToSuspect = 2
	// failedPollsToSuspect is the number of consecutive polls without a response after which an engine is suspect.
	failedPollsToSuspect = 3
	// maxBackoffDoublings bounds the exponential backoff before probation.
	maxBackoffDoublings = 6
)

// health is the state machine of an engine's health: from healthy to suspect or failed, then after a backoff to
// probation (one call at a time) and back to healthy.
type health struct {
	state        framework.Health
	failures     int
	backoffs     int
	blockedUntil time.Time
	failedPolls  int
}

func (h *health) succeeded() {
	h.state, h.failures, h.backoffs = framework.Healthy, 0, 0
}

// progressed records progress on a call, which ends the state Suspect but not Probation.
func (h *health) progressed() {
	if h.state == framework.Suspect {
		h.state = framework.Healthy
	}
}

func (h *health) failed(now time.Time, k framework.OutcomeKind, backoff time.Duration) {
	h.failures++
	next := framework.EngineFailed
	if k == framework.Failed {
		if h.failures < failuresToSuspect && h.state == framework.Healthy {
			return
		}
		next = framework.Suspect
	}
	if now.Before(h.blockedUntil) && h.state != framework.Probation {
		return // the call was sent before the failure was detected
	}
	h.state = next
	h.blockedUntil = now.Add(backoff << min(h.backoffs, maxBackoffDoublings))
	h.backoffs++
}

func (h *health) reachable() { h.failedPolls = 0 }

func (h *health) unreachable() { h.failedPolls++ }

// current returns the state, after moving an engine whose backoff has ended to probation.
func (h *health) current(now time.Time) framework.Health {
	if (h.state == framework.Suspect || h.state == framework.EngineFailed) && !now.Before(h.blockedUntil) {
		h.state = framework.Probation
	}
	if h.state == framework.Healthy && h.failedPolls >= failedPollsToSuspect {
		return framework.Suspect
	}
	return h.state
}

func (h *health) usable(now time.Time) bool {
	s := h.current(now)
	return s == framework.Healthy || (s == framework.Probation && h.failedPolls < failedPollsToSuspect)
}
