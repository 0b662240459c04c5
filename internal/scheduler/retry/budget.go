// Package retry bounds the retries of one group of engines to a share of its calls.
package retry

import "github.com/berylpond/berylpond/internal/verdict"

const (
	// burst is the most retries that can be saved up: about the calls in flight on two engines that fail at once.
	burst = 32
	// initial is the number of retries allowed before any call.
	initial = 10
)

// Budget is a token bucket filled by first attempts. It is not safe for concurrent use.
type Budget struct {
	ratio  float64
	tokens float64
}

// New returns a budget that allows about ratio retries for each first attempt.
func New(ratio float64) *Budget { return &Budget{ratio: ratio, tokens: initial} }

// First counts a first attempt.
func (b *Budget) First() { b.tokens = min(burst, b.tokens+b.ratio) }

// Decision is the answer to a wish to retry.
type Decision int

const (
	// Allowed takes one retry out of the budget.
	Allowed Decision = iota
	// Unsafe means that the earlier attempt may have run and must not be repeated.
	Unsafe
	// Spent means that the budget is used up.
	Spent
)

// Take asks for a retry of a request whose last attempt ended with v.
func (b *Budget) Take(v verdict.Verdict, repeatable bool) Decision {
	if !v.RetrySafe(repeatable) {
		return Unsafe
	}
	if b.tokens < 1 {
		return Spent
	}
	b.tokens--
	return Allowed
}
