// Package retry limits the retries of one group of engines to a fraction of its calls.
package retry

import "github.com/berylpond/berylpond/internal/verdict"

const (
	// maxTokens is the capacity of the token bucket: about the calls in flight on two engines that fail at the same
	// time.
	maxTokens = 32
	// initialTokens is the number of retries allowed before any first attempt.
	initialTokens = 10
)

// Budget is a token bucket that first attempts refill. It is not safe for concurrent use.
type Budget struct {
	ratio  float64
	tokens float64
}

// New returns a budget that allows about ratio retries for each first attempt.
func New(ratio float64) *Budget { return &Budget{ratio: ratio, tokens: initialTokens} }

// RecordFirstAttempt records a first attempt.
func (b *Budget) RecordFirstAttempt() { b.tokens = min(maxTokens, b.tokens+b.ratio) }

// Decision is the result of a request for a retry.
type Decision int

const (
	// Allowed means that the retry may be sent; it has used one token.
	Allowed Decision = iota
	// Unsafe means that the previous attempt may have run and must not be repeated.
	Unsafe
	// Exhausted means that the budget is exhausted.
	Exhausted
)

// Take requests a retry of a call whose last attempt ended with verdict v.
func (b *Budget) Take(v verdict.Verdict, repeatable bool) Decision {
	if !v.RetrySafe(repeatable) {
		return Unsafe
	}
	if b.tokens < 1 {
		return Exhausted
	}
	b.tokens--
	return Allowed
}
