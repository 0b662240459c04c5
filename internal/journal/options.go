package journal

import (
	"time"
)

const (
	defaultMaxBatchRecords  = 2000
	defaultMaxBatchBytes    = 512 << 10
	defaultBufferRecords    = 100_000
	defaultBufferBytes      = 64 << 20
	defaultUnavailableAfter = time.Second
	defaultMaxWindow        = 500 * time.Millisecond
	defaultBackoffMin       = 10 * time.Millisecond
	defaultBackoffMax       = time.Second
	defaultReadMax          = 500
	defaultReadWait         = time.Second
	// idleTimeout is the timer duration of a writer without pending records; a new record wakes it earlier.
	idleTimeout = time.Hour
)

// WriterOption configures a Writer.
type WriterOption func(*Writer)

// WithAppendBudget sets the total appends per second of all writers of the log. The commit window of each writer is the
// number of writers divided by the budget; see Writer.SetWriterCount. Without a budget the window is zero.
func WithAppendBudget(perSecond float64) WriterOption {
	return func(w *Writer) { w.budget = perSecond }
}

// WithMaxWindow sets the maximum commit window.
func WithMaxWindow(d time.Duration) WriterOption { return func(w *Writer) { w.maxWindow = d } }

// WithBuffer sets the maximum number and total size in bytes of pending records.
func WithBuffer(records, bytes int) WriterOption {
	return func(w *Writer) { w.bufferRecords, w.bufferBytes = records, bytes }
}

// WithMaxBatch sets the maximum number of records and bytes in a batch.
func WithMaxBatch(records, bytes int) WriterOption {
	return func(w *Writer) { w.batchRecords, w.batchBytes = min(records, 1<<indexBits), bytes }
}

// WithUnavailableAfter sets for how long appends must fail before the writer considers the log unavailable, so that
// Append returns ErrNotDurable without waiting.
func WithUnavailableAfter(d time.Duration) WriterOption {
	return func(w *Writer) { w.unavailableAfter = d }
}

// WithBackoff sets the exponential backoff between attempts of an append, which doubles from least to most.
func WithBackoff(least, most time.Duration) WriterOption {
	return func(w *Writer) { w.backoffMin, w.backoffMax = least, most }
}

// WithMetrics shares metrics between writers.
func WithMetrics(m *Metrics) WriterOption { return func(w *Writer) { w.metrics = m } }

// ReaderOption configures a Reader.
type ReaderOption func(*Reader)

// FromOffset sets the first offset to read. The default is 0: everything that the log retains.
func FromOffset(offset int64) ReaderOption { return func(r *Reader) { r.next = offset } }

// WithPageSize sets the maximum number of batches of one read and its long-poll timeout.
func WithPageSize(batches int, wait time.Duration) ReaderOption {
	return func(r *Reader) { r.pageMax, r.pageWait = batches, wait }
}

// WithReadBackoff sets the exponential backoff between failed reads, which doubles from least to most.
func WithReadBackoff(least, most time.Duration) ReaderOption {
	return func(r *Reader) { r.backoffMin, r.backoffMax = least, most }
}

// WithReaderMetrics shares metrics between readers.
func WithReaderMetrics(m *Metrics) ReaderOption { return func(r *Reader) { r.metrics = m } }

// WithBurst sets the number of appends that may start without delay after an idle time. The mean rate stays the same.
func WithBurst(n int) WriterOption { return func(w *Writer) { w.burst = n } }

// WithAppendLimiter makes the writer share a rate limiter with other writers.
func WithAppendLimiter(p *AppendLimiter) WriterOption { return func(w *Writer) { w.limiter = p } }

// WithLinger sets the linger time: for how long a record that no caller waits for is delayed to be batched with
// others.
func WithLinger(d time.Duration) WriterOption { return func(w *Writer) { w.linger = d } }

// WithMinReadInterval sets the minimum interval between two reads of the stream while no caller waits for the reader,
// so that a busy stream is read in a few large pages.
func WithMinReadInterval(d time.Duration) ReaderOption { return func(r *Reader) { r.minInterval = d } }
