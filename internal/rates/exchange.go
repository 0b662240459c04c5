package rates

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

const (
	// heartbeat is the longest pause between two messages to the holder, by which it knows whom it serves.
	heartbeat = 350 * time.Millisecond
	// takeTimeout bounds a message to the holder.
	takeTimeout = 250 * time.Millisecond
	// aloneAfter is how long without an answer of a holder until an instance uses a part of its share of each rate. It is
	// longer than activeWithin, after which the holder no longer counts the instance as served.
	aloneAfter = 1300 * time.Millisecond
	// askPause spaces messages to the holder.
	askPause = 10 * time.Millisecond
	// failPause is the pause after a holder that did not answer or is none.
	failPause = 50 * time.Millisecond
	// demandDecay is the weight of the newest interval in the estimate of an account's demand.
	demandDecay = 0.3
)

// Run exchanges messages with the holder until the context ends.
func (l *Lessee) Run(ctx context.Context) {
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
		pause := askPause
		if !l.exchange(ctx) {
			pause = failPause
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if l.waiting() {
			l.ask()
		}
	}
}

func (l *Lessee) waiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.leases {
		if len(s.waiters) > 0 {
			return true
		}
	}
	return false
}

// exchange sends one message to the holder and hands out what it grants.
func (l *Lessee) exchange(ctx context.Context) bool {
	holder := l.holder()
	l.leave(ctx, holder)
	r := l.request()
	sent := l.now()
	resp, err := l.take(ctx, holder, r)
	if err != nil || resp.Outcome != turnv1.Outcome_OUTCOME_OK {
		l.released(resp)
		l.selfGrant()
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if resp.Holder != l.servedBy {
		klog.InfoS("holder of the buckets changed", "from", l.servedBy, "to", resp.Holder, "instances", resp.Instances,
			"last_answer_ms", l.silence().Milliseconds())
		l.before = served{holder: l.servedBy, at: l.answered}
	}
	l.alone = false
	l.answered, l.servedBy, l.instances = l.now(), resp.Holder, int(resp.Instances)
	for _, g := range resp.Grants {
		s := l.lease(g.Account)
		s.own = bucket{}
		s.retryAfter = time.Duration(g.RetryAfterMs) * time.Millisecond
		s.programsFrom = l.answered.Add(time.Duration(g.ProgramsAfterMs) * time.Millisecond)
		if g.Tokens > 0 {
			// The life of a grant counts from before the holder could have made it.
			s.lots = append(s.lots, lot{tokens: g.Tokens, expires: sent.Add(grantLife)})
		}
		s.serve(l.now())
		if g.RetryAfterMs > 0 && s.retryAfter > waitFor {
			s.refuse()
		}
	}
	return true
}

// holder returns the present holder; while none is known, the last one, which may go on.
func (l *Lessee) holder() string {
	if a := l.taker.Holder(); a != "" {
		return a
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servedBy
}

func (l *Lessee) take(ctx context.Context, holder string, r *turnv1.TakeRequest) (*turnv1.TakeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	return l.taker.Take(ctx, holder, r)
}

// leave tells the last holder that this instance goes to the next. Until the last one has answered, the next counts this
// instance as served by it, and grants it nothing.
func (l *Lessee) leave(ctx context.Context, next string) {
	l.mu.Lock()
	last, age := l.servedBy, l.now().Sub(l.answered)
	l.mu.Unlock()
	if last == "" || last == next || age > activeWithin {
		return
	}
	if resp, err := l.take(ctx, last, &turnv1.TakeRequest{Instance: l.self, Leaving: true}); err == nil {
		l.released(resp)
	}
}

// released notes that the last holder has given the buckets up.
func (l *Lessee) released(resp *turnv1.TakeResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case resp == nil:
	case resp.Holder == l.servedBy:
		l.servedBy = ""
	case resp.Holder == l.before.holder:
		l.before.holder = ""
	}
}

// request collects what every account needs.
func (l *Lessee) request() *turnv1.TakeRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	r := &turnv1.TakeRequest{
		Instance: l.self, Known: l.members(),
		ServedBy: l.servedBy, ServedMsAgo: now.Sub(l.answered).Milliseconds(),
		ServedBefore: l.before.holder, ServedBeforeMsAgo: now.Sub(l.before.at).Milliseconds(),
	}
	for name, s := range l.leases {
		if elapsed := now.Sub(s.asked); elapsed >= aheadFor/2 {
			s.demand += demandDecay * (float64(s.arrivals)/elapsed.Seconds() - s.demand)
			s.arrivals, s.asked = 0, now
		}
		held := s.held(now)
		want := int64(len(s.waiters)) + int64(s.demand*aheadFor.Seconds()+0.5) - held
		if want <= 0 && s.unused == 0 {
			continue
		}
		r.Demands = append(r.Demands, &turnv1.Demand{Account: name, Want: max(want, 0), Unused: s.unused})
		s.unused = 0
	}
	return r
}

// selfGrant lets the instance use a part of its own share of each rate once no holder has answered for a while.
func (l *Lessee) selfGrant() {
	c := l.accounts()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	// A process that has just started may have used its share before, so its own start counts as an answer.
	if c == nil || l.silence() < aloneAfter {
		return
	}
	if !l.alone {
		klog.InfoS("no holder of the buckets answers; the own share is used", "last_answer_ms", l.silence().Milliseconds(),
			"share", cutOffShare)
		l.alone = true
	}
	part := cutOffShare / float64(max(len(l.members())+1, l.instances))
	for name, s := range l.leases {
		a, ok := c.Accounts[name]
		if !ok {
			continue
		}
		if s.own.filled.IsZero() {
			s.own.filled = now
		}
		s.own.tokens = min(s.own.tokens+a.Rate*part*now.Sub(s.own.filled).Seconds(), max(a.Burst*part, 1))
		s.own.filled = now
		if whole := int64(s.own.tokens); whole > 0 {
			s.own.tokens -= float64(whole)
			s.lots = append(s.lots, lot{tokens: whole, expires: now.Add(grantLife)})
			s.serve(now)
		}
	}
}

// silence is the time since a holder last answered, or since the start. The mutex is held.
func (l *Lessee) silence() time.Duration { return l.now().Sub(later(l.answered, l.started)) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
