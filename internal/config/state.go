// Package config replicates the teams' documents, the withdrawn keys and the drained backend servers to all instances.
//
// State is a deterministic state machine without I/O: it applies the records of the log's "config" stream in offset
// order and merges state received from peers. Controller follows the log, propagates changes between instances by
// gossip and publishes immutable snapshots.
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
	// maxHistory is the maximum number of entries in a team's history.
	maxHistory = 64
	// maxBases is the maximum number of document versions that a team retains as bases of splices.
	maxBases = 4
	// minOutcomes and maxOutcomes bound the number of edits per team whose outcome is retained by edit ID. Between them,
	// outcomes are retained for outcomeRetention.
	minOutcomes = 256
	maxOutcomes = 8192
	// outcomeRetention is longer than an edit is retried, so that a second record of an edit is always recognized.
	outcomeRetention = 2 * time.Minute
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

// Outcome says whether an edit was accepted.
type Outcome struct {
	// Accepted is set if the edit was accepted; Version is then its version.
	Accepted bool
	// Version and Author are those of the current document if the edit was rejected.
	Version uint64
	Author  string
}

// outcomeRecord is one entry of a team's bounded list of outcomes.
type outcomeRecord struct {
	editID  string
	outcome Outcome
	// atUnixMs is when the edit was made, by its author's clock.
	atUnixMs int64
}

// pendingEdit is an edit that can't be accepted or rejected before the team's version at its offset is known.
type pendingEdit struct {
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
	// exact is set if version is known to be the result of all records of the log before asOf.
	exact bool
	asOf  uint64
	// pendingEdits holds the edits that wait until the team becomes exact.
	pendingEdits []pendingEdit

	// history holds every accepted version from historyFrom on, oldest first.
	history     []VersionInfo
	historyFrom uint64
	// bases holds the documents of the latest versions on this instance, by version.
	bases     map[uint64][]byte
	baseOrder []uint64
	outcomes  []outcomeRecord

	withdrawn map[string]int64
	// buckets holds, for each bucket, the XOR of the hashes of the withdrawn key IDs in it.
	buckets []uint64
}

// withdrawalBuckets is the number of hash buckets by which instances compare their sets of withdrawn keys.
const withdrawalBuckets = 16

// State is one instance's replica of the configuration. It is not safe for concurrent use.
type State struct {
	// start is the offset at which reading the log started, and next the offset to read next.
	start, next uint64
	started     bool
	teams       map[string]*team
	drains      map[string]*configv1.BackendDrain
	// changed holds the teams that changed since the last TakeChanges, with their versions at that time.
	changed map[string]uint64
	// added collects the withdrawals and drains that were added since the last TakeChanges.
	added *configv1.Delta
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		teams:   map[string]*team{},
		drains:  map[string]*configv1.BackendDrain{},
		changed: map[string]uint64{},
		added:   &configv1.Delta{},
	}
}

func (s *State) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name, bases: map[uint64][]byte{}, withdrawn: map[string]int64{}}
		// A reader that started at offset 0 knows that no earlier record of the team existed.
		t.exact = s.started && s.start == 0
		s.teams[name] = t
	}
	return t
}

// SetFirstOffset sets the offset of the oldest record that the log retains. It must be called before the first call of
// Apply. Later calls have an effect only if records expired before they were read: the teams that may have missed an
// edit are then no longer exact.
func (s *State) SetFirstOffset(first uint64) {
	gap := s.started && first > s.next
	if s.started && !gap {
		return
	}
	s.started, s.start, s.next = true, first, first
	for _, t := range s.teams {
		if t.asOf < first && !(first == 0 && t.version == 0) {
			t.exact = false
			t.pendingEdits = nil
		}
		if first == 0 && t.version == 0 {
			t.exact = true
		}
	}
}

// NextOffset returns the offset of the record that Apply expects next.
func (s *State) NextOffset() uint64 { return s.next }

// Apply applies the record at the given offset. Records must come in offset order; one that was already applied is
// ignored.
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
		t.pendingEdits = append(t.pendingEdits, pendingEdit{offset: offset, edit: e})
		return
	}
	s.decide(t, offset, e)
}

