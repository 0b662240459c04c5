package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/backendlimit"
)

const coldPeriod = 3 * time.Second

// newColdFleet returns a loaded fleet in virtual time whose cold servers are limited to 20 requests per second.
func newColdFleet(now *time.Time) *Fleet {
	f := New("a", drainPeriod)
	f.now = func() time.Time { return *now }
	f.SetColdLimit(func(string) ColdLimit {
		return ColdLimit{Limited: true, RequestsPerSecond: 20, Burst: 2, Period: coldPeriod, Instances: 10}
	})
	f.MarkLoaded()
	return f
}

func coldEntry(id string, left time.Duration) Entry {
	e := entry(id, "a")
	e.Cold = ColdReport{Known: true, Left: left}
	return e
}

// isCold reports whether a server gets nothing without a permission.
func isCold(f *Fleet, id string, others ...string) bool {
	b := f.Acquire(Criteria{Service: "s", Exclude: others, Permit: func(_ backendlimit.Server, l backendlimit.Limit) bool { return !l.Cold }})
	if b != nil {
		f.Cancel(b)
	}
	return b == nil
}

func TestColdServerGetsNothingWithoutPermission(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := newColdFleet(&now)
	f.Upsert(coldEntry("x", 2*time.Second))
	is.Equal(f.Acquire(Criteria{Service: "s", Permit: denyAll}), nil)
	is.Equal(f.Acquire(Criteria{Service: "s"}), nil)
	c := Criteria{Service: "s", Permit: func(_ backendlimit.Server, l backendlimit.Limit) bool {
		is.Equal(l, backendlimit.Limit{Announced: true, RequestsPerSecond: 20, Cold: true, Burst: 2})
		return true
	}}
	b := f.Acquire(c)
	is.Equal(b.ID, "x")
	// Nor as a last resort after it failed.
	f.Release(b, true)
	is.Equal(f.Acquire(Criteria{Service: "s", Permit: denyAll}), nil)
	// The state ends by itself, even if no entry is read any more.
	now = now.Add(2 * time.Second)
	is.Equal(f.Acquire(Criteria{Service: "s", Permit: denyAll}).ID, "x")
}

func TestServicesWithoutABoundHaveNoColdServers(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := newColdFleet(&now)
	f.SetColdLimit(func(string) ColdLimit { return ColdLimit{} })
	is.True(!f.Upsert(coldEntry("x", 2*time.Second)))
	is.True(!isCold(f, "x"))
}

// Load pattern: heartbeats count down; hundreds of followers must not be sent the registry each time.
func TestOnlyTurningColdOrWarmIsAChange(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := newColdFleet(&now)
	f.Upsert(coldEntry("x", 0))
	is.True(f.Upsert(coldEntry("x", coldPeriod)))
	for range 5 {
		now = now.Add(500 * time.Millisecond)
		is.True(!f.Upsert(coldEntry("x", coldPeriod-now.Sub(f.byID["x"].cold.reported.Add(-coldPeriod)))))
	}
	is.True(f.Upsert(coldEntry("x", 2*time.Second))) // cold again before it was warm
	is.True(f.Upsert(coldEntry("x", 0)))
	is.True(!f.Upsert(coldEntry("x", 0)))
	is.True(f.Upsert(coldEntry("x", time.Second))) // turned cold again
	is.True(isCold(f, "x"))
	_, spells := f.ColdServers()
	is.Equal(spells, 2)
}

func TestFollowersLearnHowLongAServerIsCold(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	reader, follower := newColdFleet(&now), newColdFleet(&now)
	reader.Upsert(coldEntry("x", 2*time.Second))
	now = now.Add(500 * time.Millisecond)
	follower.Upsert(reader.Entries()[0])
	is.True(isCold(follower, "x"))
	now = now.Add(1500 * time.Millisecond)
	is.True(!isCold(follower, "x"))
	is.True(!isCold(reader, "x"))
	follower.Upsert(reader.Entries()[0])
	is.True(!isCold(follower, "x"))
}

// Entries may come from other writers.
func TestReportsThatTellNothingNeverMakeAServerUnusable(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := newColdFleet(&now)
	f.Upsert(coldEntry("x", 0))
	unknown := entry("x", "a")
	is.True(!f.Upsert(unknown)) // what was known holds
	is.True(!isCold(f, "x"))
	f.Upsert(coldEntry("x", 2*time.Second))
	f.Upsert(unknown)
	is.True(isCold(f, "x"))
	now = now.Add(2 * time.Second)
	is.True(!isCold(f, "x"))

	f.Upsert(coldEntry("x", 1000*time.Hour)) // bounded by the period
	is.True(isCold(f, "x"))
	now = now.Add(coldPeriod)
	is.True(!isCold(f, "x"))

	// A server that joins the others without a word about it has just started.
	joined := entry("y", "a")
	is.True(f.Upsert(joined))
	is.True(isCold(f, "y", "x"))
	now = now.Add(coldPeriod)
	is.True(!isCold(f, "y", "x"))
	joined.Incarnation = 2
	f.Upsert(joined)
	is.True(isCold(f, "y", "x"))
}

// Load pattern: an instance that has just started reads entries of servers that have long been warm.
func TestServersOfTheFirstReadAreNotAssumedCold(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := newColdFleet(&now)
	f.loaded = false
	f.Upsert(entry("x", "a"))
	is.True(!isCold(f, "x"))
}

