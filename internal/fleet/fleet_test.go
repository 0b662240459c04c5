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
	f.Set(entry("near", "a"))
	f.Set(entry("far", "b"))
	is.Equal(f.Acquire(Choice{Service: "s"}).ID, "near")
	is.Equal(f.Acquire(Choice{Service: "s"}).ID, "far")
}

func TestPreferredServerIsUsedWithinAffinitySlack(t *testing.T) {
	is := is.New(t)
	f := New("a")
	f.Set(entry("x", "a"))
	f.Set(entry("y", "a"))
	for range 3 {
		is.Equal(f.Acquire(Choice{Service: "s", Preferred: "x"}).ID, "x")
	}
	is.Equal(f.Acquire(Choice{Service: "s", Preferred: "x"}).ID, "y")
}

func TestDrainingAndExcludedServersAreNotUsed(t *testing.T) {
	is := is.New(t)
	f := New("a")
	draining := entry("x", "a")
	draining.Draining = true
	f.Set(draining)
	f.Set(entry("y", "a"))
	is.Equal(f.Acquire(Choice{Service: "s", Preferred: "x"}).ID, "y")
	is.Equal(f.Acquire(Choice{Service: "s", Exclude: []string{"y"}}), nil)
	f.Remove("y")
	is.Equal(f.Acquire(Choice{Service: "s"}), nil)
}

func TestFailedServerIsUsedOnlyWithoutAlternative(t *testing.T) {
	is := is.New(t)
	f := New("a")
	now := time.Now()
	f.now = func() time.Time { return now }
	f.Set(entry("x", "a"))
	f.Set(entry("y", "b"))
	f.Release(f.Acquire(Choice{Service: "s"}), true)
	is.Equal(f.Acquire(Choice{Service: "s"}).ID, "y")
	// It is used if no other server is left.
	is.Equal(f.Acquire(Choice{Service: "s", Exclude: []string{"y"}}).ID, "x")
	now = now.Add(2 * minSuspectDuration)
	is.Equal(f.Acquire(Choice{Service: "s"}).ID, "x")
}

func TestRestartUnderSameIDResetsState(t *testing.T) {
	is := is.New(t)
	f := New("a")
	e := entry("x", "a")
	f.Set(e)
	b := f.Acquire(Choice{Service: "s"})
	e.Incarnation = 2
	f.Set(e)
	is.True(f.Gone(b))
	is.Equal(f.Acquire(Choice{Service: "s"}).inFlight, 1)
	f.Release(b, true)
	is.Equal(len(f.Entries()), 1)
}
