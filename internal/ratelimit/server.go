package ratelimit

import (
	"context"
	"time"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/backendlimit"
)

const (
	// serverBurstTime is the time for whose requests the bucket of a backend server has room.
	serverBurstTime = 500 * time.Millisecond
	// minServerRate is the rate at which a server is used that announces a limit of zero, in requests per second, so that
	// the end of the limit is noticed.
	minServerRate = 0.1
	// askTimeout bounds the wait for the holder's answer to a request for a single token. It usually comes within a few
	// milliseconds.
	askTimeout = 100 * time.Millisecond
	// serverRetention is how long the state of a server is kept after the last request that asked for it.
	serverRetention = 15 * time.Second
)

// ServerLimit is the limit that a backend server announces for the requests of all instances together.
type ServerLimit struct {
	backendlimit.Server
	RequestsPerSecond float64
	// Cold limits are never exceeded by the share of an instance without a holder. Burst is the size of their bucket.
	Cold  bool
	Burst float64
}

// serverState is what one instance holds of the tokens of a backend server.
type serverState struct {
	tokenState
	// limit is the announced limit in requests per second.
	limit float64
	// cold is set while the server is cold, and burst is then the size of its bucket.
	cold  bool
	burst float64
	// emptyUntil is when the bucket of a cold server is expected to have a token again.
	emptyUntil time.Time
	// used is when a request last asked for a token.
	used time.Time
}

// TakeForServer takes a token that this instance holds for one request to a backend server that limits its requests.
func (l *Limiter) TakeForServer(limit ServerLimit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.server(limit)
	return len(s.waiters) == 0 && s.takeToken(l.now())
}

// AskForServer takes a token for one request to a backend server, if need be from the holder, but does not wait until the
// server's bucket has one: another server may serve the request sooner. Tokens are not requested ahead. Among hundreds of
// instances, those that hold one for a server rarely pick that server before the token expires.
func (l *Limiter) AskForServer(ctx context.Context, limit ServerLimit) bool {
	if l.isEmpty(limit) {
		return false
	}
	s, w := l.waitForServer(limit, true)
	if w == nil {
		return true
	}
	if !l.hasHolder() {
		return l.cancelWait(&s.tokenState, w) == nil
	}
	l.requestExchange()
	return w.wait(ctx, askTimeout) || l.cancelWait(&s.tokenState, w) == nil
}

// AwaitServer is AskForServer for a request that no other server can take: it waits for a token as Admit does.
func (l *Limiter) AwaitServer(ctx context.Context, limit ServerLimit) *Denial {
	s, w := l.waitForServer(limit, false)
	if w == nil {
		return nil
	}
	return l.await(ctx, &s.tokenState, w)
}

// hasHolder reports whether a holder has responded lately, so that an answer can be expected within askTimeout.
func (l *Limiter) hasHolder() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.lastResponse.IsZero() && l.now().Sub(l.lastResponse) <= activeWithin
}

// waitForServer adds a waiter for a token, or takes one that this instance holds and returns no waiter.
func (l *Limiter) waitForServer(limit ServerLimit, brief bool) (*serverState, *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.server(limit)
	if len(s.waiters) == 0 && s.takeToken(l.now()) {
		return s, nil
	}
	w := s.addWaiter(l.now())
	w.brief = brief
	return s, w
}

// server returns the state of a server and records that it is in use. l.mu must be held.
func (l *Limiter) server(limit ServerLimit) *serverState {
	s := l.servers[limit.Server]
	if s == nil {
		s = &serverState{}
		l.servers[limit.Server] = s
	}
	s.setLimit(limit)
	s.used = l.now()
	return s
}

// serverDemands returns the demands for requests to limited servers and drops the states that are out of use. l.mu must be
// held.
func (l *Limiter) serverDemands(now time.Time) []*turnv1.Demand {
	var out []*turnv1.Demand
	for server, s := range l.servers {
		if len(s.waiters) == 0 && now.Sub(s.used) > serverRetention {
			delete(l.servers, server)
			continue
		}
		want := max(int64(len(s.waiters))-s.heldTokens(now), 0)
		if s.cold {
			s.unused = 0
		}
		if want == 0 && s.unused == 0 {
			continue
		}
		out = append(out, &turnv1.Demand{Want: want, Unused: s.unused, Server: &turnv1.ServerLimit{
			Id: server.ID, Incarnation: server.Incarnation, RequestsPerSecond: s.limit, Cold: s.cold, Burst: s.burst,
		}})
		s.unused = 0
	}
	return out
}

// serverBurst returns the size of the bucket of a server with the given limit, in tokens.
func serverBurst(limit float64) float64 { return limit * serverBurstTime.Seconds() }

// grantForServer grants tokens for requests to a backend server. The bucket of a server begins empty, since its limit is no
// promise that it has been idle. h.mu must be held.
func (h *BucketHolder) grantForServer(d *turnv1.Demand, share float64, now time.Time) *turnv1.Grant {
	key := backendlimit.Server{ID: d.Server.Id, Incarnation: d.Server.Incarnation}
	b := h.servers[key]
	if b == nil {
		h.dropUnusedServers(now)
		b = &bucket{filled: now, created: now}
		h.servers[key] = b
	}
	var g *turnv1.Grant
	if d.Server.Cold {
		g = b.grantCold(d.Server.RequestsPerSecond*share, max(d.Server.Burst*share, 1), d.Want, now)
	} else {
		rate := max(d.Server.RequestsPerSecond, minServerRate) * share
		g = b.grant(rate, max(serverBurst(rate), 1), d, now)
		b.rate = rate
	}
	g.Server = &turnv1.ServerLimit{Id: key.ID, Incarnation: key.Incarnation, Cold: d.Server.Cold}
	return g
}

func (h *BucketHolder) dropUnusedServers(now time.Time) {
	for key, b := range h.servers {
		if now.Sub(b.filled) > serverRetention {
			delete(h.servers, key)
		}
	}
}
