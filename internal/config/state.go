// Package config keeps the documents of teams, the withdrawn keys and the drained backend servers.
//
// State is pure: it applies the records of the log's "config" stream in offset order and merges what peers hold.
// Controller follows the log, spreads changes between instances and publishes immutable snapshots.
package config

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
	"github.com/berylpond/berylpond/internal/invariant"
)

const (
	// keptVersions is the number of past versions of which each team keeps who made them.
	keptVersions = 64
	// keptDocuments is the number of past documents that each team keeps as bases of splices.
	keptDocuments = 4
	// keptOutcomes is the number of decided edits that each team remembers by their ids.
	keptOutcomes = 256
)

// VersionInfo describes one accepted edit.
type VersionInfo struct {
	// Version is the offset of the edit in the log plus one.
	Version uint64
	Author  string
	At      time.Time
	EditID  string
	// Bytes is the size of the document.
	Bytes int
}

// Outcome is what became of an edit.
type Outcome struct {
	// Accepted is set if the edit counted; Version is then its version.
	Accepted bool
	// Version and Author are the winner's, if the edit came too late.
	Version uint64
	Author  string
}

// outcomeRecord is one element of a team's bounded list of outcomes.
type outcomeRecord struct {
	editID  string
	outcome Outcome
}

// heldEdit is an edit that cannot be judged before the team's version at its offset is known.
type heldEdit struct {
	offset uint64
	edit   *configv1.Edit
}

// team is the state of one team.
type team struct {
	name string
	// version is that of the current document; 0 before the first.
	version uint64
	doc     []byte
	info    VersionInfo
	// exact is set once version is known to be the result of all log records before asOf.
	exact bool
	asOf  uint64
	// held waits until the team becomes exact.
	held []heldEdit

	// history holds every accepted version from historyFrom on, oldest first.
	history     []VersionInfo
	historyFrom uint64
	// bases are the documents of the last versions that this instance held.
	bases     map[uint64][]byte
	baseOrder []uint64
	outcomes  []outcomeRecord

	withdrawn map[string]int64
	// buckets hold the exclusive-or of the hashes of the withdrawn key ids that fall into each.
	buckets []uint64
}

// withdrawalBuckets is the number of groups in which withdrawn keys are compared between instances.
const withdrawalBuckets = 16

// State is the configuration that one instance knows. It is not safe for concurrent use.
type State struct {
	// start is the offset at which reading the log began, and next the one that comes next.
	start, next uint64
	started     bool
	teams       map[string]*team
	drains      map[string]*configv1.BackendDrain
	// changed holds the teams that changed since TakeChanges, with the version that they had then.
	changed map[string]uint64
	// fresh gathers the withdrawals and drains that came since TakeChanges.
	fresh *configv1.Delta
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		teams:   map[string]*team{},
		drains:  map[string]*configv1.BackendDrain{},
		changed: map[string]uint64{},
		fresh:   &configv1.Delta{},
	}
}

func (s *State) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name, bases: map[uint64][]byte{}, withdrawn: map[string]int64{}}
		// Whoever has read the log from its first record knows that there is nothing before it.
		t.exact = s.started && s.start == 0
		s.teams[name] = t
	}
	return t
}

// Start tells the offset of the oldest record that the log still keeps, before the first call of Apply. It is called
// again if records expired before they were read: teams are then judged anew.
func (s *State) Start(first uint64) {
	gap := s.started && first > s.next
	if s.started && !gap {
		return
	}
	s.started, s.start, s.next = true, first, first
	for _, t := range s.teams {
		if t.asOf < first && !(first == 0 && t.version == 0) {
			t.exact = false
			t.held = nil
		}
		if first == 0 && t.version == 0 {
			t.exact = true
		}
	}
}

// Next returns the offset of the record that Apply takes next.
func (s *State) Next() uint64 { return s.next }

// Apply takes the record at the given offset. Records come in offset order; one that was taken before is ignored.
func (s *State) Apply(offset uint64, r *configv1.Record) {
	if offset < s.next {
		return
	}
	s.next = offset + 1
	switch k := r.GetKind().(type) {
	case *configv1.Record_Edit:
		s.applyEdit(offset, k.Edit)
	case *configv1.Record_Copy:
		s.applyCopy(offset, k.Copy)
	case *configv1.Record_Withdrawal:
		s.withdraw(k.Withdrawal)
	case *configv1.Record_Drain:
		s.drain(k.Drain)
	}
}

