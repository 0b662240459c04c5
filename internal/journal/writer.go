package journal

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	journalv1 "github.com/berylpond/berylpond/api/journal/v1"
	"github.com/berylpond/berylpond/internal/failpoint"
	"github.com/berylpond/berylpond/internal/invariant"
	"github.com/berylpond/berylpond/internal/verdict"
)

// result is the end of one record's wait.
type result struct {
	position Position
	err      error
}

// entry is one queued record. done is nil for records that nobody waits for; it has room for one result.
type entry struct {
	rec  *journalv1.Record
	size int
	at   time.Time
	done chan result
}

// finish gives the result to whoever waits. Later results are dropped.
func (e *entry) finish(r result) {
	if e.done == nil {
		return
	}
	select {
	case e.done <- r:
	default:
	}
}

// Writer appends records to one stream. It is safe for concurrent use.
type Writer struct {
	log     Log
	stream  string
	id      WriterID
	metrics *Metrics

	budget        float64
	burst         int
	pace          *Pace
	lazyDelay     time.Duration
	maxWindow     time.Duration
	awayAfter     time.Duration
	backoffMin    time.Duration
	backoffMax    time.Duration
	batchRecords  int
	batchBytes    int
	bufferRecords int
	bufferBytes   int

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	wake   chan struct{}

	mu sync.Mutex
	// queue holds the records in order; the first inFlight of them are in the current batch.
	queue    []*entry
	inFlight int
	bytes    int
	writers  int
	// away is set while the log has failed for longer than awayAfter.
	away   bool
	closed bool
	// drained is closed when the writer is closed and the queue is empty.
	drained chan struct{}

	// Only run's goroutine uses what follows.
	sequence     uint64
	committed    uint64
	lastOffset   int64
	penalty      time.Duration
	failingSince time.Time
}

// New starts a writer. Close ends it.
func New(log Log, stream string, id WriterID, opts ...WriterOption) *Writer {
	w := &Writer{
		log: log, stream: stream, id: id,
		maxWindow: defaultMaxWindow, awayAfter: defaultAwayAfter,
		backoffMin: defaultBackoffMin, backoffMax: defaultBackoffMax,
		batchRecords: defaultMaxBatchRecords, batchBytes: defaultMaxBatchBytes,
		bufferRecords: defaultBufferRecords, bufferBytes: defaultBufferBytes,
		done: make(chan struct{}), wake: make(chan struct{}, 1), drained: make(chan struct{}),
		writers: 1, burst: 1, pace: NewPace(), lastOffset: -1,
	}
	for _, o := range opts {
		o(w)
	}
	if w.metrics == nil {
		w.metrics = NewMetrics()
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	go w.run()
	return w
}

// Metrics returns the metrics that the writer counts in.
func (w *Writer) Metrics() *Metrics { return w.metrics }

// SetWriters tells how many writers, or groups of writers that share a pace, share the append budget.
func (w *Writer) SetWriters(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writers = max(1, n)
}

// Append queues a record and waits until it is durable. The position is that of a copy that readers reach no earlier
// than the record itself: after a lost answer they may have found it before. On ErrNotDurable the record stays queued;
// on all other errors it does not. The caller must not change the record afterwards.
func (w *Writer) Append(ctx context.Context, rec *journalv1.Record) (Position, error) {
	e := &entry{rec: rec, done: make(chan result, 1)}
	away, err := w.enqueue(e)
	if err != nil {
		return Position{}, err
	}
	if away {
		return Position{}, ErrNotDurable
	}
	select {
	case r := <-e.done:
		return r.position, r.err
	case <-ctx.Done():
		return Position{}, errors.Wrapf(ErrNotDurable, "%v", ctx.Err())
	}
}

// Enqueue queues a record without waiting. The caller must not change the record afterwards.
func (w *Writer) Enqueue(rec *journalv1.Record) error {
	_, err := w.enqueue(&entry{rec: rec})
	return err
}

// Pending returns the number of records that are queued and not known to be durable.
func (w *Writer) Pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue)
}

// Away reports whether appends have failed for so long that Append does not wait for them.
func (w *Writer) Away() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.away
}

