package backendlimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLimitIsLiftedOnlyByAResponseToALaterRequest(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	limited, lower := Limit{Announced: true, RequestsPerSecond: 5}, Limit{Announced: true, RequestsPerSecond: 2}

	s := State{}.Update(Observed(Limit{}, at(0), at(1)))
	is.Equal(s.Limit, Limit{})
	s = s.Update(Observed(limited, at(10), at(20)))
	is.Equal(s.Limit, limited)
	// Sent before the announcement, and overtaken by it.
	is.Equal(s.Update(Observed(Limit{}, at(15), at(30))), s)
	s = s.Update(Observed(lower, at(30), at(40)))
	is.Equal(s.Limit, lower)
	is.Equal(s.Update(Observed(Limit{}, at(41), at(50))).Limit, Limit{})
}
