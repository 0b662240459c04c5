package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func entry(id, dataCentre string) Entry {
	return Entry{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: dataCentre, Slots: 10}
}

func TestLeastLoadedLocalServerIsPreferred(t *testing.T) {
	is := is.New(t)
	f := New("a")
	f.Upsert(entry("near", "a"))
	f.Upsert(entry("far", "b"))
	is.Equal(f.Acquire(Criteria{Service: "s"}).ID, "near")
	is.Equal(f.Acquire(Criteria{Service: "s"}).ID, "far")
}

func TestPreferredServerIsUsedWithinAffinitySlack(t *testing.T) {
	is := is.New(t)
	f := New("a")
	f.Upsert(entry("x", "a"))
	f.Upsert(entry("y", "a"))
	for range 3 {
		is.Equal(f.Acquire(Criteria{Service: "s", Preferred: "x"}).ID, "x")
	}
	is.Equal(f.Acquire(Criteria{Service: "s", Preferred: "x"}).ID, "y")
}

func TestDrainingAndExcludedServersAreNotUsed(t *testing.T) {
	is := is.New(t)
	f := New("a")
	draining := entry("x", "a")
	draining.Draining = true
	f.Upsert(draining)
	f.Upsert(entry("y", "a"))
	is.Equal(f.Acquire(Criteria{Service: "s", Preferred: "x"}).ID, "y")
	is.Equal(f.Acquire(Criteria{Service: "s", Exclude: []string{"y"}}), nil)
	f.Remove("y")
	is.Equal(f.Acquire(Criteria{Service: "s"}), nil)
}

func TestFailedServerIsUsedOnlyWithoutAlternative(t *testing.T) {
	is := is.New(t)
	f := New("a")
	now := time.Now()
	f.now = func() time.Time { return now }
	f.Upsert(entry("x", "a"))
	f.Upsert(entry("y", "b"))
	f.Release(f.Acquire(Criteria{Service: "s"}), true)
	is.Equal(f.Acquire(Criteria{Service: "s"}).ID, "y")
	// It is used if no other server is left.
	is.Equal(f.Acquire(Criteria{Service: "s", Exclude: []string{"y"}}).ID, "x")
	now = now.Add(2 * minSuspectDuration)
	is.Equal(f.Acquire(Criteria{Service: "s"}).ID, "x")
}

func TestRestartUnderSameIDResetsState(t *testing.T) {
	is := is.New(t)
	f := New("a")
	e := entry("x", "a")
	f.Upsert(e)
	b := f.Acquire(Criteria{Service: "s"})
	e.Incarnation = 2
	f.Upsert(e)
	is.True(f.Removed(b))
	is.Equal(f.Acquire(Criteria{Service: "s"}).inFlight, 1)
	f.Release(b, true)
	is.Equal(len(f.Entries()), 1)
}
