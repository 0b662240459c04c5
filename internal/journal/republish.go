package journal

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	journalv1 "github.com/berylpond/berylpond/api/journal/v1"
)

// RecordKey identifies a live record.
type RecordKey struct {
	Kind string
	Key  string
}

type live struct {
	rec     *journalv1.Record
	version uint64
	// appended is the time of the original or of the newest copy.
	appended time.Time
}

// tombstone prevents copies of a removed record from restoring it.
type tombstone struct {
	version uint64
	at      time.Time
}

// Republisher tracks the live records of a stream and determines which must be appended again before they expire. A
// copy keeps the version of its original, so that it never overrides a newer version. Republisher does no I/O and is
// not safe for concurrent use.
type Republisher struct {
	retention time.Duration
	after     time.Duration
	live      map[RecordKey]*live
	removed   map[RecordKey]tombstone
}

// NewRepublisher returns a republisher that makes copies of records older than the given fraction of the log's
// retention time.
func NewRepublisher(retention time.Duration, fraction float64) *Republisher {
	return &Republisher{
		retention: retention, after: time.Duration(float64(retention) * fraction),
		live: map[RecordKey]*live{}, removed: map[RecordKey]tombstone{},
	}
}

// Observe processes a record that was read. It reports whether the record is a new version of its kind and key, which a
// copy or an older version is not. For one kind and key, either all originals must have a version set by the writer or
// all must have version zero.
func (r *Republisher) Observe(p Position, rec *journalv1.Record) bool {
	key := RecordKey{Kind: rec.GetKind(), Key: rec.GetKey()}
	version := VersionOf(p, rec)
	appended := time.UnixMilli(max(rec.GetUnixMs(), rec.GetCopiedUnixMs()))
	if t, ok := r.removed[key]; ok && version <= t.version {
		return false
	}
	known := r.live[key]
	switch {
	case known == nil || version > known.version:
		r.live[key] = &live{rec: rec, version: version, appended: appended}
		return true
	case version == known.version && appended.After(known.appended):
		known.appended = appended
	}
	return false
}

// Remove removes a record that is no longer live. A tombstone keeps its copies from restoring it for one retention
// time; a newer version does restore it.
func (r *Republisher) Remove(now time.Time, kind, key string) {
	id := RecordKey{Kind: kind, Key: key}
	known := r.live[id]
	if known == nil {
		return
	}
	delete(r.live, id)
	r.removed[id] = tombstone{version: known.version, at: now}
}

// Len returns the number of live records.
func (r *Republisher) Len() int { return len(r.live) }

// Due returns copies of the records that were last appended too long before now, oldest first. The caller must append
// them; they stay due until they are read back and passed to Observe.
func (r *Republisher) Due(now time.Time) []*journalv1.Record {
	for id, t := range r.removed {
		if now.Sub(t.at) >= r.retention {
			delete(r.removed, id)
		}
	}
	var due []*live
	for _, l := range r.live {
		if now.Sub(l.appended) >= r.after {
			due = append(due, l)
		}
	}
	slices.SortFunc(due, func(a, b *live) int {
		if c := a.appended.Compare(b.appended); c != 0 {
			return c
		}
		return strings.Compare(a.rec.GetKind()+"\x00"+a.rec.GetKey(), b.rec.GetKind()+"\x00"+b.rec.GetKey())
	})
	copies := make([]*journalv1.Record, 0, len(due))
	for _, l := range due {
		c := proto.Clone(l.rec).(*journalv1.Record)
		c.Version = l.version
		c.CopiedUnixMs = now.UnixMilli()
		copies = append(copies, c)
	}
	return copies
}
