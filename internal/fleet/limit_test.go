package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/backendlimit"
)

// limit is an announcement of the server x as of now.
func limit(perSecond float64) (backendlimit.Server, backendlimit.State) {
	l := backendlimit.Limit{Announced: perSecond > 0, RequestsPerSecond: perSecond}
	return backendlimit.Server{ID: "x"}, backendlimit.State{Limit: l, AsOf: time.Now()}
}

func denyAll(backendlimit.Server, backendlimit.Limit) bool { return false }

func TestRestartedServerHasNoLimit(t *testing.T) {
	is := is.New(t)
	f := New("a", drainPeriod)
	e := entry("x", "a")
	f.Upsert(e)
	_, changed := f.UpdateLimit(limit(1))
	is.True(changed)
	is.Equal(f.Acquire(Criteria{Service: "s", Permit: denyAll}), nil)
	e.Incarnation = 2
	f.Upsert(e)
	is.Equal(f.Acquire(Criteria{Service: "s", Permit: denyAll}).Incarnation, int64(2))
	_, changed = f.UpdateLimit(limit(1)) // of the earlier incarnation
	is.True(!changed)
}

func TestServerAtItsLimitIsPassedOver(t *testing.T) {
	is := is.New(t)
	f := New("a", drainPeriod)
	f.Upsert(entry("x", "a"))
	f.Upsert(entry("y", "b"))
	f.UpdateLimit(limit(3))
	permits := 1
	var asked []string
	c := Criteria{Service: "s", Preferred: "x", Permit: func(s backendlimit.Server, l backendlimit.Limit) bool {
		asked = append(asked, s.ID)
		is.Equal(l.RequestsPerSecond, 3.0)
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
	f.UpdateLimit(limit(1))
	f.Remove("x")
	f.Upsert(e)
	c := Criteria{Service: "s", Permit: denyAll}
	is.Equal(f.Acquire(c), nil)
	change, _ := f.UpdateLimit(limit(0))
	is.True(!change.After.Announced)
	is.Equal(f.Acquire(c).ID, "x")
	is.Equal(len(f.announced), 0)
}

func TestAnyDataCentreComparesLoadsAlone(t *testing.T) {
	is := is.New(t)
	f := New("a", drainPeriod)
	for _, e := range []Entry{entry("near", "a"), entry("far", "b")} {
		e.Slots = 100
		f.Upsert(e)
	}
	picked := map[string]int{}
	for range 20 {
		picked[f.Acquire(Criteria{Service: "s", AnyDataCentre: true}).ID]++
	}
	is.Equal(picked, map[string]int{"near": 10, "far": 10})
}
