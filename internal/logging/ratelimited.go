package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and lineBurst limit the log under load. The burst is large enough to keep all lines of the first
	// seconds of an incident.
	linesPerSecond = 400
	lineBurst      = 2000
	// bufferedLines is the number of lines that are buffered while the log's reader is slow.
	bufferedLines = 1024
	// reportInterval is the interval between reports of dropped lines.
	reportInterval = time.Second
)

// RateLimitedWriter forwards log lines to another writer without blocking. Lines that exceed the rate limit or find the
// buffer full are dropped and counted.
type RateLimitedWriter struct {
	out     io.Writer
	limit   *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.RWMutex
	closed bool
}

// NewRateLimitedWriter returns a writer that forwards lines to out until it is closed.
func NewRateLimitedWriter(out io.Writer) *RateLimitedWriter {
	b := &RateLimitedWriter{
		out: out, limit: rate.NewLimiter(linesPerSecond, lineBurst), lines: make(chan []byte, bufferedLines), done: make(chan struct{}),
	}
	go b.forward()
	return b
}

// Write implements io.Writer. It expects one line and never returns an error.
func (b *RateLimitedWriter) Write(line []byte) (int, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.closed || !b.limit.Allow() {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

func (b *RateLimitedWriter) forward() {
	defer close(b.done)
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		select {
		case line, open := <-b.lines:
			if !open {
				b.report()
				return
			}
			// An error in writing the log can't be logged.
			_, _ = b.out.Write(line)
		case <-report.C:
			b.report()
		}
	}
}

func (b *RateLimitedWriter) report() {
	if n := b.dropped.Swap(0); n > 0 {
		fmt.Fprintf(b.out, `{"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", n)
	}
}

// Close writes the buffered lines. Later lines are dropped.
func (b *RateLimitedWriter) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	<-b.done
}
