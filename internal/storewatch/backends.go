package storewatch

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
	// backendsPollInterval is the delay between two reads of the backend servers' entries. Together with the read it stays
	// well below the time after which a leaving server must get no more requests.
	backendsPollInterval = 400 * time.Millisecond
	// backendsReadTimeout bounds one such read.
	backendsReadTimeout = 900 * time.Millisecond
	// lapsedGracePeriod is how long a server is still used after its entry expired around a store outage: entries expire
	// while the store is unavailable, and live servers register again within two seconds.
	lapsedGracePeriod = 2300 * time.Millisecond
	// lapseWindow is the time after an outage in which a missing entry counts as expired rather than removed.
	lapseWindow = 2500 * time.Millisecond
	// outageThreshold is how long reads must fail to count as an outage: entries expire only after several missed
	// heartbeats.
	outageThreshold = time.Second
)

// BackendWatcher keeps a fleet up to date with the entries of the backend servers in the store.
type BackendWatcher struct {
	store    *platform.Store
	hooks    Hooks
	fleet    *fleet.Fleet
	now      func() time.Time
	lastRead readTime

	// mu guards the rest.
	mu sync.Mutex
	// failingSince is the time of the first of a series of failed reads, zero while reads succeed. lastOutage is the time
	// of the latest failed read that counted as an outage.
	failingSince time.Time
	lastOutage   time.Time
	// lapsed holds the servers whose entries expired around an outage, with the time at which they are removed.
	lapsed map[string]time.Time
	// known holds each server's newest entry, to detect changes.
	known map[string]fleet.Entry
}

// NewBackendWatcher returns a watcher that updates the fleet f.
func NewBackendWatcher(store *platform.Store, f *fleet.Fleet, h Hooks) *BackendWatcher {
	return &BackendWatcher{store: store, hooks: h, fleet: f, now: time.Now, lapsed: map[string]time.Time{},
		known: map[string]fleet.Entry{}}
}

// Age returns the time since this instance last read the entries from the store.
func (b *BackendWatcher) Age() time.Duration { return b.lastRead.age(b.now()) }

// Replace replaces all entries with those received from another instance.
func (b *BackendWatcher) Replace(entries []fleet.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		b.setEntry(e)
	}
	for id := range b.known {
		if !listed[id] {
			b.deleteEntry(id)
		}
	}
	b.fleet.MarkLoaded()
}

// Run keeps the fleet up to date until the context ends.
func (b *BackendWatcher) Run(ctx context.Context) {
	var offset int64
	needSnapshot := true
	for ctx.Err() == nil {
		if b.hooks.UsesFeed() {
			needSnapshot = true
			sleep(ctx, feedPollInterval)
			continue
		}
		var err error
		if needSnapshot {
			offset, err = b.readSnapshot(ctx)
		} else {
			offset, err = b.readNext(ctx, offset)
		}
		b.expireLapsed()
		var trimmed *platform.TrimmedError
		switch {
		case err == nil:
			needSnapshot = false
			b.lastRead.set(b.now())
			b.recordSuccess()
			sleep(ctx, backendsPollInterval)
		case errors.As(err, &trimmed):
			needSnapshot = true
		default:
			b.recordFailure()
			sleep(ctx, retryDelay)
		}
	}
}

func (b *BackendWatcher) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failingSince = time.Time{}
}

func (b *BackendWatcher) recordFailure() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if b.failingSince.IsZero() {
		b.failingSince = now
	}
	if now.Sub(b.failingSince) >= outageThreshold {
		b.lastOutage = now
	}
}

// readSnapshot reads the newest entry of each server and removes the servers without one.
func (b *BackendWatcher) readSnapshot(ctx context.Context) (int64, error) {
	end, records, err := ReadNewest(ctx, b.store, platform.BackendsTopic)
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
		b.applyRecord(r)
	}
	for id := range b.known {
		if !listed[id] {
			b.removeEntry(id)
		}
	}
	b.fleet.MarkLoaded()
	return end, nil
}

func (b *BackendWatcher) readNext(ctx context.Context, offset int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, backendsReadTimeout)
	defer cancel()
	page, err := b.store.Read(ctx, platform.BackendsTopic, offset, 0, 0)
	if err != nil {
		return offset, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, raw := range page.Records {
		offset++
		r, err := platform.DecodeKeyed(raw)
		if err != nil {
			klog.ErrorS(err, "skipping a backend server entry that cannot be decoded", "offset", offset-1)
			continue
		}
		b.applyRecord(r)
	}
	return offset, nil
}

func (b *BackendWatcher) applyRecord(r platform.KeyedRecord) {
	if len(r.Value) == 0 {
		b.removeEntry(r.Key)
		return
	}
	e, err := platform.DecodeBackend(r.Key, r.Value)
	if err != nil {
		klog.V(1).InfoS("ignoring an entry without a usable backend server", "cause", err.Error())
		b.removeEntry(r.Key)
		return
	}
	b.setEntry(e)
}

func (b *BackendWatcher) setEntry(e fleet.Entry) {
	delete(b.lapsed, e.ID)
	previous, known := b.known[e.ID]
	turned := b.fleet.Upsert(e)
	// How long the server is still cold changes with each heartbeat; the fleet tells whether that says anything new.
	e.Cold = fleet.ColdReport{}
	b.known[e.ID] = e
	if turned && known && previous == e {
		b.hooks.OnChange()
	}
	if !known || previous != e {
		klog.InfoS("backend server", "id", e.ID, "service", e.Service, "address", e.Address, "data_centre", e.DataCentre,
			"slots", e.Slots, "draining", e.Draining, "born", e.Incarnation)
		b.hooks.OnChange()
	}
}

func (b *BackendWatcher) removeEntry(id string) {
	if _, known := b.known[id]; !known {
		return
	}
	if b.now().Sub(b.lastOutage) < lapseWindow {
		if _, pending := b.lapsed[id]; !pending {
			b.lapsed[id] = b.now().Add(lapsedGracePeriod)
			klog.InfoS("backend server's entry expired around a store outage; the server stays in use for now", "id", id)
		}
		return
	}
	b.deleteEntry(id)
}

func (b *BackendWatcher) deleteEntry(id string) {
	klog.InfoS("backend server gone", "id", id)
	delete(b.known, id)
	delete(b.lapsed, id)
	b.fleet.Remove(id)
	b.hooks.OnChange()
}

func (b *BackendWatcher) expireLapsed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, until := range b.lapsed {
		if b.now().After(until) && b.now().Sub(b.lastOutage) >= lapsedGracePeriod {
			b.deleteEntry(id)
		}
	}
}
