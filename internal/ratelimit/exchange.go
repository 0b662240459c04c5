package ratelimit

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/backendlimit"
)

const (
	// heartbeat is the maximum interval between two requests to the holder. The holder uses them to count the instances
	// that it serves.
	heartbeat = 350 * time.Millisecond
	// takeTimeout bounds a request to the holder.
	takeTimeout = 250 * time.Millisecond
	// fallbackAfter is the time without a response from a holder after which an instance uses a fraction of its own share
	// of each rate. It is longer than activeWithin, after which the holder no longer counts the instance as served.
	fallbackAfter = 1300 * time.Millisecond
	// minExchangeInterval is the minimum delay between two requests to the holder.
	minExchangeInterval = 10 * time.Millisecond
	// retryDelay is the delay after a request that failed or was sent to an instance that is not the holder.
	retryDelay = 50 * time.Millisecond
	// demandGain is the weight of the newest interval in the exponential moving average of an account's demand.
	demandGain = 0.3
)

// Run sends requests to the holder until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	t := time.NewTimer(heartbeat)
	defer t.Stop()
	for {
		t.Reset(heartbeat)
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-t.C:
		}
		delay := minExchangeInterval
		if !l.exchange(ctx) {
			delay = retryDelay
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		if l.hasWaiters() {
			l.requestExchange()
		}
	}
}

func (l *Limiter) hasWaiters() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.states {
		if len(s.waiters) > 0 {
			return true
		}
	}
	for _, s := range l.servers {
		if len(s.waiters) > 0 {
			return true
		}
	}
	return false
}

// exchange sends one request to the holder and distributes the granted tokens. It reports whether the holder granted.
func (l *Limiter) exchange(ctx context.Context) bool {
	holder := l.currentHolder()
	l.leave(ctx, holder)
	sent := l.now()
	r := l.buildRequest(holder)
	if l.Suspects != nil {
		l.Suspects.Report(holder, r)
	}
	if l.Loads != nil {
		l.Loads.Report(holder, r)
	}
	resp, err := l.sendTake(ctx, holder, r)
	if err != nil || resp.Outcome != turnv1.Outcome_OUTCOME_OK {
		l.repeatReports(r)
		if l.Suspects != nil {
			l.Suspects.ReportFailed(r)
		}
		if l.Loads != nil {
			l.Loads.ReportFailed(r)
		}
		l.recordRelease(resp)
		l.grantFallback()
		return false
	}
	l.recordResponse(resp, sent)
	l.learnLimits(resp)
	if l.Suspects != nil {
		l.Suspects.Learn(resp)
	}
	if l.Loads != nil {
		l.Loads.Learn(resp)
	}
	return true
}

// recordResponse records that the holder has responded to a request that was sent at the given time, and distributes the
// granted tokens.
func (l *Limiter) recordResponse(resp *turnv1.TakeResponse, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if resp.Holder != l.servedBy {
		klog.InfoS("holder of the buckets changed", "from", l.servedBy, "to", resp.Holder, "instances", resp.Instances,
			"last_answer_ms", l.sinceResponse().Milliseconds())
		l.previous = formerHolder{holder: l.servedBy, at: l.lastResponse}
	}
	l.inFallback = false
	l.lastResponse, l.servedBy, l.instances = l.now(), resp.Holder, int(resp.Instances)
	l.limitsRevision = resp.LimitsRevision
	for _, g := range resp.Grants {
		l.distribute(g, sent)
	}
}

// distribute hands the tokens of a grant to the requests that wait for them and keeps the rest. The time to live of a grant
// starts when the request for it was sent, which is before the holder can have made it.
func (l *Limiter) distribute(g *turnv1.Grant, sent time.Time) {
	s := l.grantee(g)
	if s == nil {
		return
	}
	s.fallback = bucket{}
	s.retryAfter = time.Duration(g.RetryAfterMs) * time.Millisecond
	s.newProgramsFrom = l.lastResponse.Add(time.Duration(g.ProgramsAfterMs) * time.Millisecond)
	if g.Tokens > 0 {
		s.batches = append(s.batches, tokenBatch{tokens: g.Tokens, expires: sent.Add(grantTTL)})
	}
	s.grantWaiters(l.now())
	l.noteEmpty(g)
	farOff := g.RetryAfterMs > 0 && s.retryAfter > maxWait
	s.refuseWaiters(func(w *waiter) bool { return farOff || w.brief && !w.since.After(sent) })
}

