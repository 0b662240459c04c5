package quotactl

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/verdict"
)

func TestOverRateAccountIsRefusedWithoutItsHolder(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 6, shortTimings, []Limit{{Account: "kiosk", Rate: 6, Burst: 3}})
	holder := f.holderOf("giza", "kiosk")
	other := f.ctl[3-holder] // the other instance of giza
	for range 40 {
		_ = other.Take(context.Background(), "kiosk", 1)
	}
	f.net.mu.Lock()
	f.net.isolated[f.self[holder].PeerAddr] = true
	f.net.mu.Unlock()
	start := time.Now()
	ve := verdict.From(other.Take(context.Background(), "kiosk", 1))
	if time.Since(start) < 100*time.Millisecond { // otherwise the retry delay may have passed
		is.Equal(ve.Reason, verdict.ReasonRateLimited)
		is.True(ve.RetryAfter > 0)
	}
}
