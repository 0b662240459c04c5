package ratelimit

import (
	"context"
	"slices"
	"time"
)

// tokenBatch is a number of granted tokens with a common expiry.
type tokenBatch struct {
	tokens  int64
	expires time.Time
}

// tokenState is what one instance holds of the tokens of an account or a backend server, and the requests that wait for
// more.
type tokenState struct {
	batches []tokenBatch
	waiters []*waiter
	// unused counts expired tokens that are to be returned to the holder.
	unused int64
	// arrivals counts requests since demandUpdated, and demand is the estimated demand in requests per second.
	arrivals      int64
	demand        float64
	demandUpdated time.Time
	// fallback is the bucket used while no holder responds.
	fallback bucket
	// retryAfter is the holder's last estimate of when the bucket has a token again.
	retryAfter time.Duration
	// newProgramsFrom is when the bucket is expected to be full enough for new programs.
	newProgramsFrom time.Time
}

type waiter struct {
	granted chan bool
	since   time.Time
	// brief marks a waiter that is refused if the next grant has no token for it.
	brief bool
}

// wait reports whether the waiter got a token within the limit. It returns early if the waiter is refused.
func (w *waiter) wait(ctx context.Context, limit time.Duration) bool {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case ok := <-w.granted:
		return ok
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// addWaiter adds a request to those that wait for a token.
func (s *tokenState) addWaiter(now time.Time) *waiter {
	w := &waiter{granted: make(chan bool, 1), since: now}
	s.waiters = append(s.waiters, w)
	return w
}

func (s *tokenState) takeToken(now time.Time) bool {
	s.expire(now)
	if len(s.batches) == 0 {
		return false
	}
	s.batches[0].tokens--
	if s.batches[0].tokens == 0 {
		s.batches = s.batches[1:]
	}
	return true
}

func (s *tokenState) heldTokens(now time.Time) int64 {
	s.expire(now)
	var n int64
	for _, x := range s.batches {
		n += x.tokens
	}
	return n
}

func (s *tokenState) expire(now time.Time) {
	for len(s.batches) > 0 && !now.Before(s.batches[0].expires) {
		s.unused += s.batches[0].tokens
		s.batches = s.batches[1:]
	}
}

// grantWaiters gives held tokens to the waiting requests in order of arrival.
func (s *tokenState) grantWaiters(now time.Time) {
	for len(s.waiters) > 0 && s.takeToken(now) {
		s.waiters[0].granted <- true
		s.waiters = s.waiters[1:]
	}
}

// refuseWaiters refuses those of the waiting requests for which refuse is true.
func (s *tokenState) refuseWaiters(refuse func(*waiter) bool) {
	s.waiters = slices.DeleteFunc(s.waiters, func(w *waiter) bool {
		if !refuse(w) {
			return false
		}
		w.granted <- false
		return true
	})
}

// fillFallback fills the bucket of the instance's own share and hands out its whole tokens.
func (s *tokenState) fillFallback(rate, burst float64, now time.Time) {
	if s.fallback.filled.IsZero() {
		s.fallback.filled = now
	}
	s.fallback.tokens = min(s.fallback.tokens+rate*now.Sub(s.fallback.filled).Seconds(), max(burst, 1))
	s.fallback.filled = now
	if whole := int64(s.fallback.tokens); whole > 0 {
		s.fallback.tokens -= float64(whole)
		s.batches = append(s.batches, tokenBatch{tokens: whole, expires: now.Add(grantTTL)})
		s.grantWaiters(now)
	}
}
