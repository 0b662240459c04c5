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

// result is the outcome of one record, for the caller that waits for it.
type result struct {
	position Position
	err      error
}

// entry is one queued record. done has a buffer of one; it is nil if no caller waits for the record.
type entry struct {
	rec      *journalv1.Record
	size     int
	queuedAt time.Time
	done     chan result
}

// complete sends the result to the waiting caller, if any. Later results are dropped.
func (e *entry) complete(r result) {
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

	budget           float64
	burst            int
	limiter          *AppendLimiter
	linger           time.Duration
	maxWindow        time.Duration
	unavailableAfter time.Duration
	backoffMin       time.Duration
	backoffMax       time.Duration
	batchRecords     int
	batchBytes       int
	bufferRecords    int
	bufferBytes      int

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	wake   chan struct{}

	mu sync.Mutex
	// queue holds the pending records in order; the first inFlight of them are in the current batch.
	queue    []*entry
	inFlight int
	bytes    int
	writers  int
	// unavailable is set while the log has failed for longer than unavailableAfter.
	unavailable bool
	closed      bool
	// drained is closed when the writer is closed and the queue is empty.
	drained chan struct{}

	// The fields below are used only by the goroutine of run.
	sequence         uint64
	committed        uint64
	lastOffset       int64
	rateLimitPenalty time.Duration
	failingSince     time.Time
}

// NewWriter returns a running writer. Close stops it.
func NewWriter(log Log, stream string, id WriterID, opts ...WriterOption) *Writer {
	w := &Writer{
		log: log, stream: stream, id: id,
		maxWindow: defaultMaxWindow, unavailableAfter: defaultUnavailableAfter,
		backoffMin: defaultBackoffMin, backoffMax: defaultBackoffMax,
		batchRecords: defaultMaxBatchRecords, batchBytes: defaultMaxBatchBytes,
		bufferRecords: defaultBufferRecords, bufferBytes: defaultBufferBytes,
		done: make(chan struct{}), wake: make(chan struct{}, 1), drained: make(chan struct{}),
		writers: 1, burst: 1, limiter: NewAppendLimiter(), lastOffset: -1,
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

// Metrics returns the metrics that the writer updates.
func (w *Writer) Metrics() *Metrics { return w.metrics }

// SetWriterCount sets the number of writers, or groups of writers with a shared limiter, that share the append budget.
func (w *Writer) SetWriterCount(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writers = max(1, n)
}

// Append queues a record and waits until it is durable. If an append was retried after a lost response, the position is
// that of the confirmed duplicate, and readers may have applied the record at an earlier position. On ErrNotDurable the
// record stays queued; on all other errors it doesn't. The caller must not modify the record afterwards.
func (w *Writer) Append(ctx context.Context, rec *journalv1.Record) (Position, error) {
	e := &entry{rec: rec, done: make(chan result, 1)}
	unavailable, err := w.enqueue(e)
	if err != nil {
		return Position{}, err
	}
	if unavailable {
		return Position{}, ErrNotDurable
	}
	select {
	case r := <-e.done:
		return r.position, r.err
	case <-ctx.Done():
		return Position{}, errors.Wrapf(ErrNotDurable, "%v", ctx.Err())
	}
}

// Enqueue queues a record without waiting. The caller must not modify the record afterwards.
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

// Unavailable reports whether appends have failed for so long that the log counts as unavailable and Append doesn't
// wait.
func (w *Writer) Unavailable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unavailable
}

// Drain stops accepting records and waits until all queued ones are durable. It returns ErrNotDurable if ctx ends
// first.
func (w *Writer) Drain(ctx context.Context) error {
	w.mu.Lock()
	w.stopAccepting()
	w.mu.Unlock()
	select {
	case <-w.drained:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ErrNotDurable, "%d records left: %v", w.Pending(), ctx.Err())
	}
}

// Close stops the writer immediately. Records that are still queued are dropped, and callers that wait for them get
// ErrNotDurable.
func (w *Writer) Close() {
	w.mu.Lock()
	w.stopAccepting()
	w.mu.Unlock()
	w.cancel()
	<-w.done
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.queue {
		e.complete(result{err: ErrNotDurable})
	}
}

// stopAccepting makes the writer refuse further records. w.mu must be held.
func (w *Writer) stopAccepting() {
	if w.closed {
		return
	}
	w.closed = true
	w.signal()
	if len(w.queue) == 0 {
		close(w.drained)
	}
}

func (w *Writer) enqueue(e *entry) (unavailable bool, err error) {
	e.size = proto.Size(e.rec)
	e.queuedAt = time.Now()
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
	return w.unavailable, nil
}

// signal wakes awaitRecords.
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

// run commits batches one after another.
func (w *Writer) run() {
	defer close(w.done)
	for {
		if !w.awaitRecords() || !w.sleep(w.limiter.untilAllowed(time.Now(), w.window(), w.burst)) {
			return
		}
		if !w.commit() {
			return
		}
	}
}

// awaitRecords waits until a batch is due. It returns false after Close.
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

// untilDue returns the time until a batch is due. If a caller waits for any queued record, or the writer is being
// drained, a batch is due immediately and includes the other records; otherwise it is due when the oldest record has
// been queued for the linger time.
func (w *Writer) untilDue(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		return idleTimeout
	}
	if w.closed || slices.ContainsFunc(w.queue, func(e *entry) bool { return e.done != nil }) {
		return 0
	}
	return w.queue[0].queuedAt.Add(w.linger).Sub(now)
}

