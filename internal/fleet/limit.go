package fleet

import "time"

// RateLimit is what a server announces about the requests that it accepts.
type RateLimit struct {
	// Announced is false if the server accepts any number of requests.
	Announced bool
	// RequestsPerSecond is the limit for all instances together.
	RequestsPerSecond float64
}

// limitState is the announced limit of a server, as last seen by this instance. The zero value is a server without one.
type limitState struct {
	RateLimit
	// since is when the server announced a limit after it had none, seen when it last announced one.
	since, seen time.Time
	// sent counts the requests that this instance has sent to the server since then.
	sent int
}

// observe returns the state after a response to a request that was sent at the given time. A response without a limit
// lifts the limit only if its request was sent after the last announcement: responses on different connections overtake
// each other.
func (s limitState) observe(l RateLimit, sent, now time.Time) limitState {
	switch {
	case l.Announced && !s.Announced:
		return limitState{RateLimit: l, since: now, seen: now}
	case l.Announced:
		s.RateLimit, s.seen = l, now
		return s
	case s.Announced && sent.After(s.seen):
		return limitState{}
	default:
		return s
	}
}

// LimitChange describes a change of the limit that a server announces.
type LimitChange struct {
	Before, After RateLimit
	// For is how long the server has had a limit, and Sent the number of requests that this instance has sent to it since.
	For  time.Duration
	Sent int
}
