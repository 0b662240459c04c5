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

func TestServerAtItsLimitIsPassedOver(t *testing.T) {
	is := is.New(t)
	f := New("a", drainPeriod)
	f.Upsert(entry("x", "a"))
	f.Upsert(entry("y", "b"))
	limit := RateLimit{Announced: true, RequestsPerSecond: 3}
	f.ObserveLimit(f.Acquire(Criteria{Service: "s", Exclude: []string{"y"}}), limit, time.Now())
	permits := 1
	var asked []string
	c := Criteria{Service: "s", Preferred: "x", Permit: func(e Entry, l RateLimit) bool {
		asked = append(asked, e.ID)
		is.Equal(l, limit)
		permits--
		return permits >= 0
	}}
	is.Equal(f.Acquire(c).ID, "x")
	is.Equal(f.Acquire(c).ID, "y")
	is.Equal(asked, []string{"x", "x"}) // y announces no limit
	c.Exclude = []string{"y"}
	is.Equal(f.Acquire(c), nil)
}

func TestLimitOutlivesTheEntry(t *testing.T) {
	is := is.New(t)
	f := New("a", drainPeriod)
	e := entry("x", "a")
	f.Upsert(e)
	b := f.Acquire(Criteria{Service: "s"})
	f.ObserveLimit(b, RateLimit{Announced: true, RequestsPerSecond: 1}, time.Now())
	f.Remove("x")
	f.Upsert(e)
	none := Criteria{Service: "s", Permit: func(Entry, RateLimit) bool { return false }}
	is.Equal(f.Acquire(none), nil)
	// A response to a request that was sent before the entry expired lifts it too.
	f.ObserveLimit(b, RateLimit{}, time.Now())
	is.Equal(f.Acquire(none).ID, "x")
	is.Equal(len(f.announced), 0)
}
