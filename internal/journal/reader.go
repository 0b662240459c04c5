package journal

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	journalv1 "github.com/berylpond/berylpond/api/journal/v1"
	"github.com/berylpond/berylpond/internal/invariant"
	"github.com/berylpond/berylpond/internal/platformclient"
	"github.com/berylpond/berylpond/internal/verdict"
)

// maxKnownWriters is the maximum number of writer incarnations per stream for which duplicates are detected.
const maxKnownWriters = 1 << 16

// Gap is a range of offsets that expired before they were read: From (inclusive) to To (exclusive).
type Gap struct {
	From int64
	To   int64
	// AtStart is set when no record was read before the gap.
	AtStart bool
}

// Handler processes the records of a stream. Its methods are called in stream order from one goroutine.
type Handler interface {
	// Apply is called exactly once for each record.
	Apply(Position, *journalv1.Record)
	// Gap is called where records expired before they were read. Their contents are unknown.
	Gap(Gap)
}

// Reader follows one stream. Run reads it; the other methods are safe to call concurrently with Run.
type Reader struct {
	log     Log
	stream  string
	handler Handler
	metrics *Metrics

	pageMax     int
	pageWait    time.Duration
	backoffMin  time.Duration
	backoffMax  time.Duration
	minInterval time.Duration

	// lastSequences holds the last sequence number of each writer. Only the goroutine of Run uses it.
	lastSequences *lru.Cache[WriterID, uint64]
	started       bool

	mu       sync.Mutex
	next     int64
	end      int64
	hasRead  bool
	failing  bool
	progress chan struct{}
	// waiters is the number of calls that wait for progress; wake interrupts the delay between reads when it changes.
	waiters int
	wake    chan struct{}
}

// NewReader returns a reader of a stream.
func NewReader(log Log, stream string, h Handler, opts ...ReaderOption) *Reader {
	r := &Reader{
		log: log, stream: stream, handler: h,
		pageMax: defaultReadMax, pageWait: defaultReadWait,
		backoffMin: defaultBackoffMin, backoffMax: defaultBackoffMax,
		progress: make(chan struct{}),
		wake:     make(chan struct{}, 1),
	}
	r.lastSequences, _ = lru.New[WriterID, uint64](maxKnownWriters)
	for _, o := range opts {
		o(r)
	}
	if r.metrics == nil {
		r.metrics = NewMetrics()
	}
	return r
}

// Metrics returns the metrics that the reader updates.
func (r *Reader) Metrics() *Metrics { return r.metrics }

// Next returns the offset to read next. All records before it have been applied or reported as a gap.
func (r *Reader) Next() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}

// CaughtUp reports whether the last read succeeded and everything up to the end of the stream at that time has been
// applied.
func (r *Reader) CaughtUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasRead && !r.failing && r.next >= r.end
}

// WaitFor waits until everything up to and including the batch at offset has been applied.
func (r *Reader) WaitFor(ctx context.Context, offset int64) error {
	return r.wait(ctx, func() bool { return r.next > offset })
}

// WaitCaughtUp waits until the reader has caught up; see CaughtUp.
func (r *Reader) WaitCaughtUp(ctx context.Context) error {
	return r.wait(ctx, func() bool { return r.hasRead && !r.failing && r.next >= r.end })
}

