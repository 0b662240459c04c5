package config

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
)

// Merge applies a delta from another state. Versions only increase and the set of withdrawn keys only grows, so merges
// are commutative and idempotent. It returns false if the base of a splice is not available here; the sender must then
// reconcile.
func (s *State) Merge(d *configv1.Delta) bool {
	complete := true
	for _, w := range d.GetWithdrawals() {
		s.withdraw(w)
	}
	for _, in := range d.GetTeams() {
		complete = s.mergeTeam(in) && complete
	}
	for _, in := range d.GetDrains() {
		s.drain(in)
	}
	return complete
}

// RootHash returns a hash over everything that Digest covers. If the roots of two states are equal, there is nothing to
// exchange.
func (s *State) RootHash() uint64 {
	h := xxhash.New()
	var buf []byte
	for _, name := range s.teamNames() {
		t := s.teams[name]
		buf = append(buf[:0], name...)
		buf = binary.LittleEndian.AppendUint64(append(buf, 0), t.version)
		for _, b := range t.buckets {
			buf = binary.LittleEndian.AppendUint64(buf, b)
		}
		buf = append(buf, boolByte(t.exact))
		_, _ = h.Write(buf)
	}
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, s.drainsHash()))
	return h.Sum64()
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// Digest returns a summary of the state, from which Delta computes what the other state lacks.
func (s *State) Digest() *configv1.Digest {
	d := &configv1.Digest{Drains: s.drainsHash()}
	for _, name := range s.teamNames() {
		t := s.teams[name]
		d.Teams = append(d.Teams, &configv1.TeamDigest{Team: name, Version: t.version, Exact: t.exact, Withdrawals: t.buckets})
	}
	return d
}

// Delta returns what the state described by digest lacks compared with this one.
func (s *State) Delta(digest *configv1.Digest) *configv1.Delta {
	peerTeams := map[string]*configv1.TeamDigest{}
	for _, t := range digest.GetTeams() {
		peerTeams[t.Team] = t
	}
	out := &configv1.Delta{}
	for _, name := range s.teamNames() {
		t, peer := s.teams[name], peerTeams[name]
		if t.version > peer.GetVersion() || (t.exact && !peer.GetExact() && t.version == peer.GetVersion()) {
			out.Teams = append(out.Teams, s.teamState(t, peer.GetVersion()))
		}
		out.Withdrawals = append(out.Withdrawals, t.withdrawalsMissingIn(peer.GetWithdrawals())...)
	}
	if digest.GetDrains() != s.drainsHash() {
		for _, b := range slices.Sorted(maps.Keys(s.drains)) {
			out.Drains = append(out.Drains, s.drains[b])
		}
	}
	return out
}

// teamState returns a team's state for a peer that holds the document of the given version. It sends a splice if that
// version is still among the retained bases, and otherwise the whole document.
func (s *State) teamState(t *team, peerVersion uint64) *configv1.TeamState {
	out := &configv1.TeamState{
		Team: t.name, Version: t.version, Exact: t.exact, AsOf: s.asOf(t),
		EditId: t.info.EditID, Author: t.info.Author, AtUnixMs: t.info.At.UnixMilli(),
	}
	if t.version == 0 {
		out.AtUnixMs = 0
		return out
	}
	t.addHistory(out, peerVersion)
	base, ok := t.bases[peerVersion]
	if !ok {
		out.Document = t.doc
		return out
	}
	out.Splice = makeSplice(base, t.doc)
	out.SpliceBase = peerVersion
	return out
}

// maxSentVersions is the maximum number of history entries in one message.
const maxSentVersions = 16

// addHistory adds the history entries after peerVersion.
func (t *team) addHistory(out *configv1.TeamState, peerVersion uint64) {
	recent := t.history
	out.RecentFrom = max(t.historyFrom, peerVersion+1)
	for len(recent) > 0 && recent[0].Version <= peerVersion {
		recent = recent[1:]
	}
	if n := len(recent) - maxSentVersions; n > 0 {
		recent = recent[n:]
		out.RecentFrom = recent[0].Version
	}
	for _, v := range recent {
		out.Recent = append(out.Recent, versionMessage(v))
	}
}