// Drain takes no more records and waits until all that are queued are durable. It returns ErrNotDurable if ctx ends
// before.
func (w *Writer) Drain(ctx context.Context) error {
	w.mu.Lock()
	w.close()
	w.mu.Unlock()
	select {
	case <-w.drained:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ErrNotDurable, "%d records left: %v", w.Pending(), ctx.Err())
	}
}

// Close ends the writer at once. Records that are still queued are lost, and their waiters get ErrNotDurable.
func (w *Writer) Close() {
	w.mu.Lock()
	w.close()
	w.mu.Unlock()
	w.cancel()
	<-w.done
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.queue {
		e.finish(result{err: ErrNotDurable})
	}
}

// close refuses further records; w.mu is held.
func (w *Writer) close() {
	if w.closed {
		return
	}
	w.closed = true
	w.signal()
	if len(w.queue) == 0 {
		close(w.drained)
	}
}

func (w *Writer) enqueue(e *entry) (away bool, err error) {
	e.size = proto.Size(e.rec)
	e.at = time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.closed:
		return false, w.refuse("closed", ErrClosed)
	case e.size > w.batchBytes:
		return false, w.refuse("too_large", ErrTooLarge)
	case len(w.queue) >= w.bufferRecords || w.bytes+e.size > w.bufferBytes:
		return false, w.refuse("buffer_full", ErrBufferFull)
	}
	w.queue = append(w.queue, e)
	w.bytes += e.size
	w.metrics.pending.WithLabelValues(w.stream).Set(float64(len(w.queue)))
	w.signal()
	return w.away, nil
}

// signal makes awaitRecords look again.
func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Writer) refuse(reason string, err error) error {
	w.metrics.refusals.WithLabelValues(w.stream, reason).Inc()
	return err
}

// run commits one batch after the other.
func (w *Writer) run() {
	defer close(w.done)
	for {
		if !w.awaitRecords() || !w.pause(w.pace.untilAllowed(time.Now(), w.window(), w.burst)) {
			return
		}
		if !w.commit() {
			return
		}
	}
}

// awaitRecords waits until a batch is due. It returns false when the writer ends.
func (w *Writer) awaitRecords() bool {
	for {
		d := w.untilDue(time.Now())
		if d <= 0 {
			return true
		}
		t := time.NewTimer(d)
		select {
		case <-w.wake:
		case <-t.C:
		case <-w.ctx.Done():
			t.Stop()
			return false
		}
		t.Stop()
	}
}

// untilDue returns the time until a batch is due. A record that somebody waits for is due at once and takes the others
// along; records that nobody waits for are due after lazyDelay.
func (w *Writer) untilDue(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		return idleWait
	}
	if w.closed || slices.ContainsFunc(w.queue, func(e *entry) bool { return e.done != nil }) {
		return 0
	}
	return w.queue[0].at.Add(w.lazyDelay).Sub(now)
}

// window is the mean time between the starts of two appends.
func (w *Writer) window() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var d time.Duration
	if w.budget > 0 {
		d = time.Duration(float64(w.writers) / w.budget * float64(time.Second))
	}
	return min(w.maxWindow, d+w.penalty)
}

// pause returns false when the writer ends.
func (w *Writer) pause(d time.Duration) bool {
	if d <= 0 {
		return w.ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-w.ctx.Done():
		return false
	}
}

// commit makes the next batch durable, however often that takes. It returns false when the writer ends before.
func (w *Writer) commit() bool {
	batch, entries := w.next()
	data, err := proto.Marshal(batch)
	if err != nil {
		w.settle(entries, result{err: errors.Wrapf(ErrRejected, "%v", err)})
		return true
	}
	backoff := w.backoffMin
	for {
		offset, err := w.attempt(data)
		if err == nil {
			w.succeed(entries, offset)
			return true
		}
		if w.ctx.Err() != nil {
			return false
		}
		v := verdict.From(err)
		if v.Verdict == verdict.NotRun && v.Reason == verdict.ReasonMalformed {
			klog.ErrorS(err, "Log rejects a batch", "stream", w.stream, "records", len(entries), "bytes", len(data))
			w.metrics.refusals.WithLabelValues(w.stream, "rejected").Add(float64(len(entries)))
			w.settle(entries, result{err: errors.Wrapf(ErrRejected, "%v", err)})
			return true
		}
		w.fail(v, entries[0].at)
		if !w.pause(w.retryPause(v, backoff)) {
			return false
		}
		backoff = min(w.backoffMax, 2*backoff)
	}
}

