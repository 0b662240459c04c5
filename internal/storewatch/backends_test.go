package storewatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/fleet"
)

// Peers follow this instance's view by its changes, so each field of an entry counts as one.
func TestEachChangeOfAnEntryIsReported(t *testing.T) {
	is := is.New(t)
	changes := 0
	f := fleet.New("a", 0)
	f.SetColdLimit(func(string) fleet.ColdLimit { return fleet.ColdLimit{Limited: true, Period: 3 * time.Second} })
	w := NewBackendWatcher(nil, f, Hooks{OnChange: func() { changes++ }})
	e := fleet.Entry{ID: "x", Service: "s", Address: "10.0.0.1:80", DataCentre: "a", Slots: 8}
	for _, change := range []func(){
		func() {},
		func() { e.Slots = 4 },
		func() { e.DataCentre = "b" },
		func() { e.Draining = true },
		func() { e.Cold = fleet.ColdReport{Known: true, Left: 2 * time.Second} },
		func() { e.Cold.Left = 0 },
		func() { e.Incarnation = 5 },
	} {
		change()
		before := changes
		w.Replace([]fleet.Entry{e})
		is.Equal(changes, before+1)
		w.Replace([]fleet.Entry{e})
		is.Equal(changes, before+1)
	}
}

// Guards against the registry being sent to every follower with each heartbeat of a cold server.
func TestHeartbeatsThatCountDownAreNoChange(t *testing.T) {
	is := is.New(t)
	changes := 0
	f := fleet.New("a", 0)
	f.SetColdLimit(func(string) fleet.ColdLimit { return fleet.ColdLimit{Limited: true, Period: 3 * time.Second} })
	w := NewBackendWatcher(nil, f, Hooks{OnChange: func() { changes++ }})
	e := fleet.Entry{ID: "x", Service: "s", Address: "10.0.0.1:80", DataCentre: "a", Slots: 8}
	for left := 3 * time.Second; left > 0; left -= 500 * time.Millisecond {
		e.Cold = fleet.ColdReport{Known: true, Left: left}
		w.Replace([]fleet.Entry{e})
	}
	is.Equal(changes, 1)
}
