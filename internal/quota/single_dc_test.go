package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSingleDataCentreServesImmediately starts a holder without its predecessor's state. If there are other data
// centres, its rate may be lent to them, so it has to wait. With a single data centre it accrues tokens from the start,
// and never more than rate and burst allow.
func TestSingleDataCentreServesImmediately(t *testing.T) {
	for _, tc := range []struct {
		dcs  int
		want bool
	}{{1, true}, {3, false}} {
		is := is.New(t)
		now := time.Unix(1e6, 0)
		h := NewHolder("giza", DefaultLoanTimings(), tc.dcs, 1)
		h.SetLimits(now, 1, []Limit{{Account: account, Rate: 50, Burst: 100}})
		h.Observe(now, 0, Lease{Term: 2}, true)
		a, ok := h.Account(0, account)
		is.True(ok)
		now = now.Add(100 * time.Millisecond)
		admitted := 0
		for {
			if ok, _, _ := a.Take(now, 1); !ok {
				break
			}
			admitted++
		}
		is.Equal(admitted > 0, tc.want)
		is.True(admitted <= 5) // 100 ms of 50 requests per second, from empty
	}
}
