package config

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
	"github.com/berylpond/berylpond/internal/invariant"
)

func editRecord(team string, base uint64, id, doc string) *configv1.Record {
	return &configv1.Record{Kind: &configv1.Record_Edit{Edit: &configv1.Edit{
		Team: team, BaseVersion: base, EditId: id, Author: "author of " + id, Document: []byte(doc),
	}}}
}

func withdrawalRecord(team, key string) *configv1.Record {
	return &configv1.Record{Kind: &configv1.Record_Withdrawal{
		Withdrawal: &configv1.KeyWithdrawal{Team: team, KeyId: key, AtUnixMs: 1},
	}}
}

// fleet is a log with several states that read it independently. State 0 always has read the whole log and is the
// reference.
type fleet struct {
	records []*configv1.Record
	first   int
	states  []*State
	// minVersions holds the lowest version that each state may report from now on, by team.
	minVersions []map[string]uint64
	// delayed holds records that writers may append later, any number of times.
	delayed []*configv1.Record
	// accepted holds every accepted document, by version.
	accepted map[uint64]string
	// acceptedPerBase counts the accepted edits by team and base version, and acceptedIDs holds their edit IDs.
	acceptedPerBase map[string]int
	acceptedIDs     map[string]bool
	withdrawn       map[string]bool
	edits           int
}

var fleetTeams = []string{"nile", "tsuru"}

func newFleet(n int) *fleet {
	f := &fleet{accepted: map[uint64]string{}, acceptedPerBase: map[string]int{},
		acceptedIDs: map[string]bool{}, withdrawn: map[string]bool{}}
	for range n {
		f.states = append(f.states, nil)
		f.minVersions = append(f.minVersions, nil)
	}
	for i := range n {
		f.restart(i)
	}
	return f
}

func (f *fleet) restart(i int) {
	f.states[i] = NewState()
	f.minVersions[i] = map[string]uint64{}
}

func (f *fleet) append(r *configv1.Record) {
	f.records = append(f.records, proto.Clone(r).(*configv1.Record))
	ref := f.states[0]
	before := map[string]uint64{}
	for _, name := range fleetTeams {
		_, before[name] = ref.Document(name)
	}
	f.read(0, len(f.records))
	for _, name := range fleetTeams {
		doc, v := ref.Document(name)
		if v != before[name] {
			f.accepted[v] = string(doc)
			f.acceptedPerBase[fmt.Sprint(name, r.GetEdit().GetBaseVersion())]++
			f.acceptedIDs[r.GetEdit().GetEditId()] = true
		}
	}
}

// read lets a state read up to n more records.
func (f *fleet) read(i, n int) {
	s := f.states[i]
	s.SetFirstOffset(uint64(f.first))
	for ; n > 0 && int(s.NextOffset()) < len(f.records); n-- {
		at := max(int(s.NextOffset()), f.first)
		s.Apply(uint64(at), f.records[at])
	}
	if int(s.NextOffset()) == len(f.records) {
		s.MarkEmptyTeamsExact()
	}
}

// reconcile merges what either of two states lacks, in both directions.
func (f *fleet) reconcile(i, j int) {
	a, b := f.states[i], f.states[j]
	if a.RootHash() == b.RootHash() {
		return
	}
	b.Merge(a.Delta(b.Digest()))
	a.Merge(b.Delta(a.Digest()))
}

// expireRecords appends a copy of each team's state and then drops records that these copies cover.
func (f *fleet) expireRecords(choose func(first, last int) int) {
	keep := len(f.records)
	for _, name := range fleetTeams {
		c := f.states[0].CopyRecord(name)
		if c == nil {
			continue
		}
		keep = min(keep, int(c.GetCopy().State.AsOf))
		f.append(c)
	}
	if keep > f.first {
		f.first = choose(f.first, keep)
	}
}

