package scheduler

import (
	"math"
	"net/http"
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
	"github.com/berylpond/berylpond/internal/scheduler/queue"
	"github.com/berylpond/berylpond/internal/scheduler/retry"
	"github.com/berylpond/berylpond/internal/verdict"
)

// noBackendRetryAfter is the Retry-After time of a refusal when every engine is drained.
const noBackendRetryAfter = 2 * time.Second

// startedTimeoutFactor is the queue timeout of a call whose program has had a turn, in multiples of
// Settings.QueueTimeout.
const startedTimeoutFactor = 2

// Submit queues a call or refuses it immediately.
func (g *Group) Submit(now time.Time, c framework.Call) *verdict.Error {
	if err := g.checkAdmission(now, &c); err != nil {
		return err
	}
	g.index.BeginCall(now, &c)
	g.queue.Push(now, queue.Arrival{
		Call: c, AttainedService: g.index.AttainedService(&c), ProgramAge: g.index.ProgramAge(now, &c),
		ExpiresAt: g.queueDeadline(now, &c),
	})
	return nil
}

func (g *Group) checkAdmission(now time.Time, c *framework.Call) *verdict.Error {
	if !g.hasUndrainedEngine() {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackend, noBackendRetryAfter, "no engine takes new work")
	}
	if g.settings.EarlyRefusal && !c.Deadline.IsZero() && now.Add(g.minCallTime(c)).After(c.Deadline) {
		return verdict.Refuse(http.StatusGatewayTimeout, verdict.ReasonDeadline, 0, "the deadline can no longer be met")
	}
	perSecond := g.completions.perSecond(now)
	if !g.queue.CanEnqueue(c) {
		return g.queueFullRefusal(c, perSecond)
	}
	wait, known := g.queue.ExpectedWait(c, perSecond)
	if g.settings.EarlyRefusal && known && !c.Started() && wait > g.settings.QueueTimeout() {
		return g.queueFullRefusal(c, perSecond)
	}
	return g.checkRetry(c, perSecond)
}

func (g *Group) queueFullRefusal(c *framework.Call, perSecond float64) *verdict.Error {
	after := g.queue.RetryAfter(c, perSecond)
	return verdict.Refuse(http.StatusTooManyRequests, verdict.ReasonQueueFull, after, "the account's queue is full")
}

func (g *Group) checkRetry(c *framework.Call, perSecond float64) *verdict.Error {
	if !c.IsRetry() {
		g.retries.RecordFirstAttempt()
		return nil
	}
	switch g.retries.Take(c.PriorVerdict, c.Repeatable) {
	case retry.Unsafe:
		return verdict.Refuse(http.StatusBadGateway, verdict.ReasonBackendFailed, 0, "the last attempt may have run and must not be repeated")
	case retry.Exhausted:
		after := g.queue.RetryAfter(c, perSecond)
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonRetryBudgetSpent, after, "too many calls are being retried")
	default:
		return nil
	}
}

func (g *Group) hasUndrainedEngine() bool {
	for _, e := range g.engines {
		if !e.Drained {
			return true
		}
	}
	return false
}

// queueDeadline returns the time at which a waiting call is refused.
func (g *Group) queueDeadline(now time.Time, c *framework.Call) time.Time {
	timeout := g.settings.QueueTimeout()
	if c.Started() {
		timeout *= startedTimeoutFactor
	}
	at := now.Add(timeout)
	if c.Deadline.IsZero() {
		return at
	}
	latest := c.Deadline
	if g.settings.EarlyRefusal {
		latest = latest.Add(-g.minCallTime(c))
	}
	if latest.Before(at) {
		return latest
	}
	return at
}

// minCallTimeFactor is the fraction of the mean call time below which no call is expected to finish.
const minCallTimeFactor = 0.1

// minCallTime returns a low estimate of the time that an engine needs for the call. It assumes that the prefix is
// cached.
func (g *Group) minCallTime(c *framework.Call) time.Duration {
	mean, known := g.speed.CallTime()
	if !known || len(g.engines) == 0 {
		return 0
	}
	prefill := g.engines[0].PrefillTime(float64(c.NewTokens))
	return min(mean, max(prefill, time.Duration(minCallTimeFactor*float64(mean))))
}

// timeoutRefusal returns the refusal of a call that was queued for too long.
func (g *Group) timeoutRefusal(now time.Time, it *queue.Item) *verdict.Error {
	if d := it.Call.Deadline; !d.IsZero() && !now.Add(g.minCallTime(&it.Call)).Before(d) {
		return verdict.Refuse(http.StatusGatewayTimeout, verdict.ReasonDeadline, 0, "the deadline can no longer be met")
	}
	after := g.queue.RetryAfter(&it.Call, g.completions.perSecond(now))
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonQueueTimeout, after, "no engine had room in time")
}

// rateWindow is the time constant of the rate at which calls finish.
const rateWindow = 5 * time.Second

// decayingRate is an exponentially decaying count of events.
type decayingRate struct {
	count      float64
	updated    time.Time
	firstEvent time.Time
}

func (r *decayingRate) add(now time.Time) {
	if r.firstEvent.IsZero() {
		r.firstEvent, r.updated = now, now
	}
	r.count = r.decayed(now) + 1
	r.updated = now
}

func (r *decayingRate) decayed(now time.Time) float64 {
	return r.count * math.Exp(-now.Sub(r.updated).Seconds()/rateWindow.Seconds())
}

// minRateAge is how long events must have been counted before a rate is available.
const minRateAge = 500 * time.Millisecond

// perSecond returns the rate of events, or 0 while it is unknown.
func (r *decayingRate) perSecond(now time.Time) float64 {
	age := now.Sub(r.firstEvent)
	if r.firstEvent.IsZero() || age < minRateAge {
		return 0
	}
	windowFraction := 1 - math.Exp(-age.Seconds()/rateWindow.Seconds())
	return r.decayed(now) / (rateWindow.Seconds() * windowFraction)
}
