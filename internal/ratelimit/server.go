package ratelimit

import (
	"context"
	"math"
	"time"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

const (
	// serverBurstTime is the time for whose requests the bucket of a backend server has room.
	serverBurstTime = 500 * time.Millisecond
	// minServerRate is the rate at which a server is used that announces a limit of zero, in requests per second, so that
	// the end of the limit is noticed.
	minServerRate = 0.1
	// serverSkew is how many times its even share of a server's limit an instance requests at a time: most requests come
	// from the instances in the server's own data centre.
	serverSkew = 2
	// serverRetention is how long the state of a server is kept after the last request that asked for it.
	serverRetention = 15 * time.Second
)

// Server identifies one incarnation of a backend server.
type Server struct {
	ID          string
	Incarnation int64
}

// ServerLimit is the limit that a backend server announces for the requests of all instances together.
type ServerLimit struct {
	Server
	RequestsPerSecond float64
}

// serverState is what one instance holds of the tokens of a backend server.
type serverState struct {
	accountState
	// limit is the announced limit in requests per second.
	limit float64
	// missed counts the requests that found no token since the last request to the holder.
	missed int64
	// used is when a request last asked for a token.
	used time.Time
}

// TakeForServer takes a token for one request to a backend server that limits its requests. It never waits: with most
// servers of a service unlimited, a request is served sooner by another server. Without a token the next request to the
// holder asks for one.
func (l *Limiter) TakeForServer(limit ServerLimit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.server(limit)
	if len(s.waiters) == 0 && s.takeToken(l.now()) {
		return true
	}
	s.missed++
	return false
}

// AwaitServer is TakeForServer for a request that no other server can take: it waits as Admit does.
func (l *Limiter) AwaitServer(ctx context.Context, limit ServerLimit) *Denial {
	l.mu.Lock()
	s := l.server(limit)
	if len(s.waiters) == 0 && s.takeToken(l.now()) {
		l.mu.Unlock()
		return nil
	}
	w := s.addWaiter(l.now())
	l.mu.Unlock()
	return l.await(ctx, &s.accountState, w)
}

// server returns the state of a server and records that it is in use. l.mu must be held.
func (l *Limiter) server(limit ServerLimit) *serverState {
	s := l.servers[limit.Server]
	if s == nil {
		s = &serverState{}
		l.servers[limit.Server] = s
	}
	s.limit, s.used = max(limit.RequestsPerSecond, minServerRate), l.now()
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
		want := serverWant(s.limit, l.instances, s.missed, int64(len(s.waiters)), s.heldTokens(now))
		s.missed = 0
		if want <= 0 && s.unused == 0 {
			continue
		}
		out = append(out, &turnv1.Demand{Want: want, Unused: s.unused, Server: &turnv1.ServerLimit{
			Id: server.ID, Incarnation: server.Incarnation, RequestsPerSecond: s.limit,
		}})
		s.unused = 0
	}
	return out
}

// serverWant returns the number of tokens to request: one for each waiting request, and for those that went elsewhere up to
// serverSkew even shares of what the limit allows while a grant lives. More would expire unused while other instances
// lack them.
func serverWant(limit float64, instances int, missed, waiting, held int64) int64 {
	share := math.Ceil(serverSkew * limit * grantTTL.Seconds() / float64(max(instances, 1)))
	return max(waiting+min(missed, int64(share))-held, 0)
}

// serverBurst returns the size of the bucket of a server with the given limit, in tokens.
func serverBurst(limit float64) float64 { return limit * serverBurstTime.Seconds() }

// grantForServer grants tokens for requests to a backend server. The bucket of a server begins empty, since its limit is no
// promise that it has been idle. h.mu must be held.
func (h *BucketHolder) grantForServer(d *turnv1.Demand, share float64, now time.Time) *turnv1.Grant {
	key := Server{ID: d.Server.Id, Incarnation: d.Server.Incarnation}
	b := h.servers[key]
	if b == nil {
		h.dropUnusedServers(now)
		b = &bucket{filled: now, created: now}
		h.servers[key] = b
	}
	rate := max(d.Server.RequestsPerSecond, minServerRate) * share
	g := b.grant(rate, max(serverBurst(rate), 1), d, now)
	g.Server = &turnv1.ServerLimit{Id: key.ID, Incarnation: key.Incarnation}
	return g
}

func (h *BucketHolder) dropUnusedServers(now time.Time) {
	for key, b := range h.servers {
		if now.Sub(b.filled) > serverRetention {
			delete(h.servers, key)
		}
	}
}