func (f *fleet) check(t *rapid.T) {
	for i, s := range f.states {
		for _, name := range fleetTeams {
			doc, v := s.Document(name)
			if v < f.minVersions[i][name] {
				t.Fatalf("state %d: version of %s decreased from %d to %d", i, name, f.minVersions[i][name], v)
			}
			f.minVersions[i][name] = v
			if want, ok := f.accepted[v]; v > 0 && (!ok || want != string(doc)) {
				t.Fatalf("state %d: version %d of %s is %q, accepted was %q", i, v, name, doc, want)
			}
		}
	}
	for i, s := range f.states {
		for n := 1; n <= f.edits; n++ {
			f.checkOutcome(t, i, s, fmt.Sprint("edit-", n))
		}
	}
	for base, n := range f.acceptedPerBase {
		if n != 1 {
			t.Fatalf("%d edits of base %s were accepted", n, base)
		}
	}
}

// checkOutcome checks that a state never reports a wrong outcome of an edit.
func (f *fleet) checkOutcome(t *rapid.T, i int, s *State, edit string) {
	for _, name := range fleetTeams {
		if out, ok := s.Outcome(name, edit); ok && out.Accepted != f.acceptedIDs[edit] {
			t.Fatalf("state %d reports accepted=%v for %s of %s", i, out.Accepted, edit, name)
		}
	}
}

func TestReadersConvergeUnderFaults(t *testing.T) {
	invariant.PanicOnViolation(true)
	defer invariant.PanicOnViolation(false)
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(4)
		state := func(t *rapid.T) int { return rapid.IntRange(1, len(f.states)-1).Draw(t, "state") }
		team := func(t *rapid.T) string { return rapid.SampledFrom(fleetTeams).Draw(t, "team") }
		delayedRecord := func(t *rapid.T) *configv1.Record {
			if len(f.delayed) == 0 {
				t.Skip("no delayed records")
			}
			return f.delayed[rapid.IntRange(0, len(f.delayed)-1).Draw(t, "late")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(t *rapid.T) {
				i, name := state(t), team(t)
				doc, base := f.states[i].Document(name)
				f.edits++
				text := fmt.Sprintf("document %d of %s", f.edits, name)
				r := editRecord(name, base, fmt.Sprint("edit-", f.edits), text)
				if base > 0 && rapid.Bool().Draw(t, "splice") {
					r.GetEdit().Document, r.GetEdit().Splice = nil, makeSplice(doc, []byte(text))
				}
				f.delayed = append(f.delayed, r)
				if rapid.Bool().Draw(t, "now") {
					f.append(r)
				}
			},
			"late": func(t *rapid.T) { f.append(delayedRecord(t)) },
			"read": func(t *rapid.T) { f.read(state(t), rapid.IntRange(1, 4).Draw(t, "records")) },
			"expire": func(t *rapid.T) {
				f.expireRecords(func(first, last int) int { return rapid.IntRange(first, last).Draw(t, "first") })
			},
			"copy": func(t *rapid.T) {
				if c := f.states[state(t)].CopyRecord(team(t)); c != nil {
					f.delayed = append(f.delayed, proto.Clone(c).(*configv1.Record))
				}
			},
			"restart":   func(t *rapid.T) { f.restart(state(t)) },
			"reconcile": func(t *rapid.T) { f.reconcile(state(t), state(t)) },
			"withdraw": func(t *rapid.T) {
				key := fmt.Sprint("key-", rapid.IntRange(1, 40).Draw(t, "key"))
				name := team(t)
				f.withdrawn[name+key] = true
				f.states[state(t)].WithdrawKey(&configv1.KeyWithdrawal{Team: name, KeyId: key, AtUnixMs: 1})
				f.delayed = append(f.delayed, withdrawalRecord(name, key))
				f.append(withdrawalRecord(name, key))
			},
			"": f.check,
		})
		for i := range f.states {
			f.read(i, len(f.records))
		}
		for range 2 {
			for i := range f.states {
				f.reconcile(0, i)
			}
		}
		f.check(t)
		for i, s := range f.states {
			if s.RootHash() != f.states[0].RootHash() {
				t.Fatalf("state %d did not converge: %v, want %v", i, s.Digest(), f.states[0].Digest())
			}
			for _, name := range fleetTeams {
				for key := range f.states[0].WithdrawnKeys(name) {
					if !s.WithdrawnKeys(name)[key] {
						t.Fatalf("state %d: key %s is no longer withdrawn", i, key)
					}
				}
			}
		}
	})
}

