// Package member maintains the table of the instances that this instance knows.
//
// The table is filled from the settings, from the platform's list of instances, which lags behind, and from messages of
// other instances. It is used to look up addresses only: no decision that requires exclusivity may depend on it.
package member

import (
	"sort"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Instance is one running berylpond daemon.
type Instance struct {
	// ID is unique among the running instances, for example "giza-1".
	ID string
	// DataCentre is the name of the instance's data centre.
	DataCentre string
	// Slot is the instance's slot in its data centre's cell, from 0.
	Slot int
	// Incarnation increases with each start of a process in the slot. Zero means unknown.
	Incarnation uint64
	// PeerAddr is the host:port of the gRPC server for other instances.
	PeerAddr string
	// HTTPAddr is the host:port of the HTTP server for callers.
	HTTPAddr string
	// Leaving is set once the instance has begun a graceful shutdown.
	Leaving bool
}

// Table holds the known instances by id. It is safe for concurrent use.
type Table struct {
	self Instance

	mu   sync.RWMutex
	byID map[string]Instance
	// digest is the sum of the entries' hashes.
	digest uint64
}

// NewTable returns a table that contains only self.
func NewTable(self Instance) *Table {
	t := &Table{self: self, byID: map[string]Instance{}}
	t.set(self)
	return t
}

// Self returns the local instance.
func (t *Table) Self() Instance { return t.self }

// SetLeaving marks the local instance as leaving.
func (t *Table) SetLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	self := t.byID[t.self.ID]
	self.Leaving = true
	t.set(self)
}

// Merge adds or updates the entry of another instance. An older incarnation never replaces a newer one, and an instance
// that is leaving stays so until its incarnation changes.
func (t *Table) Merge(in Instance) {
	if in.ID == t.self.ID {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.byID[in.ID]
	if ok && old.Incarnation > in.Incarnation {
		return
	}
	if ok && old.Incarnation == in.Incarnation {
		in.Leaving = in.Leaving || old.Leaving
	}
	t.set(in)
}

// Remove removes an instance that the platform no longer lists.
func (t *Table) Remove(id string) {
	if id == t.self.ID {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(id)
}

// Get returns the instance with the given id.
func (t *Table) Get(id string) (Instance, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	in, ok := t.byID[id]
	return in, ok
}

// All returns every known instance, including the local one, ordered by id.
func (t *Table) All() []Instance {
	return t.filter(func(Instance) bool { return true })
}

// InDataCentre returns the known instances of one data centre, ordered by slot.
func (t *Table) InDataCentre(dc string) []Instance {
	in := t.filter(func(i Instance) bool { return i.DataCentre == dc })
	sort.SliceStable(in, func(a, b int) bool { return in[a].Slot < in[b].Slot })
	return in
}

// AtSlot returns the instance with the highest known incarnation in a slot.
func (t *Table) AtSlot(dc string, slot int) (Instance, bool) {
	var newest Instance
	found := false
	for _, in := range t.InDataCentre(dc) {
		if in.Slot == slot && (!found || in.Incarnation > newest.Incarnation) {
			newest, found = in, true
		}
	}
	return newest, found
}

// Digest returns a hash of ids, incarnations and leaving flags that does not depend on the order of the updates.
func (t *Table) Digest() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.digest
}

// set replaces an entry and updates the digest. t.mu must be held.
func (t *Table) set(in Instance) {
	t.drop(in.ID)
	t.byID[in.ID] = in
	t.digest += in.hash()
}

// drop removes an entry and updates the digest. t.mu must be held.
func (t *Table) drop(id string) {
	if old, ok := t.byID[id]; ok {
		t.digest -= old.hash()
		delete(t.byID, id)
	}
}

func (i Instance) hash() uint64 {
	return xxhash.Sum64String(i.ID + "\x00" + strconv.FormatUint(i.Incarnation, 10) + "\x00" + strconv.FormatBool(i.Leaving))
}

func (t *Table) filter(keep func(Instance) bool) []Instance {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]Instance, 0, len(t.byID))
	for _, in := range t.byID {
		if keep(in) {
			out = append(out, in)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}