// decide accepts or rejects an edit. The team must be exact.
func (s *State) decide(t *team, offset uint64, e *configv1.Edit) {
	if offset < t.asOf {
		t.restoreOutcome(offset, e)
		return
	}
	t.asOf = offset + 1
	if _, repeated := t.outcome(e.EditId); repeated {
		return
	}
	doc, fits := t.editedDocument(e)
	if e.BaseVersion != t.version || !fits {
		t.recordOutcome(e.EditId, Outcome{Version: t.version, Author: t.info.Author}, e.AtUnixMs)
		return
	}
	t.recordOutcome(e.EditId, Outcome{Accepted: true, Version: offset + 1, Author: e.Author}, e.AtUnixMs)
	info := VersionInfo{
		Version: offset + 1, Author: e.Author, At: time.UnixMilli(e.AtUnixMs), EditID: e.EditId, Bytes: len(doc),
	}
	t.history = append(t.history, info)
	s.setDocument(t, doc, info)
}

// restoreOutcome restores the outcome of an edit that the state already reflects because of a merge from a peer or a
// copy. The outcome stays unknown if the edit is older than the history.
func (t *team) restoreOutcome(offset uint64, e *configv1.Edit) {
	if _, known := t.outcome(e.EditId); known || offset+1 < t.historyFrom {
		return
	}
	for _, v := range t.history {
		if v.EditID == e.EditId {
			t.recordOutcome(e.EditId, Outcome{Accepted: true, Version: v.Version, Author: v.Author}, e.AtUnixMs)
			return
		}
	}
	t.recordOutcome(e.EditId, Outcome{Version: t.version, Author: t.info.Author}, e.AtUnixMs)
}

// editedDocument returns the document that results from applying an edit to the current one. It returns false if the
// splice was made for another document.
func (t *team) editedDocument(e *configv1.Edit) ([]byte, bool) {
	if e.Splice == nil {
		return e.Document, true
	}
	return applySplice(t.doc, e.Splice)
}

// setDocument makes doc the team's current document.
func (s *State) setDocument(t *team, doc []byte, info VersionInfo) {
	if !invariant.Check(info.Version > t.version, "config_version_rises", "team", t.name, "from", t.version, "to", info.Version) {
		return
	}
	s.markChanged(t)
	t.version = info.Version
	t.doc = doc
	t.info = info
	t.bases[info.Version] = doc
	t.baseOrder = append(t.baseOrder, info.Version)
	if len(t.baseOrder) > maxBases {
		delete(t.bases, t.baseOrder[0])
		t.baseOrder = t.baseOrder[1:]
	}
	if n := len(t.history) - maxHistory; n > 0 {
		t.historyFrom = t.history[n].Version
		t.history = slices.Delete(t.history, 0, n)
	}
}

// recordOutcome adds an outcome and drops the oldest. Which ones depends only on the records, so that all instances retain the
// same.
func (t *team) recordOutcome(editID string, o Outcome, atUnixMs int64) {
	if editID == "" {
		return
	}
	t.outcomes = append(t.outcomes, outcomeRecord{editID: editID, outcome: o, atUnixMs: atUnixMs})
	expired := 0
	for n := len(t.outcomes); n > maxOutcomes || n > minOutcomes && atUnixMs-t.outcomes[expired].atUnixMs > outcomeRetention.Milliseconds(); n-- {
		expired++
	}
	t.outcomes = slices.Delete(t.outcomes, 0, expired)
}

func (t *team) outcome(editID string) (Outcome, bool) {
	for i := len(t.outcomes) - 1; i >= 0 && editID != ""; i-- {
		if t.outcomes[i].editID == editID {
			return t.outcomes[i].outcome, true
		}
	}
	return Outcome{}, false
}

// Outcome returns the outcome of an edit once it was read from the log.
func (s *State) Outcome(teamName, editID string) (Outcome, bool) {
	t := s.teams[teamName]
	if t == nil {
		return Outcome{}, false
	}
	return t.outcome(editID)
}

// applyCopy merges a republished state. A copy never overrides what was read from the original records: it is the
// starting point for readers that started after those expired, and a lower bound for all others.
func (s *State) applyCopy(offset uint64, c *configv1.Copy) {
	for _, w := range c.Withdrawals {
		s.withdraw(w)
	}
	if c.State == nil || c.State.Team == "" || c.State.AsOf > offset {
		return
	}
	s.mergeTeam(c.State)
}

