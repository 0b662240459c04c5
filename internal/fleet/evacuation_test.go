package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const returnPeriod = 5 * time.Second

// evacuationFixture returns a fleet in data centre a, with the servers x in a and y in b.
func evacuationFixture() (*Fleet, *time.Time) {
	now := time.Unix(1000, 0)
	f := New("a", drainPeriod)
	f.now = func() time.Time { return now }
	f.ReturnPeriod = func(string) time.Duration { return returnPeriod }
	f.Upsert(entry("x", "a"))
	elsewhere := entry("y", "b")
	elsewhere.Address = "10.0.1.1:80"
	f.Upsert(elsewhere)
	return f, &now
}

func TestServersOfAnEvacuatedDataCentreGetNothingNew(t *testing.T) {
	is := is.New(t)
	f, _ := evacuationFixture()
	inProgress := f.Acquire(Criteria{Service: "s"})
	is.Equal(inProgress.ID, "x")
	changes := f.SetEvacuated([]string{"a"})
	is.Equal(changes, []EvacuationChange{{DataCentre: "a", Evacuated: true, Servers: 1}})
	for range 20 {
		is.Equal(f.Acquire(Criteria{Service: "s", Preferred: "x"}).ID, "y")
	}
	is.True(!f.AcceptsNew(entry("x", "a").Address))
	is.Equal(f.Outlook(Criteria{Service: "s"}).Servers, 1)
	is.True(f.IsEvacuated(inProgress))
	f.Release(inProgress, false)
	// Neither as a last resort, nor after the server restarts or registers again.
	is.Equal(f.Acquire(Criteria{Service: "s", Exclude: []string{"y"}}), nil)
	restarted := entry("x", "a")
	restarted.Incarnation = 7
	f.Upsert(restarted)
	is.Equal(f.Acquire(Criteria{Service: "s", Exclude: []string{"y"}}), nil)
}

func TestServiceWithoutAServerElsewhereIsKnownAsSuch(t *testing.T) {
	is := is.New(t)
	f, _ := evacuationFixture()
	is.True(!f.AllEvacuated(Criteria{Service: "s"}))
	f.SetEvacuated([]string{"a"})
	is.True(!f.AllEvacuated(Criteria{Service: "s"}))
	f.SetEvacuated([]string{"a", "b"})
	is.True(f.AllEvacuated(Criteria{Service: "s"}))
	is.True(!f.AllEvacuated(Criteria{Service: "unregistered"}))
	is.Equal(f.EvacuatedCount(), 2)
}

// Guards against all requests coming at once to servers whose caches are empty.
func TestLoadReturnsStepByStepAfterAnEvacuation(t *testing.T) {
	is := is.New(t)
	f, now := evacuationFixture()
	f.SetEvacuated([]string{"a"})
	f.SetEvacuated(nil)
	const picks = 2000
	for _, step := range []struct {
		after time.Duration
		share float64
	}{{0, 0}, {returnPeriod / 4, 0.25}, {returnPeriod / 2, 0.5}, {returnPeriod, 1}} {
		*now = time.Unix(1000, 0).Add(step.after)
		home := 0
		for range picks {
			b := f.Acquire(Criteria{Service: "s", Preferred: "x"})
			if b.ID == "x" {
				home++
			}
			f.Release(b, false)
		}
		share := float64(home) / picks
		is.True(share > step.share-0.05 && share < step.share+0.05)
	}
}

func TestReturningServersAreUsedForLackOfOthers(t *testing.T) {
	is := is.New(t)
	f, _ := evacuationFixture()
	f.SetEvacuated([]string{"a"})
	f.SetEvacuated(nil)
	is.Equal(f.Acquire(Criteria{Service: "s", Exclude: []string{"y"}}).ID, "x")
}

func TestTakenBackAndEvacuatedAgainGetsNothing(t *testing.T) {
	is := is.New(t)
	f, now := evacuationFixture()
	f.SetEvacuated([]string{"a"})
	f.SetEvacuated(nil)
	*now = now.Add(time.Second)
	f.SetEvacuated([]string{"a"})
	*now = now.Add(2 * returnPeriod)
	for range 20 {
		is.Equal(f.Acquire(Criteria{Service: "s"}).ID, "y")
	}
}

// The servers may have lost their caches shortly before, and say so only with their next entry.
func TestServersThatAreTakenBackAreColdUntilTheirEntriesSayOtherwise(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := newColdFleet(&now)
	f.Upsert(coldEntry("x", 0))
	is.True(!isCold(f, "x"))
	f.SetEvacuated([]string{"a"})
	f.SetEvacuated(nil)
	is.True(isCold(f, "x"))
	now = now.Add(2 * coldReadLag)
	f.Upsert(coldEntry("x", 0))
	is.True(!isCold(f, "x"))
}

func TestServerOutsideTheAllowedDataCentresIsNeverPicked(t *testing.T) {
	is := is.New(t)
	f, _ := evacuationFixture()
	c := Criteria{Service: "s", Preferred: "x", InDataCentre: func(dataCentre string) bool { return dataCentre == "b" }}
	for range 20 {
		is.Equal(f.Acquire(c).ID, "y")
	}
	is.Equal(f.Outlook(c).Servers, 1)
	c.Exclude = []string{"y"}
	is.Equal(f.Acquire(c), nil)
	f.SetEvacuated([]string{"b"})
	is.True(f.AllEvacuated(c))
}
