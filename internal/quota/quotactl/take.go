package quotactl

import (
	"context"
	"net/http"
	"time"

	quotav1 "github.com/berylpond/berylpond/api/quota/v1"
	"github.com/berylpond/berylpond/internal/failpoint"
	"github.com/berylpond/berylpond/internal/quota"
	"github.com/berylpond/berylpond/internal/verdict"
)

// result is the holder's answer to a take.
type result struct {
	outcome    quotav1.TakeResult_Outcome
	retryAfter time.Duration
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
	tooLarge := n > limit.Burst
	held := false
	if known && !tooLarge {
		_, _, held = c.account(account)
	}
	c.mu.Unlock()
	if !known {
		return c.refuse(causeUnknown, http.StatusServiceUnavailable, verdict.ReasonNoConfiguration, noHolderRetry, "no limits of the account are known here yet")
	}
	if tooLarge {
		return c.refuse(causeOverBurst, http.StatusTooManyRequests, verdict.ReasonRateLimited, overBurstRetry, "the take is larger than the account's burst")
	}
	if held {
		return c.conclude("local", c.takeHeld(ctx, account, n))
	}
	return c.takeRemote(ctx, account, n)
}

func (c *Controller) takeRemote(ctx context.Context, account string, n float64) error {
	part := quota.PartOf(account, c.parts.Parts())
	in, ok := c.parts.Holder(part)
	if !ok || in.ID == c.table.Self().ID {
		return c.refuse(causeNoHolder, http.StatusServiceUnavailable, verdict.ReasonOwnerUnavailable, noHolderRetry, "no instance holds the account's tokens now")
	}
	r, err := c.batcher(in.PeerAddr).take(ctx, &quotav1.TakeItem{Account: account, N: n})
	if err != nil {
		return c.refuse(causeLostAnswer, http.StatusServiceUnavailable, verdict.ReasonOwnerUnavailable, noHolderRetry, "the holder of the account's tokens did not answer")
	}
	return c.conclude("remote", r)
}

func (c *Controller) conclude(path string, r result) error {
	switch r.outcome {
	case quotav1.TakeResult_ADMITTED:
		c.metrics.admitted.WithLabelValues(path).Inc()
		return nil
	case quotav1.TakeResult_REFUSED:
		return c.refuse(causeOverRate, http.StatusTooManyRequests, verdict.ReasonRateLimited, r.retryAfter, "the account is over its rate and burst")
	case quotav1.TakeResult_UNKNOWN_ACCOUNT:
		return c.refuse(causeUnknown, http.StatusServiceUnavailable, verdict.ReasonNoConfiguration, noHolderRetry, "the holder does not know the account's limits yet")
	default:
		return c.refuse(causeNotHolder, http.StatusServiceUnavailable, verdict.ReasonOwnerUnavailable, noHolderRetry, "the account's tokens are changing hands")
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
