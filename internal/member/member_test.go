package member

import (
	"testing"

	"github.com/matryer/is"
)

func TestMergeKeepsNewestIncarnation(t *testing.T) {
	is := is.New(t)
	tab := NewTable(Instance{ID: "giza-0", DataCentre: "giza"})
	tab.Merge(Instance{ID: "giza-1", DataCentre: "giza", Slot: 1, Incarnation: 7, Leaving: true})
	tab.Merge(Instance{ID: "giza-1", DataCentre: "giza", Slot: 1, Incarnation: 5})
	tab.Merge(Instance{ID: "giza-1", DataCentre: "giza", Slot: 1, Incarnation: 7})
	in, ok := tab.AtSlot("giza", 1)
	is.True(ok)
	is.Equal(in.Incarnation, uint64(7))
	is.True(in.Leaving) // an update with the same incarnation does not clear the flag
	tab.Merge(Instance{ID: "giza-1", DataCentre: "giza", Slot: 1, Incarnation: 8})
	in, _ = tab.AtSlot("giza", 1)
	is.Equal(in.Leaving, false)
}

func TestSelfIsNeverReplaced(t *testing.T) {
	is := is.New(t)
	tab := NewTable(Instance{ID: "giza-0", DataCentre: "giza", PeerAddr: "127.0.0.1:1"})
	tab.Merge(Instance{ID: "giza-0", DataCentre: "giza", PeerAddr: "127.0.0.1:2", Incarnation: 9})
	tab.Remove("giza-0")
	is.Equal(len(tab.All()), 1)
	is.Equal(tab.All()[0].PeerAddr, "127.0.0.1:1")
}

func TestDigestDiffersForDifferentTables(t *testing.T) {
	is := is.New(t)
	a, b := NewTable(Instance{ID: "a", Incarnation: 1}), NewTable(Instance{ID: "b", Incarnation: 2})
	is.True(a.Digest() != b.Digest())
	a.Merge(Instance{ID: "b", Incarnation: 2})
	b.Merge(Instance{ID: "a", Incarnation: 1})
	is.Equal(a.Digest(), b.Digest())
	a.SetLeaving()
	is.True(a.Digest() != b.Digest())
	b.Merge(a.All()[0])
	is.Equal(a.Digest(), b.Digest())
	a.Merge(Instance{ID: "c", Incarnation: 3})
	a.Remove("c")
	is.Equal(a.Digest(), b.Digest())
}
