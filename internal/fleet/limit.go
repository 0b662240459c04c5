package fleet

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/backendlimit"
)

// limitState is the limit of a server as this instance knows it, from responses or from other instances.
type limitState struct {
	backendlimit.State
	// since is when this instance learned that the server has a limit, and sent the number of requests that it has sent to
	// the server since.
	since time.Time
	sent  int
}

// update returns the state with the newer of what is known and what is learned now.
func (s limitState) update(learned backendlimit.State, now time.Time) limitState {
	wasLimited := s.Announced
	s.State = s.State.Update(learned)
	if s.Announced != wasLimited {
		s.since, s.sent = now, 0
	}
	return s
}

// LimitChange describes a change of the limit of a server.
type LimitChange struct {
	Before, After backendlimit.Limit
	// For is how long the server has had a limit, and Sent the number of requests that this instance has sent to it since.
	For  time.Duration
	Sent int
}

// UpdateLimit records what is learned about the limit of a server: from one of its responses, or from another instance. It
// reports whether that changed the limit. It does nothing if the server has no entry.
func (f *Fleet) UpdateLimit(server backendlimit.Server, learned backendlimit.State) (LimitChange, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.byID[server.ID]
	if s == nil || s.Incarnation != server.Incarnation {
		return LimitChange{}, false
	}
	now := f.now()
	before := s.limit
	s.limit = before.update(learned, now)
	c := LimitChange{Before: before.Limit, After: s.limit.Limit, Sent: before.sent}
	if before.Announced {
		c.For = now.Sub(before.since)
	}
	if c.Before == c.After {
		return c, false
	}
	f.remember(s, now)
	return c, true
}

// LogLimitChange writes a line on a change of the limit of a server. by names what showed the change, as key and value.
func LogLimitChange(backend string, c LimitChange, by ...any) {
	klog.InfoS("backend server changed its request limit", append(by, "backend", backend, "limited", c.After.Announced,
		"per_second", c.After.RequestsPerSecond, "limited_before", c.Before.Announced, "per_second_before",
		c.Before.RequestsPerSecond, "limited_ms", c.For.Milliseconds(), "sent", c.Sent)...)
}
