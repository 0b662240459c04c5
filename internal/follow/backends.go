package follow

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/platform"
)

const (
	// backendsEvery is the pause between two reads of the backend servers' entries. With the read itself it stays well
	// under the time after which a leaving server must get no more requests.
	backendsEvery = 400 * time.Millisecond
	// backendsTimeout bounds such a read.
	backendsTimeout = 900 * time.Millisecond
	// lapseGrace is how long a server whose entry went is used on after the store was away: entries lapse meanwhile, and
	// those of live servers are back within two seconds.
	lapseGrace = 2300 * time.Millisecond
	// lapseWindow is how long after an outage entries count as lapsed rather than removed.
	lapseWindow = 2500 * time.Millisecond
	// outageAfter is how long reads must fail to count as an outage: entries lapse only after some heartbeats.
	outageAfter = time.Second
)

// Backends follows the entries of the backend servers.
type Backends struct {
	store     *platform.Store
	hooks     Hooks
	fleet     *fleet.Fleet
	now       func() time.Time
	confirmed confirmation

	// mu guards the rest.
	mu sync.Mutex
	// failingSince is when the reads began to fail, zero while they succeed; outage is the end of the last outage.
	failingSince time.Time
	outage       time.Time
	// lapsed are the servers whose entries went about when the store was away, with the time at which they are given up.
	lapsed map[string]time.Time
	// entries are the newest raw entries, to tell changes from repetitions.
	entries map[string]string
}

// NewBackends returns a follower that fills the fleet.
func NewBackends(store *platform.Store, f *fleet.Fleet, h Hooks) *Backends {
	return &Backends{store: store, hooks: h, fleet: f, now: time.Now, lapsed: map[string]time.Time{}, entries: map[string]string{}}
}

// Age is how long ago the store confirmed the entries to this instance.
func (b *Backends) Age() time.Duration { return b.confirmed.age(b.now()) }

// Replace takes over all entries as another instance knows them.
func (b *Backends) Replace(entries []fleet.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		b.set(e)
	}
	for id := range b.entries {
		if !listed[id] {
			b.forget(id)
		}
	}
	b.fleet.Loaded()
}

// Run follows the entries until the context ends.
func (b *Backends) Run(ctx context.Context) {
	var at int64
	fresh := true
	for ctx.Err() == nil {
		if b.hooks.Fed() {
			fresh = true
			pause(ctx, feedPause)
			continue
		}
		var err error
		if fresh {
			at, err = b.readAll(ctx)
		} else {
			at, err = b.readNext(ctx, at)
		}
		b.giveUpLapsed()
		var trimmed *platform.TrimmedError
		switch {
		case err == nil:
			fresh = false
			b.confirmed.set(b.now())
			b.recordSuccess()
			pause(ctx, backendsEvery)
		case errors.As(err, &trimmed):
			fresh = true
		default:
			b.recordFailure()
			pause(ctx, retryPause)
		}
	}
}

func (b *Backends) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failingSince = time.Time{}
}

func (b *Backends) recordFailure() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if b.failingSince.IsZero() {
		b.failingSince = now
	}
	if now.Sub(b.failingSince) >= outageAfter {
		b.outage = now
	}
}

// readAll takes over the newest entry of each server and drops those that have none.
func (b *Backends) readAll(ctx context.Context) (int64, error) {
	end, records, err := readNewest(ctx, b.store, platform.BackendsTopic)
	if err != nil {
		return 0, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := map[string]bool{}
	for _, r := range records {
		if len(r.Value) > 0 {
			listed[r.Key] = true
		}
		b.take(r)
	}
	for id := range b.entries {
		if !listed[id] {
			b.remove(id)
		}
	}
	b.fleet.Loaded()
	return end, nil
}

func (b *Backends) readNext(ctx context.Context, at int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, backendsTimeout)
	defer cancel()
	page, err := b.store.Read(ctx, platform.BackendsTopic, at, 0, 0)
	if err != nil {
		return at, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, raw := range page.Records {
		at++
		r, err := platform.DecodeKeyed(raw)
		if err != nil {
			klog.ErrorS(err, "unreadable entry of a backend server skipped", "offset", at-1)
			continue
		}
		b.take(r)
	}
	return at, nil
}

func (b *Backends) take(r platform.KeyedRecord) {
	if len(r.Value) == 0 {
		b.remove(r.Key)
		return
	}
	e, err := platform.DecodeBackend(r.Key, r.Value)
	if err != nil {
		klog.V(1).InfoS("entry names no backend server to use", "cause", err.Error())
		b.remove(r.Key)
		return
	}
	b.set(e)
}

func (b *Backends) set(e fleet.Entry) {
	delete(b.lapsed, e.ID)
	before, known := b.entries[e.ID]
	b.entries[e.ID] = describe(e)
	b.fleet.Set(e)
	if !known || before != describe(e) {
		klog.InfoS("backend server", "id", e.ID, "service", e.Service, "address", e.Address, "data_centre", e.DataCentre,
			"slots", e.Slots, "draining", e.Draining, "born", e.Incarnation)
		b.hooks.Changed()
	}
}

// describe gives two entries the same text if requests would be routed alike.
func describe(e fleet.Entry) string {
	state := "ready"
	if e.Draining {
		state = "draining"
	}
	return e.Service + " " + e.Address + " " + state + " " + time.UnixMilli(e.Incarnation).String()
}

func (b *Backends) remove(id string) {
	if _, known := b.entries[id]; !known {
		return
	}
	if b.now().Sub(b.outage) < lapseWindow {
		if _, pending := b.lapsed[id]; !pending {
			b.lapsed[id] = b.now().Add(lapseGrace)
			klog.InfoS("backend server's entry lapsed while the store was away", "id", id)
		}
		return
	}
	b.forget(id)
}

func (b *Backends) forget(id string) {
	klog.InfoS("backend server gone", "id", id)
	delete(b.entries, id)
	delete(b.lapsed, id)
	b.fleet.Remove(id)
	b.hooks.Changed()
}

func (b *Backends) giveUpLapsed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, until := range b.lapsed {
		if b.now().After(until) && b.now().Sub(b.outage) >= lapseGrace {
			b.forget(id)
		}
	}
}
