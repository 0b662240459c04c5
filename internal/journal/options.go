package journal

import (
	"time"
)

const (
	defaultMaxBatchRecords = 2000
	defaultMaxBatchBytes   = 512 << 10
	defaultBufferRecords   = 100_000
	defaultBufferBytes     = 64 << 20
	defaultAwayAfter       = time.Second
	defaultMaxWindow       = 500 * time.Millisecond
	defaultBackoffMin      = 10 * time.Millisecond
	defaultBackoffMax      = time.Second
	defaultReadMax         = 500
	defaultReadWait        = time.Second
	// idleWait is how long a writer without records sleeps unless it is woken.
	idleWait = time.Hour
)

// WriterOption changes a Writer under construction.
type WriterOption func(*Writer)

// WithAppendBudget sets the appends per second of all writers of the log together. The commit window of each is the
// number of writers over the budget; see Writer.SetWriters. Without it the window is zero.
func WithAppendBudget(perSecond float64) WriterOption {
	return func(w *Writer) { w.budget = perSecond }
}

// WithMaxWindow bounds the commit window.
func WithMaxWindow(d time.Duration) WriterOption { return func(w *Writer) { w.maxWindow = d } }

// WithBuffer bounds what is queued.
func WithBuffer(records, bytes int) WriterOption {
	return func(w *Writer) { w.bufferRecords, w.bufferBytes = records, bytes }
}

// WithMaxBatch bounds a batch.
func WithMaxBatch(records, bytes int) WriterOption {
	return func(w *Writer) { w.batchRecords, w.batchBytes = min(records, 1<<maxIndexBits), bytes }
}

// WithAwayAfter sets how long appends have to fail until the log counts as away and Append no longer waits for it.
func WithAwayAfter(d time.Duration) WriterOption { return func(w *Writer) { w.awayAfter = d } }

// WithBackoff sets the pauses between attempts at an append: they double from least to most.
func WithBackoff(least, most time.Duration) WriterOption {
	return func(w *Writer) { w.backoffMin, w.backoffMax = least, most }
}

// WithMetrics shares metrics between writers.
func WithMetrics(m *Metrics) WriterOption { return func(w *Writer) { w.metrics = m } }

// ReaderOption changes a Reader under construction.
type ReaderOption func(*Reader)

// From sets the first offset to read. The default is 0: everything that is kept.
func From(offset int64) ReaderOption { return func(r *Reader) { r.next = offset } }

// WithPage sets how many batches are read at a time and how long a read waits for the first.
func WithPage(batches int, wait time.Duration) ReaderOption {
	return func(r *Reader) { r.pageMax, r.pageWait = batches, wait }
}

// WithReadBackoff sets the pauses between attempts at a read: they double from least to most.
func WithReadBackoff(least, most time.Duration) ReaderOption {
	return func(r *Reader) { r.backoffMin, r.backoffMax = least, most }
}

// WithReaderMetrics shares metrics between readers.
func WithReaderMetrics(m *Metrics) ReaderOption { return func(r *Reader) { r.metrics = m } }

// WithBurst sets the number of appends that may go at once after an idle time; the mean pace stays.
func WithBurst(n int) WriterOption { return func(w *Writer) { w.burst = n } }

// WithSharedPace makes the writer keep one pace with others.
func WithSharedPace(p *Pace) WriterOption { return func(w *Writer) { w.pace = p } }

// WithLazyDelay sets how long a record that nobody waits for is held back to go with others.
func WithLazyDelay(d time.Duration) WriterOption { return func(w *Writer) { w.lazyDelay = d } }

// WithPace sets the least time between two reads of the stream while nobody waits for the reader, so that a busy stream
// is read in few pages.
func WithPace(d time.Duration) ReaderOption { return func(r *Reader) { r.pace = d } }
