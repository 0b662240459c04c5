package quarantine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/platform"
)

// Topic is the topic of the platform's store that holds the quarantines, so that they outlive the loss of all instances. Its
// records expire by themselves.
const Topic = "quarantine"

const (
	// storeTimeout bounds a call to the store.
	storeTimeout = 600 * time.Millisecond
	// storeRetryDelay is the delay after a failed call.
	storeRetryDelay = 300 * time.Millisecond
	// maxReadBytes bounds one read of the records.
	maxReadBytes = 1 << 20
)

// Store is the part of the platform's store that keeps the quarantines.
type Store interface {
	Append(ctx context.Context, p platform.Partition, at int64, records [][]byte) (end int64, err error)
	Read(ctx context.Context, p platform.Partition, from int64, maxBytes int, wait time.Duration) (platform.ReadResult, error)
}

// archive reads and appends the records of quarantines. Records are never contradicted, so that a second copy of one, from a
// call whose response was lost or from another holder, does no harm.
type archive struct {
	store Store
	end   int64
}

var archivePartition = platform.Partition{Topic: Topic}

// readAll returns every record.
func (a *archive) readAll(ctx context.Context) ([][]byte, error) {
	var out [][]byte
	for from := int64(0); ; {
		r, err := a.read(ctx, from)
		var trimmed *platform.TrimmedError
		if errors.As(err, &trimmed) {
			from = trimmed.First
			continue
		}
		if err != nil {
			return nil, err
		}
		out = append(out, r.Records...)
		from += int64(len(r.Records))
		if a.end = r.End; len(r.Records) == 0 || from >= r.End {
			return out, nil
		}
	}
}

func (a *archive) read(ctx context.Context, from int64) (platform.ReadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return a.store.Read(ctx, archivePartition, from, maxReadBytes, 0)
}

// add appends records after all others.
func (a *archive) add(ctx context.Context, records [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	end, err := a.store.Append(ctx, archivePartition, a.end, records)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		a.end = conflict.End
		end, err = a.store.Append(ctx, archivePartition, a.end, records)
	}
	if err == nil {
		a.end = end
	}
	return err
}

// Run loads the quarantines from the store and then records new ones, until the context ends.
func (q *Quarantine) Run(ctx context.Context, store Store) {
	a := &archive{store: store}
	q.load(ctx, a)
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.decided:
		}
		for !q.save(ctx, a) {
			if !sleep(ctx, storeRetryDelay) {
				return
			}
		}
	}
}

// Loaded is closed once the quarantines were read from the store.
func (q *Quarantine) Loaded() <-chan struct{} { return q.loaded }

func (q *Quarantine) load(ctx context.Context, a *archive) {
	for {
		records, err := a.readAll(ctx)
		if err == nil {
			q.restore(records)
			close(q.loaded)
			return
		}
		klog.V(1).InfoS("could not read the quarantines from the store", "cause", err.Error())
		if !sleep(ctx, storeRetryDelay) {
			return
		}
	}
}

// restore merges records as they were when they were written.
func (q *Quarantine) restore(records [][]byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	for _, b := range records {
		m := &turnv1.QuarantineRecord{}
		if err := proto.Unmarshal(b, m); err != nil {
			klog.InfoS("record of a quarantine was skipped", "cause", err.Error())
			continue
		}
		f, r, ok := decode(m.Suspect, time.UnixMilli(m.AtUnixMs))
		if !ok || !r.quarantined(now) {
			continue
		}
		r.stored = true
		if q.register.merge(f, r) {
			q.logChange(f, false, "store", now)
		}
	}
	q.update(now)
}

// save records the quarantines that are not in the store yet, if this instance is the holder. It returns false if it failed.
func (q *Quarantine) save(ctx context.Context, a *archive) bool {
	fingerprints, records := q.unsaved()
	if len(records) == 0 {
		return true
	}
	if err := a.add(ctx, records); err != nil {
		klog.InfoS("could not record quarantines in the store", "requests", len(records), "cause", err.Error())
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, f := range fingerprints {
		if r := q.register.records[f]; r != nil && !r.until.IsZero() {
			r.stored = true
			q.register.noteChange(r)
		}
	}
	return true
}

// unsaved returns the quarantines that are not known to be in the store, if this instance is the holder.
func (q *Quarantine) unsaved() (fingerprints []Fingerprint, records [][]byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	if now.Sub(q.lastServed) > holderSilence {
		return nil, nil
	}
	for f, r := range q.register.records {
		if !r.quarantined(now) || r.stored {
			continue
		}
		b, err := proto.Marshal(&turnv1.QuarantineRecord{Suspect: encode(f, r, now), AtUnixMs: now.UnixMilli()})
		if err != nil {
			klog.InfoS("could not encode a quarantine", "cause", err.Error())
			continue
		}
		fingerprints, records = append(fingerprints, f), append(records, b)
	}
	return fingerprints, records
}

// sleep returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
