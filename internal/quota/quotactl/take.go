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

// result is the holder's response to a take.
type result struct {
	outcome    quotav1.TakeResult_Outcome
	retryAfter time.Duration
	// overRate is set when further takes are to be refused for retryAfter without asking the holder.
	overRate bool
}

// Take spends n tokens of an account. It returns nil or a *verdict.Error whose verdict is NotRun. A take that returns
// an error may still have spent its tokens.
func (c *Controller) Take(ctx context.Context, account string, n float64) error {
	if err := failpoint.Hit("quota.take.before"); err != nil {
		return c.refuse(causeInjected, http.StatusServiceUnavailable, verdict.ReasonOwnerUnavailable, noHolderRetry, "%v", err)
	}
	c.mu.Lock()
	share, known := c.holder.Share(account)
	if known && c.slotReserve.Take(c.now(), account, share, n) {
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
	if after, ok := c.shedTake(account, n); ok {
		return c.refuse(causeShed, http.StatusTooManyRequests, verdict.ReasonRateLimited, after, "the account is over its rate and burst")
	}
	return c.takeAtHolder(ctx, account, n)
}

// attempt is the outcome of sending a take to the holder once. retryCause is the reason why the holder did not decide;
// it is empty if it did.
type attempt struct {
	result
	path       string
	retryCause refusalCause
}

// takeAtHolder retries for up to Config.HolderWait while the shard has no holder that responds, for example until the
// lease of a failed holder expires. It returns a refusal for lack of tokens without a retry.
func (c *Controller) takeAtHolder(ctx context.Context, account string, n float64) error {
	deadline := c.now().Add(c.cfg.HolderWait)
	lostResponses := map[string]bool{}
	var fallback remoteFallback
	for first := true; ; first = false {
		a := c.tryHolder(ctx, account, n, lostResponses)
		if a.retryCause == "" {
			return c.resultError(a.path, a.result)
		}
		if first {
			c.metrics.holderWaits.Inc()
		}
		if fallback.try(ctx, c, account, n) {
			return c.resultError("elsewhere", fallback.last)
		}
		if !c.now().Before(deadline) || !c.waitForRetry(ctx) {
			return c.refuse(a.retryCause, http.StatusServiceUnavailable, verdict.ReasonOwnerUnavailable, noHolderRetry, "no instance that holds the account's tokens answers now")
		}
	}
}

// waitForRetry waits before the next attempt to reach a holder. It reports false if there should be none.
func (c *Controller) waitForRetry(ctx context.Context) bool {
	if c.holderWaiters.Add(1) > maxHolderWaits {
		c.holderWaiters.Add(-1)
		return false
	}
	defer c.holderWaiters.Add(-1)
	select {
	case <-time.After(holderPollInterval):
		return true
	case <-ctx.Done():
		return false
	}
}

// tryHolder spends the tokens here if this instance holds the shard, or else at the holder. An instance in
// lostResponses may have spent tokens for this take although its response was lost, so it isn't called again.
func (c *Controller) tryHolder(ctx context.Context, account string, n float64, lostResponses map[string]bool) attempt {
	c.mu.Lock()
	_, _, held := c.account(account)
	c.mu.Unlock()
	if held {
		return newAttempt("local", c.takeLocal(ctx, account, n))
	}
	in, ok := c.shards.Holder(quota.ShardOf(account, c.shards.ShardCount()))
	if !ok || in.ID == c.table.Self().ID {
		return attempt{retryCause: causeNoHolder}
	}
	if lostResponses[in.ID] {
		return attempt{retryCause: causeLostResponse}
	}
	r, err := c.batcher(in.PeerAddr).take(ctx, &quotav1.TakeItem{Account: account, N: n, Refused: c.unreportedRefusals(account)})
	if err != nil {
		lostResponses[in.ID] = !errors.Is(err, errSilentHolder)
		return attempt{retryCause: causeLostResponse}
	}
	c.recordShed(account, r)
	return newAttempt("remote", r)
}

func newAttempt(path string, r result) attempt {
	a := attempt{result: r, path: path}
	if r.outcome == quotav1.TakeResult_NOT_HOLDER {
		a.retryCause = causeNotHolder
	}
	return a
}

func (c *Controller) resultError(path string, r result) error {
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

// maxFetches is how many times one take fetches tokens from other data centres.
const maxFetches = 3

// takeLocal spends tokens held at this instance, and fetches tokens from other data centres if there are too few here.
func (c *Controller) takeLocal(ctx context.Context, account string, n float64) result {
	r, short := c.tryTake(account, n, true)
	return c.retryTake(ctx, account, n, r, short)
}

// retryTake retries a take whose first attempt returned r and was short tokens, once these could be made available.
func (c *Controller) retryTake(ctx context.Context, account string, n float64, r result, short float64) result {
	if short > 0 && c.awaitRecovery(ctx, quota.ShardOf(account, c.shards.ShardCount())) {
		r, short = c.tryTake(account, n, false)
	}
	for range maxFetches {
		if short <= 0 || !c.fetchTokens(ctx, account, n) {
			break
		}
		r, short = c.tryTake(account, n, false)
	}
	if r.outcome == quotav1.TakeResult_REFUSED {
		if r.overRate = c.recordRefused(account, n); r.overRate {
			// Each instance of the data centre gets this delay, so together they send Slots times as many requests.
			r.retryAfter = min(maxShed, r.retryAfter*time.Duration(max(1, c.cfg.Slots)))
		}
	}
	return r
}

// tryTake returns the number of missing tokens if it refuses for lack of them.
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
		a.RecordDemand(now, n)
	}
	ok, short, after := a.Take(now, n)
	if ok && c.now().Sub(now) > c.cfg.LoanTimings.ClockMargin {
		// The process was paused after it looked up the lease, which may have expired. The tokens count as spent.
		return result{outcome: quotav1.TakeResult_NOT_HOLDER}, 0
	}
	if ok {
		return result{outcome: quotav1.TakeResult_ADMITTED}, 0
	}
	return result{outcome: quotav1.TakeResult_REFUSED, retryAfter: after}, short
}