func TestFirstEditOfABaseWins(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.SetFirstOffset(0)
	s.Apply(0, editRecord("t", 0, "a", "A"))
	s.Apply(1, editRecord("t", 0, "b", "B"))
	s.Apply(2, editRecord("t", 0, "a", "A")) // a retried append
	doc, v := s.Document("t")
	is.Equal(string(doc), "A")
	is.Equal(v, uint64(1))
	out, ok := s.Outcome("t", "b")
	is.True(ok)
	is.Equal(out, Outcome{Version: 1, Author: "author of a"})
	out, _ = s.Outcome("t", "a")
	is.True(out.Accepted)
}

// Guards against the second record of an accepted edit, appended for lack of a response, being judged a conflict because many
// others came between.
func TestSecondRecordOfAnEditIsRecognizedAfterManyOthers(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.SetFirstOffset(0)
	first := editRecord("t", 0, "a", "A")
	s.Apply(0, first)
	const others = 3000
	for i := range uint64(others) {
		s.Apply(i+1, editRecord("t", i+1, fmt.Sprint("edit ", i), fmt.Sprint(i)))
	}
	s.Apply(others+1, first)
	out, ok := s.Outcome("t", "a")
	is.True(ok)
	is.Equal(out, Outcome{Accepted: true, Version: 1, Author: "author of a"})
	_, v := s.Document("t")
	is.Equal(v, uint64(others+1))

	// Outcomes do not pile up.
	late := editRecord("t", others+1, "late", "L")
	late.GetEdit().AtUnixMs += 2 * outcomeRetention.Milliseconds()
	s.Apply(others+2, late)
	is.Equal(len(s.teams["t"].outcomes), minOutcomes)
}

func TestCopyDoesNotOverrideLaterEdit(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.SetFirstOffset(0)
	s.Apply(0, editRecord("t", 0, "a", "A"))
	old := s.CopyRecord("t")
	s.Apply(1, editRecord("t", 1, "b", "B"))
	s.Apply(2, old)
	doc, v := s.Document("t")
	is.Equal(string(doc), "B")
	is.Equal(v, uint64(2))
}

// A reader that starts after the accepted edit of a base expired must not accept a rejected edit of the same base.
func TestLateReaderDoesNotAcceptRejectedEdit(t *testing.T) {
	is := is.New(t)
	full := NewState()
	full.SetFirstOffset(0)
	full.Apply(0, editRecord("t", 0, "a", "A"))
	stale := full.CopyRecord("t") // exact up to offset 1 only
	full.Apply(1, editRecord("t", 1, "winner", "W"))
	full.Apply(2, editRecord("t", 1, "loser", "L"))
	full.Apply(3, stale)

	late := NewState()
	late.SetFirstOffset(2)
	late.Apply(2, editRecord("t", 1, "loser", "L"))
	late.Apply(3, stale)
	_, v := late.Document("t")
	is.Equal(v, uint64(1)) // the copy is a lower bound
	late.Merge(full.Delta(late.Digest()))
	doc, v := late.Document("t")
	is.Equal(string(doc), "W")
	is.Equal(v, uint64(2))
	is.Equal(late.RootHash(), full.RootHash())
}

func TestDrainsMerge(t *testing.T) {
	is := is.New(t)
	a, b := NewState(), NewState()
	a.SetDrain("10.0.0.1:80", true)
	b.Merge(a.Delta(b.Digest()))
	is.True(b.DrainedBackends()["10.0.0.1:80"])
	b.SetDrain("10.0.0.1:80", false)
	a.SetDrain("10.0.0.1:80", true) // already on: no change
	a.Merge(b.Delta(a.Digest()))
	is.Equal(len(a.DrainedBackends()), 0)
	is.Equal(a.RootHash(), b.RootHash())
}
