package retry

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/berylpond/berylpond/internal/verdict"
)

func TestUnsafeRetryConsumesNoBudget(t *testing.T) {
	is := is.New(t)
	b := New(0.1)
	is.Equal(b.Take(verdict.MayHaveRun, false), Unsafe)
	is.Equal(b.Take(verdict.Ran, true), Unsafe)
	is.Equal(b.tokens, float64(initialTokens))
	is.Equal(b.Take(verdict.MayHaveRun, true), Allowed)
	is.Equal(b.Take(verdict.NotRun, false), Allowed)
}

func TestRetriesStayInBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(0.1)
		first, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "calls") {
			if rapid.Bool().Draw(t, "retry") {
				if b.Take(verdict.NotRun, false) == Allowed {
					retries++
				}
			} else {
				b.RecordFirstAttempt()
				first++
			}
			if float64(retries) > initialTokens+0.1*float64(first)+1e-6 {
				t.Fatalf("%d retries of %d calls", retries, first)
			}
		}
	})
}
