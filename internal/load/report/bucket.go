// Package report gathers what callers saw and works out the figures of a run.
package report

import "time"

// Bucket is a token bucket that a caller keeps of its own account, to tell refusals within rate from those above it.
// It is not safe for concurrent use.
type Bucket struct {
	rate, burst float64
	tokens      float64
	at          time.Time
}

// NewBucket returns a full bucket. rate is in tokens per second.
func NewBucket(rate float64, burst int, now time.Time) *Bucket {
	return &Bucket{rate: rate, burst: float64(burst), tokens: float64(burst), at: now}
}

// Take takes one token for a call that is sent now. It reports whether the call is within rate. A call that is refused
// later has still used its token up: an account is entitled to rate x time + burst calls, whatever came of them.
func (b *Bucket) Take(now time.Time) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left returns the tokens that were left after the last Take.
func (b *Bucket) Left() float64 { return b.tokens }
