// Package fleet keeps what an instance knows of the backend servers, and picks one for each request.
package fleet

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// suspectFor is how long a backend server that broke a connection or refused one gets no new requests while others
	// can take them; it doubles with each failure in a row.
	suspectFor = 250 * time.Millisecond
	// maxSuspectFor bounds suspectFor, so that a server that came back is tried within seconds.
	maxSuspectFor = 4 * time.Second
	// remoteLoad is added to the load of servers in other data centres: traffic between data centres is billed, and a
	// server there is a millisecond further away. In shares of a server's slots.
	remoteLoad = 0.08
	// affinitySlack is how much more loaded than the least loaded server the one with the cached prompt may be. In
	// shares of a server's slots: reading a moved prompt again costs as much as sharing an engine with so many requests.
	affinitySlack = 0.25
)

// Entry is what a backend server registered of itself.
type Entry struct {
	ID, Service string
	// Address is IP:PORT. It may be reused by another server later.
	Address    string
	DataCentre string
	// Slots is the number of requests that it works on at once.
	Slots int
	// Draining servers take no new requests.
	Draining bool
	// Incarnation changes when the server starts again under the same id; zero if it does not say.
	Incarnation int64
}

// Backend is a backend server with what this instance has seen of it.
type Backend struct {
	Entry
	// gone is set when the entry was removed.
	gone bool

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

// New returns an empty fleet as seen from a data centre.
func New(dataCentre string) *Fleet {
	return &Fleet{dataCentre: dataCentre, now: time.Now, byID: map[string]*Backend{}, byService: map[string][]*Backend{}}
}

// Set adds a server or takes over its changed entry.
func (f *Fleet) Set(e Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.set(e)
}

func (f *Fleet) set(e Entry) {
	b := f.byID[e.ID]
	if b != nil && b.Incarnation == e.Incarnation && b.Service == e.Service && b.Address == e.Address {
		b.Entry = e
		return
	}
	if b != nil {
		f.remove(e.ID)
	}
	b = &Backend{Entry: e}
	f.byID[e.ID] = b
	f.byService[e.Service] = append(f.byService[e.Service], b)
}

// Remove forgets a server.
func (f *Fleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(id)
}

func (f *Fleet) remove(id string) {
	b := f.byID[id]
	if b == nil {
		return
	}
	b.gone = true
	delete(f.byID, id)
	list := f.byService[b.Service]
	for i, other := range list {
		if other == b {
			f.byService[b.Service] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// Loaded records that the registry has been read once.
func (f *Fleet) Loaded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loaded = true
}

// IsLoaded reports whether the registry has been read once.
func (f *Fleet) IsLoaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// Entries returns the known entries.
func (f *Fleet) Entries() []Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Entry, 0, len(f.byID))
	for _, b := range f.byID {
		out = append(out, b.Entry)
	}
	return out
}

// Choice says which server is wanted.
type Choice struct {
	Service string
	// Preferred is the id of the server that holds the prompt's memory; empty if there is none.
	Preferred string
	// Exclude lists servers that were tried already.
	Exclude []string
}

// Acquire picks a server and counts a request there until Release. It returns nil if no server can be used.
func (f *Fleet) Acquire(c Choice) *Backend {
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

func (f *Fleet) leastLoaded(c Choice, usable func(*Backend) bool) *Backend {
	var best *Backend
	var least float64
	ties := 0
	for _, b := range f.byService[c.Service] {
		if b.Draining || excluded(c.Exclude, b.ID) || !usable(b) {
			continue
		}
		load := b.load()
		if b.DataCentre != f.dataCentre {
			load += remoteLoad
		}
		switch {
		case best == nil || load < least:
			best, least, ties = b, load, 1
		case load == least:
			// Each of the tied servers is picked with the same probability.
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

// Release ends a request at a server. A failure is one that tells of the server's health.
func (f *Fleet) Release(b *Backend, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b.inFlight--
	if !failed {
		b.failures = 0
		return
	}
	b.failures++
	pause := suspectFor << min(b.failures-1, 4)
	b.suspectUntil = f.now().Add(min(pause, maxSuspectFor))
}

// Gone reports whether the server's entry was removed or replaced since it was picked.
func (f *Fleet) Gone(b *Backend) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return b.gone
}