func TestWarmServersArePreferredToColdOnes(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := newColdFleet(&now)
	f.Upsert(coldEntry("x", 2*time.Second))
	warm := coldEntry("y", 0)
	warm.DataCentre = "b"
	f.Upsert(warm)
	c := Criteria{Service: "s", Permit: func(backendlimit.Server, backendlimit.Limit) bool { return true }}
	is.Equal(f.Acquire(c).ID, "y") // though it is in another data centre
	preferred := c
	preferred.Preferred = "x"
	is.Equal(f.Acquire(preferred).ID, "x") // with one request in progress, y may have no room any more
	is.Equal(f.Acquire(c).ID, "y")
}

func TestColdServersCanBePassedOver(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := newColdFleet(&now)
	f.Upsert(coldEntry("x", 2*time.Second))
	c := Criteria{Service: "s", Preferred: "x", WarmOnly: true, Permit: func(backendlimit.Server, backendlimit.Limit) bool { return true }}
	is.Equal(f.Acquire(c), nil)
	f.Upsert(coldEntry("y", 0))
	is.Equal(f.Acquire(c).ID, "y")
}

func TestColdPenaltyIsTheLoadOfAFullServer(t *testing.T) {
	is := is.New(t)
	// An instance has a tenth of the requests of a server that ten instances fill.
	is.Equal(coldPenalty(10), remotePenalty+0.1)
	is.Equal(coldPenalty(0), remotePenalty+1)
}

// Load pattern: an evacuated data centre is taken back before its servers have said that they lost their caches.
func TestServersOfADataCentreAreAssumedColdUntilNewerEntries(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := newColdFleet(&now)
	f.Upsert(coldEntry("x", 0))
	other := coldEntry("y", 0)
	other.DataCentre = "b"
	f.Upsert(other)
	f.AssumeCold("a", now)
	is.True(isCold(f, "x", "y"))
	is.True(!isCold(f, "y", "x"))
	now = now.Add(coldReadLag / 2)
	is.True(!f.Upsert(coldEntry("x", 0))) // may have been written before
	is.True(isCold(f, "x", "y"))
	now = now.Add(coldReadLag)
	is.True(f.Upsert(coldEntry("x", 0)))
	is.True(!isCold(f, "x", "y"))

	f.AssumeCold("a", now)
	now = now.Add(coldReadLag)
	f.Upsert(coldEntry("x", 2500*time.Millisecond))
	now = now.Add(2400 * time.Millisecond)
	is.True(isCold(f, "x", "y")) // as it said
	f.AssumeCold("a", now)
	now = now.Add(coldPeriod)
	is.True(!isCold(f, "x", "y")) // without any entry
}

// A follower gets entries from its reader that are as old as the reader's last read.
func TestOldEntriesOfAReaderDoNotEndTheAssumption(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	reader, follower := newColdFleet(&now), newColdFleet(&now)
	reader.Upsert(coldEntry("x", 0))
	now = now.Add(time.Second)
	follower.AssumeCold("a", now)
	follower.Upsert(reader.Entries()[0])
	now = now.Add(2 * coldReadLag)
	follower.Upsert(reader.Entries()[0])
	is.True(isCold(follower, "x"))
	reader.Upsert(coldEntry("x", 0))
	follower.Upsert(reader.Entries()[0])
	is.True(!isCold(follower, "x"))
}

// A server that comes to be known only after its data centre was taken back.
func TestAssumptionHoldsForServersThatAppearLater(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := newColdFleet(&now)
	f.AssumeCold("a", now)
	f.Upsert(coldEntry("x", 0))
	is.True(isCold(f, "x"))
}

func TestSmallerOfTwoLimitsBinds(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := newColdFleet(&now)
	f.Upsert(coldEntry("x", 2*time.Second))
	announced := func(perSecond float64) {
		f.UpdateLimit(backendlimit.Server{ID: "x"}, backendlimit.State{
			Limit: backendlimit.Limit{Announced: true, RequestsPerSecond: perSecond}, AsOf: now,
		})
	}
	var got backendlimit.Limit
	c := Criteria{Service: "s", Permit: func(_ backendlimit.Server, l backendlimit.Limit) bool {
		got = l
		return true
	}}
	announced(5)
	f.Acquire(c)
	is.Equal(got, backendlimit.Limit{Announced: true, RequestsPerSecond: 5, Cold: true, Burst: 1})
	now = now.Add(time.Millisecond)
	announced(50)
	f.Acquire(c)
	is.Equal(got, backendlimit.Limit{Announced: true, RequestsPerSecond: 20, Cold: true, Burst: 2})
	now = now.Add(2 * time.Second)
	f.Acquire(c)
	is.Equal(got, backendlimit.Limit{Announced: true, RequestsPerSecond: 50})
}

func TestOutlookAddsUpTheColdServers(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := newColdFleet(&now)
	for i := range 5 {
		f.Upsert(coldEntry(fmt.Sprint("x", i), time.Duration(i)*500*time.Millisecond))
	}
	is.Equal(f.ColdOutlook("s"), ColdOutlook{Share: 4 * 20.0 / 10, Left: 2 * time.Second})
	cold, _ := f.ColdServers()
	is.Equal(cold, 4)
	now = now.Add(2 * time.Second)
	is.Equal(f.ColdOutlook("s"), ColdOutlook{})
}
