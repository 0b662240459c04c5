// Package backendlimit describes the request limits that backend servers announce in their responses.
package backendlimit

import "time"

// Server identifies one incarnation of a backend server. Limits do not outlive it.
type Server struct {
	ID          string
	Incarnation int64
}

// Limit is what a server announces about the requests that it accepts. The zero value is no limit.
type Limit struct {
	Announced bool
	// RequestsPerSecond is the limit for the requests of all instances together.
	RequestsPerSecond float64
	// Cold marks the limit of a server that is cold: no request may be sent without a token of the holder. Burst is the
	// number of tokens for which its bucket has room.
	Cold  bool
	Burst float64
}

// WithCold returns the limit of a server that is cold as well: the smaller of the two.
func (l Limit) WithCold(requestsPerSecond, burst float64) Limit {
	if l.Announced && l.RequestsPerSecond < requestsPerSecond {
		burst = max(burst*l.RequestsPerSecond/requestsPerSecond, min(burst, 1))
		requestsPerSecond = l.RequestsPerSecond
	}
	return Limit{Announced: true, RequestsPerSecond: requestsPerSecond, Cold: true, Burst: burst}
}

// State is the limit of a server as of a time.
type State struct {
	Limit
	AsOf time.Time
}

// Observed returns the state that a response shows, given when its request was sent and when the response arrived. An
// announced limit holds as of the response, the lack of one only as of the request: responses on different connections
// overtake each other, and a limit that is given up too early harms the server.
func Observed(l Limit, sent, received time.Time) State {
	if l.Announced {
		return State{Limit: l, AsOf: received}
	}
	return State{AsOf: sent}
}

// Update returns the newer of the two states.
func (s State) Update(other State) State {
	if other.AsOf.After(s.AsOf) {
		return other
	}
	return s
}