// retryPause returns the time until the next attempt. It is random, so that writers that were refused together do not
// come back together. The log's own Retry-After, in whole seconds, counts up to the longest window.
func (w *Writer) retryPause(v *verdict.Error, backoff time.Duration) time.Duration {
	least := max(min(v.RetryAfter, w.maxWindow), backoff)
	return least/2 + rand.N(least/2+1)
}

// next forms a batch from the head of the queue.
func (w *Writer) next() (*journalv1.Batch, []*entry) {
	w.sequence++
	batch := &journalv1.Batch{Writer: w.id.Instance, Incarnation: w.id.Incarnation, Sequence: w.sequence}
	w.mu.Lock()
	defer w.mu.Unlock()
	bytes := 0
	for _, e := range w.queue {
		if len(batch.Records) >= w.batchRecords || (bytes > 0 && bytes+e.size > w.batchBytes) {
			break
		}
		bytes += e.size
		batch.Records = append(batch.Records, e.rec)
	}
	w.inFlight = len(batch.Records)
	return batch, append([]*entry(nil), w.queue[:w.inFlight]...)
}

// attempt appends a batch once.
func (w *Writer) attempt(data []byte) (int64, error) {
	if err := failpoint.Hit("journal.append.before"); err != nil {
		return 0, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonPlatformAway, 0, "%v", err)
	}
	w.pace.started(time.Now(), w.window())
	offset, err := w.log.Append(w.ctx, w.stream, [][]byte{data})
	if hit := failpoint.Hit("journal.append.after"); hit != nil && err == nil {
		return 0, verdict.Fail(http.StatusGatewayTimeout, verdict.ReasonPlatformAway, "%v", hit)
	}
	return offset, err
}

func (w *Writer) succeed(entries []*entry, offset int64) {
	invariant.Check(offset > w.lastOffset, "journal.offsets_rise", "stream", w.stream, "offset", offset, "last", w.lastOffset)
	invariant.Check(w.sequence > w.committed, "journal.sequence_rises", "stream", w.stream, "sequence", w.sequence, "last", w.committed)
	w.committed = w.sequence
	w.lastOffset = max(w.lastOffset, offset)
	w.failingSince = time.Time{}
	w.penalty /= 2
	w.metrics.batchRecords.WithLabelValues(w.stream).Observe(float64(len(entries)))
	w.metrics.lag.WithLabelValues(w.stream).Set(0)
	now := time.Now()
	for _, e := range entries {
		w.metrics.latency.WithLabelValues(w.stream).Observe(now.Sub(e.at).Seconds())
	}
	w.settle(entries, result{position: Position{Offset: offset}})
}

// settle takes the current batch out of the queue and ends the waits for it.
func (w *Writer) settle(entries []*entry, r result) {
	w.mu.Lock()
	clear(w.queue[:w.inFlight])
	w.queue = w.queue[w.inFlight:]
	w.inFlight = 0
	for _, e := range entries {
		w.bytes -= e.size
	}
	if r.err == nil {
		w.away = false
	}
	w.metrics.pending.WithLabelValues(w.stream).Set(float64(len(w.queue)))
	if w.closed && len(w.queue) == 0 {
		close(w.drained)
	}
	w.mu.Unlock()
	for i, e := range entries {
		e.finish(result{position: Position{Offset: r.position.Offset, Index: i}, err: r.err})
	}
}

// fail notes a failed attempt. When the log has been away for long enough, nobody waits for it any more.
func (w *Writer) fail(v *verdict.Error, oldest time.Time) {
	now := time.Now()
	w.metrics.retries.WithLabelValues(w.stream, string(v.Reason)+"/"+v.Verdict.String()).Inc()
	w.metrics.lag.WithLabelValues(w.stream).Set(now.Sub(oldest).Seconds())
	if v.Reason == verdict.ReasonRateLimited {
		w.penalty = min(w.maxWindow, max(w.backoffMin, 2*w.penalty))
	}
	if w.failingSince.IsZero() {
		w.failingSince = now
	}
	if now.Sub(w.failingSince) < w.awayAfter {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.away = true
	for _, e := range w.queue {
		e.finish(result{err: ErrNotDurable})
	}
}
