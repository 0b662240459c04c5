package storewatch

import (
	"testing"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/fleet"
)

// Peers follow this instance's view by its changes, so each field of an entry counts as one.
func TestEachChangeOfAnEntryIsReported(t *testing.T) {
	is := is.New(t)
	changes := 0
	w := NewBackendWatcher(nil, fleet.New("a", 0), Hooks{OnChange: func() { changes++ }})
	e := fleet.Entry{ID: "x", Service: "s", Address: "10.0.0.1:80", DataCentre: "a", Slots: 8}
	for _, change := range []func(){
		func() {},
		func() { e.Slots = 4 },
		func() { e.DataCentre = "b" },
		func() { e.Draining = true },
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
