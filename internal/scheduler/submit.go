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

// noBackendRetryAfter is the time to come back given when every engine is drained.
const noBackendRetryAfter = 2 * time.Second

// begunPatience times MaxQueueWait is how long a call of a program already begun waits before it is refused.
const begunPatience = 2

// Submit queues a call, or refuses it at once.
func (g *Group) Submit(now time.Time, c framework.Call) *verdict.Error {
	if err := g.refuse(now, &c); err != nil {
		return err
	}
	g.index.Begin(now, &c)
	g.queue.Push(now, queue.Arrival{
		Call: c, Service: g.index.Attained(&c), Age: g.index.Age(now, &c), GiveUp: g.giveUp(now, &c),
	})
	return nil
}

func (g *Group) refuse(now time.Time, c *framework.Call) *verdict.Error {
	if !g.anyBackend() {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackend, noBackendRetryAfter, "no engine takes new work")
	}
	if g.settings.RefuseEarly && !c.Deadline.IsZero() && now.Add(g.leastTime(c)).After(c.Deadline) {
		return verdict.Refuse(http.StatusGatewayTimeout, verdict.ReasonDeadline, 0, "the deadline can no longer be met")
	}
	perSecond := g.finished.perSecond(now)
	if !g.queue.HasRoom(c) {
		return g.full(c, perSecond)
	}
	wait, known := g.queue.Wait(c, perSecond)
	if g.settings.RefuseEarly && known && !c.Begun() && wait > g.settings.Patience() {
		return g.full(c, perSecond)
	}
	return g.takeRetry(c, perSecond)
}

func (g *Group) full(c *framework.Call, perSecond float64) *verdict.Error {
	after := g.queue.RetryAfter(c, perSecond)
	return verdict.Refuse(http.StatusTooManyRequests, verdict.ReasonQueueFull, after, "the account's queue is full")
}

func (g *Group) takeRetry(c *framework.Call, perSecond float64) *verdict.Error {
	if !c.Retry() {
		g.retries.First()
		return nil
	}
	switch g.retries.Take(c.Prior, c.Repeatable) {
	case retry.Unsafe:
		return verdict.Refuse(http.StatusBadGateway, verdict.ReasonBackendFailed, 0, "the last attempt may have run and must not be repeated")
	case retry.Spent:
		after := g.queue.RetryAfter(c, perSecond)
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonRetryBudgetSpent, after, "too many calls are being retried")
	default:
		return nil
	}
}

func (g *Group) anyBackend() bool {
	for _, e := range g.engines {
		if !e.Drained {
			return true
		}
	}
	return false
}

// giveUp returns the instant at which a waiting call is refused.
func (g *Group) giveUp(now time.Time, c *framework.Call) time.Time {
	patience := g.settings.Patience()
	if c.Begun() {
		patience *= begunPatience
	}
	at := now.Add(patience)
	if c.Deadline.IsZero() {
		return at
	}
	latest := c.Deadline
	if g.settings.RefuseEarly {
		latest = latest.Add(-g.leastTime(c))
	}
	if latest.Before(at) {
		return latest
	}
	return at
}

// leastFactor times the mean time of a call is the time below which a call is taken to be impossible.
const leastFactor = 0.1

// leastTime is a low estimate of the time that an engine needs for the call. The prefix is taken to be cached.
func (g *Group) leastTime(c *framework.Call) time.Duration {
	mean, known := g.speeds.CallTime()
	if !known || len(g.engines) == 0 {
		return 0
	}
	prefill := g.engines[0].Prefill(float64(c.NewTokens))
	return min(mean, max(prefill, time.Duration(leastFactor*float64(mean))))
}

// tooLate is the refusal of a call that waited for too long.
func (g *Group) tooLate(now time.Time, it *queue.Item) *verdict.Error {
	if d := it.Call.Deadline; !d.IsZero() && !now.Add(g.leastTime(&it.Call)).Before(d) {
		return verdict.Refuse(http.StatusGatewayTimeout, verdict.ReasonDeadline, 0, "the deadline can no longer be met")
	}
	after := g.queue.RetryAfter(&it.Call, g.finished.perSecond(now))
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonQueueTimeout, after, "no engine had room in time")
}

// rateWindow is the time constant of the rate of finished calls.
const rateWindow = 5 * time.Second

// rate is an exponentially decaying count of events.
type rate struct {
	count float64
	at    time.Time
	first time.Time
}

func (r *rate) add(now time.Time) {
	if r.first.IsZero() {
		r.first, r.at = now, now
	}
	r.count = r.decayed(now) + 1
	r.at = now
}

func (r *rate) decayed(now time.Time) float64 {
	return r.count * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}

// minRateAge is how long events must have been counted before a rate is given.
const minRateAge = 500 * time.Millisecond

// perSecond returns 0 while the rate is not known.
func (r *rate) perSecond(now time.Time) float64 {
	age := now.Sub(r.first)
	if r.first.IsZero() || age < minRateAge {
		return 0
	}
	filled := 1 - math.Exp(-age.Seconds()/rateWindow.Seconds())
	return r.decayed(now) / (rateWindow.Seconds() * filled)
}
