package ratelimit

import (
	"time"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/backendlimit"
)

const (
	// coldWindow is the time over which the platform counts the requests to a cold server.
	coldWindow = time.Second
	// ColdSendDelay is the time for which a request may be on its way to a cold server after its token was taken.
	ColdSendDelay = 150 * time.Millisecond
	// coldHolders is the number of holders whose full buckets may be emptied within one coldWindow: the one that holds them
	// and the one that held them before.
	coldHolders = 2
)

// ColdBucket returns the rate and the size of the bucket of a cold server, such that no window of coldWindow has more than
// perSecond*excess+slack requests of all instances. Load pattern: the servers of a data centre come back with empty caches
// while hundreds of instances have requests waiting for them.
//
// The requests of one window took tokens that were granted up to grantTTL and ColdSendDelay before it. A holder grants at
// most a full bucket and what flows in during that time, and the shares of all holders add up to the rate. Both are zero,
// so that nothing is sent, if the bound has no room for one token of each holder.
func ColdBucket(perSecond, excess, slack float64) (rate, burst float64) {
	if excess <= 0 {
		excess = 1
	}
	bound := perSecond*excess + max(slack, 0)
	exposure := (coldWindow + grantTTL + ColdSendDelay).Seconds()
	if perSecond <= 0 || bound <= coldHolders {
		return 0, 0
	}
	rate = min(perSecond, (bound-coldHolders)/exposure)
	return rate, min((bound-rate*exposure)/coldHolders, max(rate*serverBurstTime.Seconds(), 1))
}

// Instances returns the number of instances that the holder last reported, at least one.
func (l *Limiter) Instances() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.instances, 1)
}

// LimitFor returns the limit of a server as it is passed to the Limiter.
func LimitFor(server backendlimit.Server, l backendlimit.Limit) ServerLimit {
	return ServerLimit{Server: server, RequestsPerSecond: l.RequestsPerSecond, Cold: l.Cold, Burst: l.Burst}
}

// setLimit records the limit of a server. Tokens from the time before it was cold are dropped.
func (s *serverState) setLimit(l ServerLimit) {
	if l.Cold && !s.cold {
		s.batches, s.fallback, s.emptyUntil = nil, bucket{}, time.Time{}
	}
	s.cold, s.burst, s.limit = l.Cold, l.Burst, l.RequestsPerSecond
	if !s.cold {
		s.limit = max(s.limit, minServerRate)
	}
}

// accepts reports whether tokens may be used: those that were granted before the server was cold may not.
func (s *serverState) accepts(g *turnv1.Grant) bool { return !s.cold || g.Server.Cold }

// isEmpty reports whether the holder has said that the bucket of a cold server has no token yet, so that asking for one is
// no use.
func (l *Limiter) isEmpty(limit ServerLimit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit.Cold && limit.RequestsPerSecond <= 0 {
		return true
	}
	s := l.servers[limit.Server]
	return limit.Cold && s != nil && s.cold && l.now().Before(s.emptyUntil) && s.heldTokens(l.now()) == 0
}

// noteEmpty records when the bucket of a cold server has a token again. l.mu must be held.
func (l *Limiter) noteEmpty(g *turnv1.Grant) {
	if g.Server == nil || !g.Server.Cold {
		return
	}
	if s := l.servers[backendlimit.Server{ID: g.Server.Id, Incarnation: g.Server.Incarnation}]; s != nil {
		s.emptyUntil = l.now().Add(time.Duration(g.RetryAfterMs) * time.Millisecond)
	}
}

// grantCold fills the bucket of a cold server up to now and takes tokens from it. The time since it was last filled counts
// at the smaller of the rates then and now: another holder may have had the rest in between. Tokens that were not used are
// not returned, since the holder cannot know whether they would be used within the same window again.
func (b *bucket) grantCold(rate, burst float64, want int64, now time.Time) *turnv1.Grant {
	b.tokens = min(b.tokens+min(rate, b.rate)*now.Sub(b.filled).Seconds(), burst)
	b.rate, b.filled = rate, now
	g := &turnv1.Grant{Tokens: max(min(want, int64(b.tokens)), 0)}
	b.tokens -= float64(g.Tokens)
	if g.Tokens < want && rate > 0 {
		g.RetryAfterMs = max(int64((1-min(b.tokens, 0.999))/rate*1000), 1)
	}
	return g
}