func versionMessage(v VersionInfo) *configv1.VersionInfo {
	return &configv1.VersionInfo{
		Version: v.Version, Author: v.Author, AtUnixMs: v.At.UnixMilli(), EditId: v.EditID, Bytes: uint64(v.Bytes),
	}
}

// asOf returns the offset before which the team's state reflects all records of the log.
func (s *State) asOf(t *team) uint64 {
	if !t.exact {
		return t.asOf
	}
	return max(t.asOf, s.next)
}

// withdrawalsMissingIn returns the withdrawals in the buckets whose hash differs from the peer's.
func (t *team) withdrawalsMissingIn(peerBuckets []uint64) []*configv1.KeyWithdrawal {
	if slices.Equal(t.buckets, peerBuckets) {
		return nil
	}
	var out []*configv1.KeyWithdrawal
	for id, at := range t.withdrawn {
		b := xxhash.Sum64String(id) % withdrawalBuckets
		if int(b) < len(peerBuckets) && peerBuckets[b] == t.buckets[b] {
			continue
		}
		out = append(out, &configv1.KeyWithdrawal{Team: t.name, KeyId: id, AtUnixMs: at})
	}
	slices.SortFunc(out, func(a, b *configv1.KeyWithdrawal) int { return cmp.Compare(a.KeyId, b.KeyId) })
	return out
}

// CopyRecord returns a record with the team's current state, which preserves that state in the log when the original
// records expire. It returns nil if the state is not exact, since its version can't be ordered relative to the log
// then.
func (s *State) CopyRecord(teamName string) *configv1.Record {
	t := s.teams[teamName]
	if t == nil || !t.exact {
		return nil
	}
	c := &configv1.Copy{State: s.teamState(t, 0), Withdrawals: t.withdrawalsMissingIn(nil)}
	return &configv1.Record{Kind: &configv1.Record_Copy{Copy: c}}
}

// WithdrawKey applies a withdrawal immediately and returns the record to append to the log; nil if the key was already
// withdrawn.
func (s *State) WithdrawKey(w *configv1.KeyWithdrawal) *configv1.Record {
	if !s.withdraw(w) {
		return nil
	}
	return &configv1.Record{Kind: &configv1.Record_Withdrawal{Withdrawal: w}}
}

// SetDrain sets whether a backend server is drained and returns the record to append to the log; nil if nothing
// changed.
func (s *State) SetDrain(backend string, on bool) *configv1.Record {
	old := s.drains[backend]
	if old.GetOn() == on {
		return nil
	}
	d := &configv1.BackendDrain{Backend: backend, On: on, Version: old.GetVersion() + 1}
	s.drain(d)
	return &configv1.Record{Kind: &configv1.Record_Drain{Drain: d}}
}

func (s *State) teamNames() []string {
	return slices.Sorted(maps.Keys(s.teams))
}

// drainsHash returns a hash of all drains that doesn't depend on their order.
func (s *State) drainsHash() uint64 {
	var sum uint64
	for b, d := range s.drains {
		buf := binary.LittleEndian.AppendUint64(append([]byte(b), boolByte(d.On)), d.Version)
		sum ^= xxhash.Sum64(buf)
	}
	return sum
}

// History returns the known versions of a team's document, oldest first.
func (s *State) History(team string) []VersionInfo {
	t := s.teams[team]
	if t == nil {
		return nil
	}
	return slices.Clone(t.history)
}

// Document returns the text of a team's current document and its version. The caller must not change the text.
func (s *State) Document(team string) (doc []byte, version uint64) {
	t := s.teams[team]
	if t == nil {
		return nil, 0
	}
	return t.doc, t.version
}

// WithdrawnKeys returns the withdrawn key ids of a team.
func (s *State) WithdrawnKeys(team string) map[string]bool {
	out := map[string]bool{}
	if t := s.teams[team]; t != nil {
		for id := range t.withdrawn {
			out[id] = true
		}
	}
	return out
}

// DrainedBackends returns the addresses of the drained backend servers.
func (s *State) DrainedBackends() map[string]bool {
	out := map[string]bool{}
	for b, d := range s.drains {
		if d.On {
			out[b] = true
		}
	}
	return out
}

// Teams returns the names of all teams, in order.
func (s *State) Teams() []string { return s.teamNames() }
