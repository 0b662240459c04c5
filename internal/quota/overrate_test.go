package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOverRateNeedsManyRefusals(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e6, 0)
	a := NewAccount("giza", SplitLimit(Limit{Rate: 10, Burst: 5}, 3, 0), DefaultLoanTimings(), 1, now)
	a.RecordRefused(now, 8)
	is.True(!a.OverRate(now, 10)) // few enough to be caused by the loss of a holder
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		a.RecordRefused(now, 1.5)
	}
	is.True(a.OverRate(now, 10))
	is.True(!a.OverRate(now.Add(2*time.Second), 10))
	small := NewAccount("giza", SplitLimit(Limit{Rate: 1, Burst: 5}, 3, 0), DefaultLoanTimings(), 1, now)
	small.RecordRefused(now, 2)
	is.True(!small.OverRate(now, 1))
}
