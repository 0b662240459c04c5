// Package journal writes records to streams of the platform's log in batches (group commit) and reads them back exactly
// once.
//
// An append whose answer was lost may have taken effect. The writer repeats it with the same (writer, incarnation,
// sequence), and readers drop the repeats. A writer has one append in flight, so its records keep their order.
package journal

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	journalv1 "github.com/berylpond/berylpond/api/journal/v1"
	"github.com/berylpond/berylpond/internal/platform"
)

// Errors of Writer. Each is found with errors.Is.
var (
	// ErrNotDurable means that the record is queued but not known to be on the log. It is sent on later, as long as the
	// process lives, so it may become durable at any time.
	ErrNotDurable = errors.New("record is not durable yet")
	// ErrBufferFull means that the record was not queued, because too much waits for the log.
	ErrBufferFull = errors.New("journal buffer is full")
	// ErrTooLarge means that the record was not queued, because it does not fit in a batch.
	ErrTooLarge = errors.New("record is too large")
	// ErrRejected means that the log refused the record for good.
	ErrRejected = errors.New("log rejects the record")
	// ErrClosed means that the record was not queued, because the writer is stopping.
	ErrClosed = errors.New("journal writer is closed")
)

// ErrLogWentBack is returned by a Reader when the end of the stream is before what was read already.
var ErrLogWentBack = errors.New("end of the stream went back")

// Log is the part of the platform that the journal needs. *platform.Client implements it.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (first int64, err error)
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (platform.Page, error)
}

// WriterID names one process as a writer. No two processes may share one.
type WriterID struct {
	Instance    string
	Incarnation uint64
}

// Position is a place in a stream: the offset of a batch and the index of a record in it.
type Position struct {
	Offset int64
	Index  int
}

// Before reports whether p comes before q.
func (p Position) Before(q Position) bool {
	return p.Offset < q.Offset || (p.Offset == q.Offset && p.Index < q.Index)
}

// maxIndexBits is the number of low bits of a version made from a position that hold the index.
const maxIndexBits = 16

// VersionOf returns the version of a record that was read at p: its own, or else one made from its position. Versions
// of the second kind rise along the stream.
func VersionOf(p Position, rec *journalv1.Record) uint64 {
	if rec.GetVersion() != 0 {
		return rec.GetVersion()
	}
	return uint64(p.Offset+1)<<maxIndexBits | uint64(p.Index)
}
