// Package report records the calls and programs of a run from the callers' view and computes statistics from them.
package report

import "time"

// Bucket is the callers' own token bucket of an account. It separates refusals of calls within the rate from refusals
// of calls above it. It is not safe for concurrent use.
type Bucket struct {
	rate, burst float64
	tokens      float64
	updatedAt   time.Time
}

// NewBucket returns a full bucket. rate is in tokens per second.
func NewBucket(rate float64, burst int, now time.Time) *Bucket {
	return &Bucket{rate: rate, burst: float64(burst), tokens: float64(burst), updatedAt: now}
}

// Take takes one token for a call that is sent now. It reports whether the call is within the rate. A call that is
// refused later does not return its token: an account may send rate x time + burst calls, whatever their outcomes.
func (b *Bucket) Take(now time.Time) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Remaining returns the number of tokens that remained after the last Take.
func (b *Bucket) Remaining() float64 { return b.tokens }
