package journal

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	journalv1 "github.com/berylpond/berylpond/api/journal/v1"
)

// LiveKey names a live record.
type LiveKey struct {
	Kind string
	Key  string
}

type live struct {
	rec     *journalv1.Record
	version uint64
	// appended is the time of the newest copy.
	appended time.Time
}

// Republisher knows the live records of a stream and says which have to be appended again before they expire. A copy
// keeps the version of its original, so that it never beats a later edit. Republisher is a pure state machine; its
// holder locks it.
type Republisher struct {
	after time.Duration
	live  map[LiveKey]*live
}

// NewRepublisher returns a republisher that makes copies at the given fraction of the log's retention.
func NewRepublisher(retention time.Duration, fraction float64) *Republisher {
	return &Republisher{after: time.Duration(float64(retention) * fraction), live: map[LiveKey]*live{}}
}

// Observe notes a record that was read. It reports whether the record is the newest of its kind and key: a copy or an
// older edit is not. The versions of one kind and key must be either all set by the writers or all zero in the
// originals.
func (r *Republisher) Observe(p Position, rec *journalv1.Record) bool {
	key := LiveKey{Kind: rec.GetKind(), Key: rec.GetKey()}
	version := VersionOf(p, rec)
	appended := time.UnixMilli(max(rec.GetUnixMs(), rec.GetCopiedUnixMs()))
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

// Remove forgets a record that is live no longer.
func (r *Republisher) Remove(kind, key string) { delete(r.live, LiveKey{Kind: kind, Key: key}) }

// Len returns the number of live records.
func (r *Republisher) Len() int { return len(r.live) }

// Due returns copies of the records whose newest copy is old at now, oldest first. The caller appends them; they stay
// due until Observe has read them back.
func (r *Republisher) Due(now time.Time) []*journalv1.Record {
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
