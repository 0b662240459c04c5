package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLimitIsLiftedOnlyByAResponseToALaterRequest(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	limited, unlimited := RateLimit{Announced: true, RequestsPerSecond: 5}, RateLimit{}

	s := limitState{}.observe(unlimited, at(0), at(1))
	is.Equal(s, limitState{})
	s = s.observe(limited, at(10), at(20))
	is.Equal(s.RateLimit, limited)
	// Sent before the announcement, and overtaken by it.
	is.Equal(s.observe(unlimited, at(15), at(30)), s)
	lower := RateLimit{Announced: true, RequestsPerSecond: 2}
	s = s.observe(lower, at(30), at(40))
	is.Equal(s.RateLimit, lower)
	is.Equal(s.since, at(20))
	is.Equal(s.observe(unlimited, at(41), at(50)), limitState{})
}

func TestRestartedServerHasNoLimit(t *testing.T) {
	is := is.New(t)
	f := New("a", drainPeriod)
	e := entry("x", "a")
	f.Upsert(e)
	_, changed := f.ObserveLimit(f.Acquire(Criteria{Service: "s"}), RateLimit{Announced: true, RequestsPerSecond: 1}, time.Now())
	is.True(changed)
	e.Incarnation = 2
	f.Upsert(e)
	is.Equal(f.Acquire(Criteria{Service: "s"}).server.limit, limitState{})
}
