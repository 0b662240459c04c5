package queue

import (
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// Bounds of the time to come back that a refusal carries.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 60 * time.Second
	// unknownRetryAfter is given before the group has finished any call.
	unknownRetryAfter = time.Second
)

// HasRoom reports whether the call's account may queue it. A part of the queue is kept for programs already begun,
// so that refusals fall on first turns.
func (q *Queue) HasRoom(c *framework.Call) bool {
	a := q.account(c)
	limit := q.settings.QueueLimit()
	if len(a.waiting) >= limit {
		return false
	}
	if c.Begun() {
		return true
	}
	return a.unbegun < int(float64(limit)*(1-q.settings.ReservedForBegun))
}

// Wait estimates how long a call pushed now would wait, given the rate at which the group finishes calls, in calls
// per second. It returns false when the rate is unknown.
func (q *Queue) Wait(c *framework.Call, rate float64) (time.Duration, bool) {
	if rate <= 0 {
		return 0, false
	}
	a := q.account(c)
	return seconds(float64(len(a.waiting)) / (rate * q.share(a))), true
}

// RetryAfter returns the expected time until the account's queue has room for the call, counting those refused since
// the last grant as ahead of it.
func (q *Queue) RetryAfter(c *framework.Call, rate float64) time.Duration {
	if rate <= 0 {
		return unknownRetryAfter
	}
	a := q.account(c)
	a.refused++
	wait := seconds(float64(a.refused) / (rate * q.share(a)))
	return min(maxRetryAfter, max(minRetryAfter, wait))
}

// share is the part of the group's service that is the account's while the accounts with waiting calls compete.
func (q *Queue) share(a *account) float64 {
	sum := a.weight
	for _, other := range q.accounts {
		if other != a && len(other.waiting) > 0 {
			sum += other.weight
		}
	}
	return a.weight / sum
}

func seconds(s float64) time.Duration {
	const longest = float64(time.Hour / time.Second)
	return time.Duration(min(s, longest) * float64(time.Second))
}
