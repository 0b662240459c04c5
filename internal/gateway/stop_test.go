package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Load pattern: requests of clients that keep their connections arrive until the end of a planned stop.
func TestPlannedStopTakesWhatEndsInTime(t *testing.T) {
	is := is.New(t)
	begin := time.Unix(1000, 0)
	s := plannedStop{end: begin.Add(7 * time.Second)}
	const timeout = 3 * time.Second
	for _, c := range []struct {
		after      time.Duration
		repeatable bool
		taken      bool
		within     time.Duration
	}{
		{0, false, true, timeout}, {0, true, true, timeout},
		{4 * time.Second, false, true, timeout}, {4 * time.Second, true, true, timeout},
		{4*time.Second + 1, false, false, 0}, {5 * time.Second, true, true, 2 * time.Second},
		{7*time.Second - minAttemptTime, true, false, 0}, {8 * time.Second, true, false, 0}, {8 * time.Second, false, false, 0},
	} {
		now := begin.Add(c.after)
		respondBy, taken := s.admit(now, now.Add(timeout), c.repeatable)
		is.Equal(taken, c.taken)
		if taken {
			is.Equal(respondBy.Sub(now), c.within)
		}
	}
}
