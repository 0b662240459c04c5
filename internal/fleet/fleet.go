// Package fleet tracks the registered backend servers and their load, and picks one for each request.
package fleet

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minSuspectDuration is how long a backend server gets no new requests after it refused or broke a connection, unless
	// no other server is available. It doubles with each consecutive failure.
	minSuspectDuration = 250 * time.Millisecond
	// maxSuspectDuration bounds the doubling, so that a server that has recovered is tried again within seconds.
	maxSuspectDuration = 4 * time.Second
	// remotePenalty is added to the load of servers in other data centres, as a fraction of a server's slots: traffic
	// between data centres is billed, and it adds a millisecond of latency.
	remotePenalty = 0.08
	// affinitySlack is how much the load of the server with the cached prompt may exceed that of the least loaded server,
	// as a fraction of a server's slots: prefilling the prompt on another server costs as much as sharing an engine with
	// that many more requests.
	affinitySlack = 0.25
)

// Entry is the registration of a backend server.
type Entry struct {
	ID, Service string
	// Address is IP:PORT. Another server may reuse it later.
	Address    string
	DataCentre string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Draining servers take no new requests.
	Draining bool
	// Incarnation changes when the server restarts under the same id; zero if the server does not report it.
	Incarnation int64
}

// Backend is a backend server with the load and the failures that this instance has observed.
type Backend struct {
	Entry
	// removed is set once the entry was removed or replaced.
	removed bool

	inFlight     int
	failures     int
	suspectUntil time.Time
}

// Fleet is the set of known backend servers. It is safe for concurrent use.
type Fleet struct {
	dataCentre string
	now        func() time.Time

	mu        sync.Mutex
	byID      map[string]*Backend
	byService map[string][]*Backend
	loaded    bool
}

// New returns an empty fleet. Servers in dataCentre are preferred.
func New(dataCentre string) *Fleet {
	return &Fleet{dataCentre: dataCentre, now: time.Now, byID: map[string]*Backend{}, byService: map[string][]*Backend{}}
}

// Upsert adds a server or updates its entry. A changed incarnation, service or address makes it a new server, without
// load or failures.
func (f *Fleet) Upsert(e Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setLocked(e)
}

func (f *Fleet) setLocked(e Entry) {
	b := f.byID[e.ID]
	if b != nil && b.Incarnation == e.Incarnation && b.Service == e.Service && b.Address == e.Address {
		b.Entry = e
		return
	}
	if b != nil {
		f.removeLocked(e.ID)
	}
	b = &Backend{Entry: e}
	f.byID[e.ID] = b
	f.byService[e.Service] = append(f.byService[e.Service], b)
}

// Remove removes a server.
func (f *Fleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeLocked(id)
}

func (f *Fleet) removeLocked(id string) {
	b := f.byID[id]
	if b == nil {
		return
	}
	b.removed = true
	delete(f.byID, id)
	list := f.byService[b.Service]
	for i, other := range list {
		if other == b {
			f.byService[b.Service] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// MarkLoaded records that the registry has been read at least once.
func (f *Fleet) MarkLoaded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loaded = true
}

// IsLoaded reports whether the registry has been read at least once.
func (f *Fleet) IsLoaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// Entries returns the entries of all servers.
func (f *Fleet) Entries() []Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Entry, 0, len(f.byID))
	for _, b := range f.byID {
		out = append(out, b.Entry)
	}
	return out
}

// Criteria holds the criteria for picking a server.
type Criteria struct {
	Service string
	// Preferred is the id of the server that has the prompt cached; empty if there is none.
	Preferred string
	// Exclude lists the ids of servers that were already tried.
	Exclude []string
}

// Acquire picks a server and counts a request on it until Release. It returns nil if no server can be used.
func (f *Fleet) Acquire(c Criteria) *Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	best := f.leastLoaded(c, func(b *Backend) bool { return now.After(b.suspectUntil) })
	if best == nil {
		best = f.leastLoaded(c, func(*Backend) bool { return true })
	}
	if best == nil {
		return nil
	}
	if p := f.byID[c.Preferred]; p != nil && p.Service == c.Service && !p.Draining && now.After(p.suspectUntil) &&
		!excluded(c.Exclude, p.ID) && p.load() <= best.load()+affinitySlack {
		best = p
	}
	best.inFlight++
	return best
}

func (f *Fleet) leastLoaded(c Criteria, usable func(*Backend) bool) *Backend {
	var best *Backend
	var lowest float64
	ties := 0
	for _, b := range f.byService[c.Service] {
		if b.Draining || excluded(c.Exclude, b.ID) || !usable(b) {
			continue
		}
		load := b.load()
		if b.DataCentre != f.dataCentre {
			load += remotePenalty
		}
		switch {
		case best == nil || load < lowest:
			best, lowest, ties = b, load, 1
		case load == lowest:
			// Reservoir sampling: each of the tied servers is picked with the same probability.
			if ties++; rand.IntN(ties) == 0 {
				best = b
			}
		}
	}
	return best
}

func (b *Backend) load() float64 { return float64(b.inFlight) / float64(b.Slots) }

func excluded(ids []string, id string) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}

// Release ends a request on a server. failed reports a failure that indicates a problem with the server.
func (f *Fleet) Release(b *Backend, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b.inFlight--
	if !failed {
		b.failures = 0
		return
	}
	b.failures++
	backoff := minSuspectDuration << min(b.failures-1, 4)
	b.suspectUntil = f.now().Add(min(backoff, maxSuspectDuration))
}

// Removed reports whether the server's entry was removed or replaced after the server was picked.
func (f *Fleet) Removed(b *Backend) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return b.removed
}