// window returns the commit window, the mean time between the starts of two appends.
func (w *Writer) window() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var d time.Duration
	if w.budget > 0 {
		d = time.Duration(float64(w.writers) / w.budget * float64(time.Second))
	}
	return min(w.maxWindow, d+w.rateLimitPenalty)
}

// sleep waits for d. It returns false after Close.
func (w *Writer) sleep(d time.Duration) bool {
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

// commit appends the next batch and retries until it is durable or rejected. It returns false if Close is called
// before.
func (w *Writer) commit() bool {
	batch, entries := w.nextBatch()
	data, err := proto.Marshal(batch)
	if err != nil {
		w.completeBatch(entries, result{err: errors.Wrapf(ErrRejected, "%v", err)})
		return true
	}
	backoff := w.backoffMin
	for {
		offset, err := w.appendOnce(data)
		if err == nil {
			w.onSuccess(entries, offset)
			return true
		}
		if w.ctx.Err() != nil {
			return false
		}
		v := verdict.From(err)
		if v.Verdict == verdict.NotRun && v.Reason == verdict.ReasonMalformed {
			klog.ErrorS(err, "The log rejected a batch", "stream", w.stream, "records", len(entries), "bytes", len(data))
			w.metrics.refusals.WithLabelValues(w.stream, "rejected").Add(float64(len(entries)))
			w.completeBatch(entries, result{err: errors.Wrapf(ErrRejected, "%v", err)})
			return true
		}
		w.onFailure(v, entries[0].queuedAt)
		if !w.sleep(w.retryDelay(v, backoff)) {
			return false
		}
		backoff = min(w.backoffMax, 2*backoff)
	}
}

// retryDelay returns the delay before the next attempt. It is jittered, so that writers that were refused at the same
// time don't retry at the same time. The log's Retry-After has a resolution of whole seconds and is capped at the
// maximum window.
func (w *Writer) retryDelay(v *verdict.Error, backoff time.Duration) time.Duration {
	least := max(min(v.RetryAfter, w.maxWindow), backoff)
	return least/2 + rand.N(least/2+1)
}

// nextBatch forms a batch from the head of the queue.
func (w *Writer) nextBatch() (*journalv1.Batch, []*entry) {
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

// appendOnce makes one attempt to append a batch.
func (w *Writer) appendOnce(data []byte) (int64, error) {
	if err := failpoint.Hit("journal.append.before"); err != nil {
		return 0, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonPlatformUnavailable, 0, "%v", err)
	}
	w.limiter.recordAppend(time.Now(), w.window())
	offset, err := w.log.Append(w.ctx, w.stream, [][]byte{data})
	if hit := failpoint.Hit("journal.append.after"); hit != nil && err == nil {
		return 0, verdict.Fail(http.StatusGatewayTimeout, verdict.ReasonPlatformUnavailable, "%v", hit)
	}
	return offset, err
}

func (w *Writer) onSuccess(entries []*entry, offset int64) {
	invariant.Check(offset > w.lastOffset, "journal.offsets_rise", "stream", w.stream, "offset", offset, "last", w.lastOffset)
	invariant.Check(w.sequence > w.committed, "journal.sequence_rises", "stream", w.stream, "sequence", w.sequence, "last", w.committed)
	w.committed = w.sequence
	w.lastOffset = max(w.lastOffset, offset)
	w.failingSince = time.Time{}
	w.rateLimitPenalty /= 2
	w.metrics.batchRecords.WithLabelValues(w.stream).Observe(float64(len(entries)))
	w.metrics.lag.WithLabelValues(w.stream).Set(0)
	now := time.Now()
	for _, e := range entries {
		w.metrics.latency.WithLabelValues(w.stream).Observe(now.Sub(e.queuedAt).Seconds())
	}
	w.completeBatch(entries, result{position: Position{Offset: offset}})
}

// completeBatch removes the current batch from the queue and sends the results to the waiting callers.
func (w *Writer) completeBatch(entries []*entry, r result) {
	w.mu.Lock()
	clear(w.queue[:w.inFlight])
	w.queue = w.queue[w.inFlight:]
	w.inFlight = 0
	for _, e := range entries {
		w.bytes -= e.size
	}
	if r.err == nil {
		w.unavailable = false
	}
	w.metrics.pending.WithLabelValues(w.stream).Set(float64(len(w.queue)))
	if w.closed && len(w.queue) == 0 {
		close(w.drained)
	}
	w.mu.Unlock()
	for i, e := range entries {
		e.complete(result{position: Position{Offset: r.position.Offset, Index: i}, err: r.err})
	}
}

// onFailure records a failed attempt. If attempts have failed for long enough, it marks the log as unavailable and
// releases all waiting callers with ErrNotDurable.
func (w *Writer) onFailure(v *verdict.Error, oldest time.Time) {
	now := time.Now()
	w.metrics.retries.WithLabelValues(w.stream, string(v.Reason)+"/"+v.Verdict.String()).Inc()
	w.metrics.lag.WithLabelValues(w.stream).Set(now.Sub(oldest).Seconds())
	if v.Reason == verdict.ReasonRateLimited {
		w.rateLimitPenalty = min(w.maxWindow, max(w.backoffMin, 2*w.rateLimitPenalty))
	}
	if w.failingSince.IsZero() {
		w.failingSince = now
	}
	if now.Sub(w.failingSince) < w.unavailableAfter {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unavailable = true
	for _, e := range w.queue {
		e.complete(result{err: ErrNotDurable})
	}
}
