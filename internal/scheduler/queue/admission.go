package queue

import (
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// Bounds of the Retry-After time of a refusal.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 60 * time.Second
	// unknownRetryAfter is used while the rate at which the group finishes calls is unknown.
	unknownRetryAfter = time.Second
)

// CanEnqueue reports whether the call's account may queue it. A fraction of the queue is reserved for programs that
// have had a turn, so that under overload first turns are refused rather than programs in progress.
func (q *Queue) CanEnqueue(c *framework.Call) bool {
	a := q.account(c)
	limit := q.settings.QueueLimit()
	if len(a.waiting) >= limit {
		return false
	}
	if c.Started() {
		return true
	}
	return a.waitingNew < int(float64(limit)*(1-q.settings.ReservedForStarted))
}

// ExpectedWait estimates how long a call pushed now would wait, given the rate at which the group finishes calls, in
// calls per second. It returns false when the rate is unknown.
func (q *Queue) ExpectedWait(c *framework.Call, rate float64) (time.Duration, bool) {
	if rate <= 0 {
		return 0, false
	}
	a := q.account(c)
	return secondsToDuration(float64(len(a.waiting)) / (rate * q.share(a))), true
}

// RetryAfter records that the call is refused and returns the expected time until the account's queue has room for it.
// Calls refused since the account's last grant are counted as ahead of it.
func (q *Queue) RetryAfter(c *framework.Call, rate float64) time.Duration {
	if rate <= 0 {
		return unknownRetryAfter
	}
	a := q.account(c)
	a.refusedSinceGrant++
	wait := secondsToDuration(float64(a.refusedSinceGrant) / (rate * q.share(a)))
	return min(maxRetryAfter, max(minRetryAfter, wait))
}

// share returns the fraction of the group's service that the account receives while it competes with the accounts that
// have waiting calls.
func (q *Queue) share(a *account) float64 {
	sum := a.weight
	for _, other := range q.accounts {
		if other != a && len(other.waiting) > 0 {
			sum += other.weight
		}
	}
	return a.weight / sum
}

func secondsToDuration(s float64) time.Duration {
	const maxSeconds = float64(time.Hour / time.Second)
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}