// grantee returns the state that a grant is for, or nil if it was dropped meanwhile.
func (l *Limiter) grantee(g *turnv1.Grant) *tokenState {
	if g.Server == nil {
		return l.state(g.Account)
	}
	s := l.servers[backendlimit.Server{ID: g.Server.Id, Incarnation: g.Server.Incarnation}]
	if s != nil && s.accepts(g) {
		return &s.tokenState
	}
	return nil
}

// currentHolder returns the current holder. While none is known it returns the last one, which may still serve.
func (l *Limiter) currentHolder() string {
	if a := l.client.Holder(); a != "" {
		return a
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servedBy
}

func (l *Limiter) sendTake(ctx context.Context, holder string, r *turnv1.TakeRequest) (*turnv1.TakeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	return l.client.Take(ctx, holder, r)
}

// leave tells the last holder that this instance moves to the next one. Until the last one has responded, the next one
// regards this instance as served elsewhere and grants nothing for its share.
func (l *Limiter) leave(ctx context.Context, next string) {
	l.mu.Lock()
	former, age := l.servedBy, l.now().Sub(l.lastResponse)
	l.mu.Unlock()
	if former == "" || former == next || age > activeWithin {
		return
	}
	if resp, err := l.sendTake(ctx, former, &turnv1.TakeRequest{Instance: l.self, Leaving: true}); err == nil {
		l.recordRelease(resp)
	}
}

// recordRelease records that a former holder no longer serves this instance.
func (l *Limiter) recordRelease(resp *turnv1.TakeResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case resp == nil:
	case resp.Holder == l.servedBy:
		l.servedBy = ""
	case resp.Holder == l.previous.holder:
		l.previous.holder = ""
	}
}

// buildRequest returns a request to the holder with the demand of every account.
func (l *Limiter) buildRequest(holder string) *turnv1.TakeRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if holder != l.servedBy {
		l.limitsRevision = 0
	}
	r := &turnv1.TakeRequest{
		Instance: l.self, Known: l.members(),
		ServedBy: l.servedBy, ServedMsAgo: now.Sub(l.lastResponse).Milliseconds(),
		ServedBefore: l.previous.holder, ServedBeforeMsAgo: now.Sub(l.previous.at).Milliseconds(),
		Observed: l.limitReports(now), LimitsRevision: l.limitsRevision,
	}
	for name, s := range l.states {
		if elapsed := now.Sub(s.demandUpdated); elapsed >= prefetchWindow/2 {
			s.demand += demandGain * (float64(s.arrivals)/elapsed.Seconds() - s.demand)
			s.arrivals, s.demandUpdated = 0, now
		}
		held := s.heldTokens(now)
		wanted := int64(len(s.waiters)) + int64(s.demand*prefetchWindow.Seconds()+0.5) - held
		if wanted <= 0 && s.unused == 0 {
			continue
		}
		r.Demands = append(r.Demands, &turnv1.Demand{Account: name, Want: max(wanted, 0), Unused: s.unused})
		s.unused = 0
	}
	r.Demands = append(r.Demands, l.serverDemands(now)...)
	return r
}

// grantFallback grants tokens from a fraction of the instance's own share of each rate once no holder has responded for
// fallbackAfter.
func (l *Limiter) grantFallback() {
	c := l.configuration()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	// A process that was just restarted may already have used its share, so its start counts as a response.
	if c == nil || l.sinceResponse() < fallbackAfter {
		return
	}
	if !l.inFallback {
		klog.InfoS("no holder of the buckets answers; the own share is used", "last_answer_ms",
			l.sinceResponse().Milliseconds(),
			"share", isolatedShare)
		l.inFallback = true
	}
	fraction := isolatedShare / float64(max(len(l.members())+1, l.instances))
	for name, s := range l.states {
		a, ok := c.Accounts[name]
		if !ok {
			continue
		}
		s.fillFallback(a.RequestsPerSecond*fraction, a.Burst*fraction, now)
	}
	for _, s := range l.servers {
		if s.cold {
			continue
		}
		s.fillFallback(s.limit*fraction, serverBurst(s.limit)*fraction, now)
	}
}

// sinceResponse returns the time since the last response of a holder, or since the start. l.mu must be held.
func (l *Limiter) sinceResponse() time.Duration { return l.now().Sub(later(l.lastResponse, l.started)) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