func (s *State) applyEdit(offset uint64, e *configv1.Edit) {
	if e.Team == "" {
		return
	}
	t := s.team(e.Team)
	if !t.exact {
		t.held = append(t.held, heldEdit{offset: offset, edit: e})
		return
	}
	s.judge(t, offset, e)
}

// judge decides whether an edit counts. The team is exact.
func (s *State) judge(t *team, offset uint64, e *configv1.Edit) {
	if offset < t.asOf {
		t.recall(offset, e)
		return
	}
	t.asOf = offset + 1
	if _, repeated := t.outcome(e.EditId); repeated {
		return
	}
	doc, fits := t.resultOf(e)
	if e.BaseVersion != t.version || !fits {
		t.remember(e.EditId, Outcome{Version: t.version, Author: t.info.Author})
		return
	}
	t.remember(e.EditId, Outcome{Accepted: true, Version: offset + 1, Author: e.Author})
	info := VersionInfo{
		Version: offset + 1, Author: e.Author, At: time.UnixMilli(e.AtUnixMs), EditID: e.EditId, Bytes: len(doc),
	}
	t.history = append(t.history, info)
	s.advance(t, doc, info)
}

// recall finds the outcome of an edit that is accounted for already, by way of a peer or a copy. It stays unknown if the
// history does not reach back to it.
func (t *team) recall(offset uint64, e *configv1.Edit) {
	if _, known := t.outcome(e.EditId); known || offset+1 < t.historyFrom {
		return
	}
	for _, v := range t.history {
		if v.EditID == e.EditId {
			t.remember(e.EditId, Outcome{Accepted: true, Version: v.Version, Author: v.Author})
			return
		}
	}
	t.remember(e.EditId, Outcome{Version: t.version, Author: t.info.Author})
}

// resultOf returns the document that an edit of the current version leads to.
func (t *team) resultOf(e *configv1.Edit) ([]byte, bool) {
	if e.Splice == nil {
		return e.Document, true
	}
	return applySplice(t.doc, e.Splice)
}

// advance makes doc the team's current document.
func (s *State) advance(t *team, doc []byte, info VersionInfo) {
	if !invariant.Check(info.Version > t.version, "config_version_rises", "team", t.name, "from", t.version, "to", info.Version) {
		return
	}
	s.touch(t)
	t.version = info.Version
	t.doc = doc
	t.info = info
	t.bases[info.Version] = doc
	t.baseOrder = append(t.baseOrder, info.Version)
	if len(t.baseOrder) > keptDocuments {
		delete(t.bases, t.baseOrder[0])
		t.baseOrder = t.baseOrder[1:]
	}
	if n := len(t.history) - keptVersions; n > 0 {
		t.historyFrom = t.history[n].Version
		t.history = slices.Delete(t.history, 0, n)
	}
}

func (t *team) remember(editID string, o Outcome) {
	if editID == "" {
		return
	}
	t.outcomes = append(t.outcomes, outcomeRecord{editID: editID, outcome: o})
	if len(t.outcomes) > keptOutcomes {
		t.outcomes = slices.Delete(t.outcomes, 0, len(t.outcomes)-keptOutcomes)
	}
}

func (t *team) outcome(editID string) (Outcome, bool) {
	for i := len(t.outcomes) - 1; i >= 0 && editID != ""; i-- {
		if t.outcomes[i].editID == editID {
			return t.outcomes[i].outcome, true
		}
	}
	return Outcome{}, false
}

// Outcome returns what became of an edit, once it was met in the log.
func (s *State) Outcome(teamName, editID string) (Outcome, bool) {
	t := s.teams[teamName]
	if t == nil {
		return Outcome{}, false
	}
	return t.outcome(editID)
}

// applyCopy takes a republished state. It never replaces what was read from the log itself: it is a base for readers
// that began after the original record expired, and a lower bound for all others.
func (s *State) applyCopy(offset uint64, c *configv1.Copy) {
	for _, w := range c.Withdrawals {
		s.withdraw(w)
	}
	if c.State == nil || c.State.Team == "" || c.State.AsOf > offset {
		return
	}
	s.mergeTeam(c.State)
}

// mergeTeam takes what a peer or a copy says of a team's document. It reports false if a splice did not fit.
func (s *State) mergeTeam(in *configv1.TeamState) bool {
	if in.Team == "" {
		return true
	}
	t := s.team(in.Team)
	doc, ok := t.documentOf(in)
	if in.Version > t.version && !ok {
		return false
	}
	if in.Version > t.version {
		t.extendHistory(in)
		s.advance(t, doc, VersionInfo{
			Version: in.Version, Author: in.Author, At: time.UnixMilli(in.AtUnixMs), EditID: in.EditId, Bytes: len(doc),
		})
		// Until a sender that is exact says so, the records up to its version are all that is known.
		t.exact = false
	}
	s.settle(t, in)
	return true
}

