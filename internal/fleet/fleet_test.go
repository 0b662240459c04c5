package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const drainPeriod = 2 * time.Second

func entry(id, dataCentre string) Entry {
	return Entry{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: dataCentre, Slots: 10}
}

func TestLeastLoadedLocalServerIsPreferred(t *testing.T) {
	is := is.New(t)
	f := New("a", drainPeriod)
	f.Upsert(entry("near", "a"))
	f.Upsert(entry("far", "b"))
	is.Equal(f.Acquire(Criteria{Service: "s"}).ID, "near")
	is.Equal(f.Acquire(Criteria{Service: "s"}).ID, "far")
}

func TestPreferredServerIsUsedWithinAffinitySlack(t *testing.T) {
	is := is.New(t)
	f := New("a", drainPeriod)
	f.Upsert(entry("x", "a"))
	f.Upsert(entry("y", "a"))
	for range 3 {
		is.Equal(f.Acquire(Criteria{Service: "s", Preferred: "x"}).ID, "x")
	}
	is.Equal(f.Acquire(Criteria{Service: "s", Preferred: "x"}).ID, "y")
}

func TestDrainingAndExcludedServersAreNotUsed(t *testing.T) {
	is := is.New(t)
	f := New("a", drainPeriod)
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
	f := New("a", drainPeriod)
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
	f := New("a", drainPeriod)
	e := entry("x", "a")
	f.Upsert(e)
	b := f.Acquire(Criteria{Service: "s"})
	e.Incarnation = 2
	f.Upsert(e)
	restarted := f.Acquire(Criteria{Service: "s"})
	is.Equal(restarted.Incarnation, int64(2))
	is.Equal(restarted.server.inFlight, 1)
	f.Release(b, true)
	is.Equal(restarted.server.failures, 0)
	is.Equal(len(f.Entries()), 1)
}

func TestPickedServerKeepsItsEntryWhileTheFleetChanges(t *testing.T) {
	is := is.New(t)
	f := New("a", drainPeriod)
	e := entry("x", "a")
	f.Upsert(e)
	b := f.Acquire(Criteria{Service: "s"})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 100 {
			changed := e
			changed.Slots = i + 1
			f.Upsert(changed)
		}
	}()
	for range 100 {
		is.Equal(b.Entry, e)
	}
	<-done
	is.Equal(f.Entries()[0].Slots, 100)
}

// leavingFixture is a fleet of the servers x and y, of which x has announced that it is leaving.
func leavingFixture() (f *Fleet, now *time.Time) {
	f = New("a", drainPeriod)
	t := time.Unix(1000, 0)
	f.now = func() time.Time { return t }
	f.Upsert(entry("x", "a"))
	f.Upsert(entry("y", "a"))
	f.MarkLeaving(f.Acquire(Criteria{Service: "s", Exclude: []string{"y"}}))
	return f, &t
}

func TestLeavingServerIsALastResortAndThenUnused(t *testing.T) {
	is := is.New(t)
	f, now := leavingFixture()
	for range 20 {
		is.Equal(f.Acquire(Criteria{Service: "s", Preferred: "x"}).ID, "y")
	}
	without := Criteria{Service: "s", Exclude: []string{"y"}}
	is.Equal(f.Acquire(without).ID, "x")
	*now = now.Add(drainPeriod / 2)
	is.Equal(f.Acquire(without), nil)
}

func TestAnnouncementOutlivesTheEntry(t *testing.T) {
	is := is.New(t)
	f, now := leavingFixture()
	*now = now.Add(drainPeriod)
	f.Remove("x")
	f.Upsert(entry("x", "a"))
	without := Criteria{Service: "s", Exclude: []string{"y"}}
	is.Equal(f.Acquire(without), nil)
	restarted := entry("x", "a")
	restarted.Incarnation = 7
	f.Upsert(restarted)
	is.Equal(f.Acquire(without).ID, "x")
	// Another server may take over the address of the one that left.
	other := entry("z", "a")
	f.Remove("x")
	f.Upsert(other)
	is.Equal(f.Acquire(Criteria{Service: "s", Exclude: []string{"y", "x"}}).ID, "z")
}

func TestLateAnnouncementOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	f := New("a", drainPeriod)
	f.Upsert(entry("x", "a"))
	earlier := f.Acquire(Criteria{Service: "s"})
	restarted := entry("x", "a")
	restarted.Incarnation = 7
	f.Upsert(restarted)
	f.MarkLeaving(earlier)
	is.Equal(f.Acquire(Criteria{Service: "s"}).ID, "x")
	f.Upsert(restarted)
	is.Equal(f.Acquire(Criteria{Service: "s"}).Incarnation, int64(7))
}

func TestLeavingServerAcceptsNothingNewForOtherInstancesEither(t *testing.T) {
	is := is.New(t)
	f := New("a", drainPeriod)
	now := time.Unix(1000, 0)
	f.now = func() time.Time { return now }
	e := entry("x", "a")
	e.Incarnation = 3
	f.Upsert(e)
	is.True(!f.MarkLeavingID("x", 2)) // an earlier incarnation
	now = now.Add(drainPeriod)
	is.True(f.AcceptsNew(e.Address))
	is.True(f.MarkLeavingID("x", 3))
	is.True(!f.MarkLeavingID("x", 3))
	now = now.Add(drainPeriod)
	is.True(!f.AcceptsNew(e.Address))
	is.True(!f.AcceptsNew("10.0.0.2:80"))
}