// mergeTeam merges a team's state from a peer or a copy. It returns false if the base of a splice is not available.
func (s *State) mergeTeam(in *configv1.TeamState) bool {
	if in.Team == "" {
		return true
	}
	t := s.team(in.Team)
	doc, ok := t.receivedDocument(in)
	if in.Version > t.version && !ok {
		return false
	}
	if in.Version > t.version {
		t.extendHistory(in)
		s.setDocument(t, doc, VersionInfo{
			Version: in.Version, Author: in.Author, At: time.UnixMilli(in.AtUnixMs), EditID: in.EditId, Bytes: len(doc),
		})
		// The sender may not be exact. Until an exact sender confirms this version, later records may exist that were
		// not applied.
		t.exact = false
	}
	s.markExact(t, in)
	return true
}

// extendHistory appends the versions after t.version from a peer or a copy. If there is a gap between the known history
// and these, it drops the known history.
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
		t.recordOutcome(v.EditId, Outcome{Accepted: true, Version: v.Version, Author: v.Author}, v.AtUnixMs)
	}
}

// receivedDocument returns the document of a received state. It returns false if there is none or the base of the
// splice is not available.
func (t *team) receivedDocument(in *configv1.TeamState) ([]byte, bool) {
	if in.Splice == nil {
		return in.Document, in.Version == 0 || len(in.Document) > 0
	}
	base, ok := t.bases[in.SpliceBase]
	if !ok {
		return nil, false
	}
	return applySplice(base, in.Splice)
}

// markExact makes t exact if the sender is, and then decides the edits that waited for this. The sender's state covers
// the records before its AsOf. Each later record must have been read here or still be ahead of this reader, so
// markExact does nothing if reading started after AsOf.
func (s *State) markExact(t *team, in *configv1.TeamState) {
	if t.exact || !in.Exact || in.Version != t.version {
		return
	}
	if s.started && in.AsOf < s.start {
		return
	}
	t.exact = true
	t.asOf = max(t.asOf, in.AsOf)
	pending := t.pendingEdits
	t.pendingEdits = nil
	for _, h := range pending {
		s.decide(t, h.offset, h.edit)
	}
}

// MarkEmptyTeamsExact makes teams exact of which neither the log nor a peer has a state: all their records expired
// without a copy, so they start without a document at the start of the log. It must only be called after the log was
// read to its end and a reconciliation with a peer succeeded (or there is no peer).
func (s *State) MarkEmptyTeamsExact() {
	for _, t := range s.teams {
		if t.exact || t.version != 0 || !s.started {
			continue
		}
		s.markExact(t, &configv1.TeamState{Team: t.name, Exact: true, AsOf: s.start})
	}
}

// withdraw adds a withdrawn key. It returns false if the key was already withdrawn.
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
	s.markChanged(t)
	s.added.Withdrawals = append(s.added.Withdrawals, w)
	return true
}

// drain merges the drain of a backend server: the higher version wins, and at equal versions the one that is on. It
// returns false if nothing changed.
func (s *State) drain(d *configv1.BackendDrain) bool {
	if d == nil || d.Backend == "" {
		return false
	}
	old := s.drains[d.Backend]
	if old != nil && (old.Version > d.Version || (old.Version == d.Version && (old.On || !d.On))) {
		return false
	}
	s.drains[d.Backend] = d
	s.added.Drains = append(s.added.Drains, d)
	return true
}

// Changes describes what changed in a state since the previous call of TakeChanges.
type Changes struct {
	// Teams are the names of teams whose document or withdrawn keys changed, in order.
	Teams []string
	// Delta is the change in the form sent to peers, relative to the previous state.
	Delta *configv1.Delta
}

// Empty reports whether nothing changed.
func (c Changes) Empty() bool {
	return len(c.Teams) == 0 && len(c.Delta.Drains) == 0
}

// TakeChanges returns the changes since the last call and resets them.
func (s *State) TakeChanges() Changes {
	out := Changes{Teams: slices.Sorted(maps.Keys(s.changed)), Delta: s.added}
	for _, name := range out.Teams {
		t := s.teams[name]
		if before := s.changed[name]; before != t.version {
			out.Delta.Teams = append(out.Delta.Teams, s.teamState(t, before))
		}
	}
	s.added = &configv1.Delta{}
	clear(s.changed)
	return out
}

// markChanged marks a team as changed and records its version before the first change.
func (s *State) markChanged(t *team) {
	if _, ok := s.changed[t.name]; !ok {
		s.changed[t.name] = t.version
	}
}
