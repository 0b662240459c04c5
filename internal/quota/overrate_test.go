package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOverRateNeedsManyRefusals(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e6, 0)
	a := NewAccount("giza", Split(Limit{Rate: 10, Burst: 5}, 3, 0), DefaultTerms(), 1, now)
	a.Refused(now, 8)
	is.True(!a.OverRate(now, 10)) // few enough to be caused by the loss of a holder
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		a.Refused(now, 1.5)
	}
	is.True(a.OverRate(now, 10))
	is.True(!a.OverRate(now.Add(2*time.Second), 10))
	small := NewAccount("giza", Split(Limit{Rate: 1, Burst: 5}, 3, 0), DefaultTerms(), 1, now)
	small.Refused(now, 2)
	is.True(!small.OverRate(now, 1))
}