// wait waits until reached returns true. It calls reached with r.mu held.
func (r *Reader) wait(ctx context.Context, reached func() bool) error {
	r.addWaiters(1)
	defer r.addWaiters(-1)
	for {
		r.mu.Lock()
		ok, progress := reached(), r.progress
		r.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// addWaiters changes the number of waiters and wakes Run if it waits between two reads.
func (r *Reader) addWaiters(n int) {
	r.mu.Lock()
	r.waiters += n
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// waitInterval waits until the minimum interval since the last read has passed or a call waits for progress.
func (r *Reader) waitInterval(ctx context.Context, lastRead time.Time) {
	end := time.NewTimer(time.Until(lastRead.Add(r.minInterval)))
	defer end.Stop()
	for {
		r.mu.Lock()
		awaited := r.waiters > 0
		r.mu.Unlock()
		if awaited {
			return
		}
		select {
		case <-r.wake:
		case <-end.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Run follows the stream until ctx ends. While the log is unavailable, it retries with backoff. It returns
// ErrStreamTruncated if the stream ends before an offset that was already read.
func (r *Reader) Run(ctx context.Context) error {
	backoff := r.backoffMin
	for ctx.Err() == nil {
		page, err := r.log.Read(ctx, r.stream, r.Next(), r.pageMax, r.pageWait)
		returned := time.Now()
		if err != nil {
			r.backOff(ctx, err, backoff)
			backoff = min(r.backoffMax, 2*backoff)
			continue
		}
		backoff = r.backoffMin
		if err := r.apply(page); err != nil {
			return err
		}
		if r.minInterval > 0 && len(page.Records) < r.pageMax {
			r.waitInterval(ctx, returned)
		}
	}
	return ctx.Err()
}

func (r *Reader) backOff(ctx context.Context, err error, backoff time.Duration) {
	if ctx.Err() != nil {
		return
	}
	v := verdict.From(err)
	r.metrics.readRetries.WithLabelValues(r.stream, string(v.Reason)).Inc()
	r.mu.Lock()
	r.failing = true
	r.mu.Unlock()
	t := time.NewTimer(max(v.RetryAfter, backoff/2+rand.N(backoff/2+1)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// apply passes the records and gaps of a page to the handler.
func (r *Reader) apply(page platformclient.Page) error {
	next := r.Next()
	if !invariant.Check(page.End >= next || !r.started, "journal.offsets_rise", "stream", r.stream, "next", next, "end", page.End) {
		return errors.Wrapf(ErrStreamTruncated, "stream %s: next %d, end %d", r.stream, next, page.End)
	}
	if page.First > next {
		next = r.reportGap(next, page.First)
	}
	for _, rec := range page.Records {
		if !invariant.Check(rec.Offset >= next, "journal.offsets_rise", "stream", r.stream, "next", next, "offset", rec.Offset) {
			continue
		}
		if rec.Offset > next {
			r.reportGap(next, rec.Offset)
		}
		r.applyBatch(rec)
		r.started = true
		next = rec.Offset + 1
		r.advance(next, page.End)
	}
	r.advance(next, page.End)
	return nil
}

// reportGap reports that the offsets in [from, first) are missing and returns first.
func (r *Reader) reportGap(from, first int64) int64 {
	r.metrics.gaps.WithLabelValues(r.stream).Inc()
	r.handler.Gap(Gap{From: from, To: first, AtStart: !r.started})
	return first
}

func (r *Reader) advance(next, end int64) {
	r.metrics.readLag.WithLabelValues(r.stream).Set(float64(end - next))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next, r.end, r.hasRead, r.failing = next, end, true, false
	close(r.progress)
	r.progress = make(chan struct{})
}

func (r *Reader) applyBatch(rec platformclient.Record) {
	batch := &journalv1.Batch{}
	if err := proto.Unmarshal(rec.Data, batch); err != nil {
		r.metrics.undecodable.WithLabelValues(r.stream).Inc()
		klog.ErrorS(err, "Cannot decode a log record as a batch; skipping it", "stream", r.stream, "offset", rec.Offset)
		return
	}
	if r.isDuplicate(batch) {
		r.metrics.duplicates.WithLabelValues(r.stream).Inc()
		return
	}
	for i, record := range batch.GetRecords() {
		r.handler.Apply(Position{Offset: rec.Offset, Index: i}, record)
	}
	r.metrics.applied.WithLabelValues(r.stream).Add(float64(len(batch.GetRecords())))
}

// isDuplicate reports whether the batch was already seen, and records its sequence number.
func (r *Reader) isDuplicate(b *journalv1.Batch) bool {
	id := WriterID{Instance: b.GetWriter(), Incarnation: b.GetIncarnation()}
	last, known := r.lastSequences.Get(id)
	if known && b.GetSequence() <= last {
		return true
	}
	if known && b.GetSequence() != last+1 {
		r.metrics.sequenceGaps.WithLabelValues(r.stream).Inc()
	}
	r.lastSequences.Add(id, b.GetSequence())
	return false
}
