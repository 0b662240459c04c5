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
	"github.com/berylpond/berylpond/internal/platform"
	"github.com/berylpond/berylpond/internal/verdict"
)

// maxKnownWriters is the number of writer incarnations of one stream whose repeats are recognised.
const maxKnownWriters = 1 << 16

// Gap is a range of offsets that expired before they were read: From up to, but not including, First.
type Gap struct {
	From  int64
	First int64
	// AtStart is set when nothing was read before.
	AtStart bool
}

// Handler takes the records of a stream, in order, from one goroutine.
type Handler interface {
	// Apply is called once for each record.
	Apply(Position, *journalv1.Record)
	// Gap is called where records have expired unread. What they said is unknown.
	Gap(Gap)
}

// Reader follows one stream. Run does the work; the other methods are safe to call meanwhile.
type Reader struct {
	log     Log
	stream  string
	handler Handler
	metrics *Metrics

	pageMax    int
	pageWait   time.Duration
	backoffMin time.Duration
	backoffMax time.Duration
	pace       time.Duration

	// last holds the last sequence of each writer. Only Run's goroutine uses it.
	last  *lru.Cache[WriterID, uint64]
	began bool

	mu       sync.Mutex
	next     int64
	end      int64
	read     bool
	failing  bool
	progress chan struct{}
	// waiters counts the calls that wait for progress; wake ends a pause when one comes.
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
	r.last, _ = lru.New[WriterID, uint64](maxKnownWriters)
	for _, o := range opts {
		o(r)
	}
	if r.metrics == nil {
		r.metrics = NewMetrics()
	}
	return r
}

// Metrics returns the metrics that the reader counts in.
func (r *Reader) Metrics() *Metrics { return r.metrics }

// Next returns the offset that is read next: all before it has been applied or reported as a gap.
func (r *Reader) Next() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}

// CaughtUp reports whether the last read succeeded and everything up to the end that it saw has been applied.
func (r *Reader) CaughtUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read && !r.failing && r.next >= r.end
}

// WaitFor waits until everything up to and including the batch at offset has been applied.
func (r *Reader) WaitFor(ctx context.Context, offset int64) error {
	return r.wait(ctx, func() bool { return r.next > offset })
}

// WaitCaughtUp waits until the reader has caught up once more.
func (r *Reader) WaitCaughtUp(ctx context.Context) error {
	return r.wait(ctx, func() bool { return r.read && !r.failing && r.next >= r.end })
}

// wait calls reached with r.mu held.
func (r *Reader) wait(ctx context.Context, reached func() bool) error {
	r.count(1)
	defer r.count(-1)
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

// count changes the number of waiters and wakes a pausing Run.
func (r *Reader) count(n int) {
	r.mu.Lock()
	r.waiters += n
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// rest pauses until the pace allows the next read, or somebody waits.
func (r *Reader) rest(ctx context.Context, lastRead time.Time) {
	end := time.NewTimer(time.Until(lastRead.Add(r.pace)))
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

// Run follows the stream until ctx ends, while the log is away with backoff. It returns ErrLogWentBack if the stream is
// no longer the one that was read.
func (r *Reader) Run(ctx context.Context) error {
	backoff := r.backoffMin
	for ctx.Err() == nil {
		page, err := r.log.Read(ctx, r.stream, r.Next(), r.pageMax, r.pageWait)
		returned := time.Now()
		if err != nil {
			r.fail(ctx, err, backoff)
			backoff = min(r.backoffMax, 2*backoff)
			continue
		}
		backoff = r.backoffMin
		if err := r.apply(page); err != nil {
			return err
		}
		if r.pace > 0 && len(page.Records) < r.pageMax {
			r.rest(ctx, returned)
		}
	}
	return ctx.Err()
}

func (r *Reader) fail(ctx context.Context, err error, backoff time.Duration) {
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

// apply hands a page to the handler.
func (r *Reader) apply(page platform.Page) error {
	next := r.Next()
	if !invariant.Check(page.End >= next || !r.began, "journal.offsets_rise", "stream", r.stream, "next", next, "end", page.End) {
		return errors.Wrapf(ErrLogWentBack, "stream %s: next %d, end %d", r.stream, next, page.End)
	}
	if page.First > next {
		next = r.gap(next, page.First)
	}
	for _, rec := range page.Records {
		if !invariant.Check(rec.Offset >= next, "journal.offsets_rise", "stream", r.stream, "next", next, "offset", rec.Offset) {
			continue
		}
		if rec.Offset > next {
			r.gap(next, rec.Offset)
		}
		r.applyBatch(rec)
		r.began = true
		next = rec.Offset + 1
		r.advance(next, page.End)
	}
	r.advance(next, page.End)
	return nil
}

// gap reports that the offsets before first are missing and returns first.
func (r *Reader) gap(from, first int64) int64 {
	r.metrics.gaps.WithLabelValues(r.stream).Inc()
	r.handler.Gap(Gap{From: from, First: first, AtStart: !r.began})
	return first
}

func (r *Reader) advance(next, end int64) {
	r.metrics.readLag.WithLabelValues(r.stream).Set(float64(end - next))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next, r.end, r.read, r.failing = next, end, true, false
	close(r.progress)
	r.progress = make(chan struct{})
}

func (r *Reader) applyBatch(rec platform.Record) {
	batch := &journalv1.Batch{}
	if err := proto.Unmarshal(rec.Data, batch); err != nil {
		r.metrics.undecodable.WithLabelValues(r.stream).Inc()
		klog.ErrorS(err, "Record of the log is no batch", "stream", r.stream, "offset", rec.Offset)
		return
	}
	if r.isRepeat(batch) {
		r.metrics.repeats.WithLabelValues(r.stream).Inc()
		return
	}
	for i, record := range batch.GetRecords() {
		r.handler.Apply(Position{Offset: rec.Offset, Index: i}, record)
	}
	r.metrics.applied.WithLabelValues(r.stream).Add(float64(len(batch.GetRecords())))
}

// isRepeat reports whether the batch was seen before, and notes it.
func (r *Reader) isRepeat(b *journalv1.Batch) bool {
	id := WriterID{Instance: b.GetWriter(), Incarnation: b.GetIncarnation()}
	last, known := r.last.Get(id)
	if known && b.GetSequence() <= last {
		return true
	}
	if known && b.GetSequence() != last+1 {
		r.metrics.jumps.WithLabelValues(r.stream).Inc()
	}
	r.last.Add(id, b.GetSequence())
	return false
}
