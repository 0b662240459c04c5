package quotactl

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	quotav1 "github.com/berylpond/berylpond/api/quota/v1"
	"github.com/berylpond/berylpond/internal/failpoint"
	"github.com/berylpond/berylpond/internal/quota"
	"github.com/berylpond/berylpond/internal/verdict"
)

// result is the holder's answer to a take.
type result struct {
	outcome    quotav1.TakeResult_Outcome
	retryAfter time.Duration
	// overRate is set when further takes need not ask the holder before retryAfter.
	overRate bool
}

// Take spends n tokens of an account. It returns nil or a *verdict.Error whose verdict is NotRun. A take that ends
// with an error may still have spent its tokens.
func (c *Controller) Take(ctx context.Context, account string, n float64) error {
	if err := failpoint.Hit("quota.take.before"); err != nil {
		return c.refuse(causeInjected, http.StatusServiceUnavailable, verdict.ReasonOwnerUnavailable, noHolderRetry, "%v", err)
	}
	c.mu.Lock()
	share, known := c.holder.Share(account)
	if known && c.floor.Take(c.now(), account, share, n) {
		c.mu.Unlock()
		c.metrics.admitted.WithLabelValues("slot").Inc()
		return nil
	}
	limit, _ := c.holder.Limit(account)
	c.mu.Unlock()
	if !known {
		return c.refuse(causeUnknown, http.StatusServiceUnavailable, verdict.ReasonNoConfiguration, noHolderRetry, "no limits of the account are known here yet")
	}
	if n > limit.Burst {
		return c.refuse(causeOverBurst, http.StatusTooManyRequests, verdict.ReasonRateLimited, overBurstRetry, "the take is larger than the account's burst")
	}
	if after, ok := c.shedHere(account, n); ok {
		return c.refuse(causeShed, http.StatusTooManyRequests, verdict.ReasonRateLimited, after, "the account is over its rate and burst")
	}
	return c.takeAtHolder(ctx, account, n)
}

// attempt is one take at the holder. retry names why there was no answer about tokens; it is empty if there was one.
type attempt struct {
	result
	path  string
	retry refusalCause
}

// takeAtHolder waits while the part has no holder that answers, as when the last one's lease runs out: for
// Config.HolderWait at most. A lack of tokens is answered at once.
func (c *Controller) takeAtHolder(ctx context.Context, account string, n float64) error {
	giveUp := c.now().Add(c.cfg.HolderWait)
	lost := map[string]bool{}
	var away elsewhere
	for first := true; ; first = false {
		a := c.tryHolder(ctx, account, n, lost)
		if a.retry == "" {
			return c.conclude(a.path, a.result)
		}
		if first {
			c.metrics.holderWaits.Inc()
		}
		if away.try(ctx, c, account, n) {
			return c.conclude("elsewhere", away.last)
		}
		if !c.now().Before(giveUp) || !c.pause(ctx) {
			return c.refuse(a.retry, http.StatusServiceUnavailable, verdict.ReasonOwnerUnavailable, noHolderRetry, "no instance that holds the account's tokens answers now")
		}
	}
}

// pause waits before the next look for a holder. It reports false when the take should be given up.
func (c *Controller) pause(ctx context.Context) bool {
	if c.waiting.Add(1) > maxHolderWaits {
		c.waiting.Add(-1)
		return false
	}
	defer c.waiting.Add(-1)
	select {
	case <-time.After(holderPoll):
		return true
	case <-ctx.Done():
		return false
	}
}

// tryHolder takes here or at the instance that holds the part. An instance in lost may have spent tokens for this take
// without an answer and isn't asked again.
func (c *Controller) tryHolder(ctx context.Context, account string, n float64, lost map[string]bool) attempt {
	c.mu.Lock()
	_, _, held := c.account(account)
	c.mu.Unlock()
	if held {
		return answered("local", c.takeHeld(ctx, account, n))
	}
	in, ok := c.parts.Holder(quota.PartOf(account, c.parts.Parts()))
	if !ok || in.ID == c.table.Self().ID {
		return attempt{retry: causeNoHolder}
	}
	if lost[in.ID] {
		return attempt{retry: causeLostAnswer}
	}
	r, err := c.batcher(in.PeerAddr).take(ctx, &quotav1.TakeItem{Account: account, N: n, Refused: c.unreportedRefusals(account)})
	if err != nil {
		lost[in.ID] = !errors.Is(err, errSilentHolder)
		return attempt{retry: causeLostAnswer}
	}
	c.noteShed(account, r)
	return answered("remote", r)
}

func answered(path string, r result) attempt {
	a := attempt{result: r, path: path}
	if r.outcome == quotav1.TakeResult_NOT_HOLDER {
		a.retry = causeNotHolder
	}
	return a
}

func (c *Controller) conclude(path string, r result) error {
	switch r.outcome {
	case quotav1.TakeResult_ADMITTED:
		c.metrics.admitted.WithLabelValues(path).Inc()
		return nil
	case quotav1.TakeResult_REFUSED:
		return c.refuse(causeOverRate, http.StatusTooManyRequests, verdict.ReasonRateLimited, r.retryAfter, "the account is over its rate and burst")
	default:
		return c.refuse(causeUnknown, http.StatusServiceUnavailable, verdict.ReasonNoConfiguration, noHolderRetry, "the holder does not know the account's limits yet")
	}
}

func (c *Controller) refuse(cause refusalCause, status int, reason verdict.Reason, after time.Duration, format string, args ...any) error {
	c.metrics.refused.WithLabelValues(string(cause)).Inc()
	return verdict.Refuse(status, reason, after, format, args...)
}

// maxGathers is how often one take waits for tokens from other data centres.
const maxGathers = 3

// takeHeld takes at this instance, and fetches tokens from other data centres when there are too few here.
func (c *Controller) takeHeld(ctx context.Context, account string, n float64) result {
	r, short := c.tryTake(account, n, true)
	return c.takeShort(ctx, account, n, r, short)
}

// takeShort goes on after a first try that gave r.
func (c *Controller) takeShort(ctx context.Context, account string, n float64, r result, short float64) result {
	if short > 0 && c.awaitBooks(ctx, quota.PartOf(account, c.parts.Parts())) {
		r, short = c.tryTake(account, n, false)
	}
	for range maxGathers {
		if short <= 0 || !c.gather(ctx, account, n) {
			break
		}
		r, short = c.tryTake(account, n, false)
	}
	if r.outcome == quotav1.TakeResult_REFUSED {
		if r.overRate = c.noteRefused(account, n); r.overRate {
			// The instances of the data centre come back in turn.
			r.retryAfter = min(maxShed, r.retryAfter*time.Duration(max(1, c.cfg.Slots)))
		}
	}
	return r
}

// tryTake returns how many tokens are short when it refuses for lack of them.
func (c *Controller) tryTake(account string, n float64, first bool) (result, float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, a, held := c.account(account)
	if !held {
		return result{outcome: quotav1.TakeResult_NOT_HOLDER}, 0
	}
	if a == nil {
		return result{outcome: quotav1.TakeResult_UNKNOWN_ACCOUNT}, 0
	}
	if first {
		a.Ask(now, n)
	}
	ok, short, after := a.Take(now, n)
	if ok && c.now().Sub(now) > c.cfg.Terms.Margin {
		// The process was paused after the lease was looked up; the tokens count as spent.
		return result{outcome: quotav1.TakeResult_NOT_HOLDER}, 0
	}
	if ok {
		return result{outcome: quotav1.TakeResult_ADMITTED}, 0
	}
	return result{outcome: quotav1.TakeResult_REFUSED, retryAfter: after}, short
}
