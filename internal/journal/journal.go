// Package journal appends records to streams of the platform's log in batches (group commit) and reads them back with
// exactly-once semantics.
//
// An append whose response was lost may have taken effect. The writer retries it with the same (writer, incarnation,
// sequence), and readers drop the duplicates. A writer has at most one append in flight, so its records stay in order.
package journal

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	journalv1 "github.com/berylpond/berylpond/api/journal/v1"
	"github.com/berylpond/berylpond/internal/platformclient"
)

// Errors of Writer, to be tested with errors.Is.
var (
	// ErrNotDurable means that the record is queued but not known to be in the log. The writer keeps trying as long as
	// the process runs, so the record may become durable at any time.
	ErrNotDurable = errors.New("record is not durable yet")
	// ErrBufferFull means that the record was not queued, because the limit of pending records or bytes is reached.
	ErrBufferFull = errors.New("journal buffer is full")
	// ErrTooLarge means that the record was not queued, because it exceeds the maximum size of a batch.
	ErrTooLarge = errors.New("record is too large")
	// ErrRejected means that the log rejected the record permanently.
	ErrRejected = errors.New("log rejects the record")
	// ErrClosed means that the record was not queued, because the writer is stopping.
	ErrClosed = errors.New("journal writer is closed")
)

// ErrStreamTruncated is returned by a Reader when the end of the stream is before an offset that was already read, so
// that the stream can't be the same one.
var ErrStreamTruncated = errors.New("end of the stream went back")

// Log is the part of the platform that the journal needs. *platformclient.Client implements it.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (first int64, err error)
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (platformclient.Page, error)
}

// WriterID identifies one process as a writer. No two processes may share one.
type WriterID struct {
	Instance    string
	Incarnation uint64
}

// Position is a position in a stream: the offset of a batch and the index of a record in it.
type Position struct {
	Offset int64
	Index  int
}

// Before reports whether p comes before q.
func (p Position) Before(q Position) bool {
	return p.Offset < q.Offset || (p.Offset == q.Offset && p.Index < q.Index)
}

// indexBits is the number of low bits that hold the index in a version derived from a position.
const indexBits = 16

// VersionOf returns the version of a record that was read at p: its own, or else one derived from its position. Derived
// versions increase along the stream.
func VersionOf(p Position, rec *journalv1.Record) uint64 {
	if rec.GetVersion() != 0 {
		return rec.GetVersion()
	}
	return uint64(p.Offset+1)<<indexBits | uint64(p.Index)
}