// extendHistory adds the versions after t.version that a peer or a copy tells of. Where they do not join on to what is
// known, what came before is forgotten.
func (t *team) extendHistory(in *configv1.TeamState) {
	if in.RecentFrom > t.version+1 {
		t.history = nil
		t.historyFrom = in.RecentFrom
	}
	for _, v := range in.Recent {
		if v.Version > t.version {
			t.history = append(t.history, VersionInfo{
				Version: v.Version, Author: v.Author, At: time.UnixMilli(v.AtUnixMs), EditID: v.EditId, Bytes: int(v.Bytes),
			})
		}
		t.remember(v.EditId, Outcome{Accepted: true, Version: v.Version, Author: v.Author})
	}
}

func (t *team) documentOf(in *configv1.TeamState) ([]byte, bool) {
	if in.Splice == nil {
		return in.Document, in.Version == 0 || len(in.Document) > 0
	}
	base, ok := t.bases[in.SpliceBase]
	if !ok {
		return nil, false
	}
	return applySplice(base, in.Splice)
}

// settle makes t exact if the sender is, and judges the edits that were held until then. The sender's word carries up
// to its AsOf; from there on this state must have seen every record itself, or not yet have come to them.
func (s *State) settle(t *team, in *configv1.TeamState) {
	if t.exact || !in.Exact || in.Version != t.version {
		return
	}
	if s.started && in.AsOf < s.start {
		return
	}
	t.exact = true
	t.asOf = max(t.asOf, in.AsOf)
	held := t.held
	t.held = nil
	for _, h := range held {
		s.judge(t, h.offset, h.edit)
	}
}

// Settle ends the wait for teams of which neither the log nor any peer holds a state: nothing was kept of them, and
// they begin anew at the start of the log. It is called once the log was read to its end and a peer was reconciled with.
func (s *State) Settle() {
	for _, t := range s.teams {
		if t.exact || t.version != 0 || !s.started {
			continue
		}
		s.settle(t, &configv1.TeamState{Team: t.name, Exact: true, AsOf: s.start})
	}
}

func (s *State) withdraw(w *configv1.KeyWithdrawal) bool {
	if w == nil || w.Team == "" || w.KeyId == "" {
		return false
	}
	t := s.team(w.Team)
	if _, ok := t.withdrawn[w.KeyId]; ok {
		return false
	}
	t.withdrawn[w.KeyId] = w.AtUnixMs
	if t.buckets == nil {
		t.buckets = make([]uint64, withdrawalBuckets)
	}
	h := xxhash.Sum64String(w.KeyId)
	t.buckets[h%withdrawalBuckets] ^= h
	s.touch(t)
	s.fresh.Withdrawals = append(s.fresh.Withdrawals, w)
	return true
}

func (s *State) drain(d *configv1.BackendDrain) bool {
	if d == nil || d.Backend == "" {
		return false
	}
	old := s.drains[d.Backend]
	if old != nil && (old.Version > d.Version || (old.Version == d.Version && (old.On || !d.On))) {
		return false
	}
	s.drains[d.Backend] = d
	s.fresh.Drains = append(s.fresh.Drains, d)
	return true
}

// Changes is what changed in a state since it was last asked.
type Changes struct {
	// Teams are the names of teams whose document or withdrawn keys changed, in order.
	Teams []string
	// Delta is the change as it goes to peers that held the state before it.
	Delta *configv1.Delta
}

// Empty reports whether nothing changed.
func (c Changes) Empty() bool {
	return len(c.Teams) == 0 && len(c.Delta.Drains) == 0
}

// TakeChanges returns what changed since the last call.
func (s *State) TakeChanges() Changes {
	out := Changes{Teams: slices.Sorted(maps.Keys(s.changed)), Delta: s.fresh}
	for _, name := range out.Teams {
		t := s.teams[name]
		if before := s.changed[name]; before != t.version {
			out.Delta.Teams = append(out.Delta.Teams, s.teamState(t, before))
		}
	}
	s.fresh = &configv1.Delta{}
	clear(s.changed)
	return out
}

// touch notes that a team changes, with the version that it had before the first change.
func (s *State) touch(t *team) {
	if _, ok := s.changed[t.name]; !ok {
		s.changed[t.name] = t.version
	}
}
