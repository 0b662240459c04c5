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
	// linesPerSecond and lineBurst bound the log under load; an incident's first seconds are kept whole.
	linesPerSecond = 400
	lineBurst      = 2000
	// queuedLines wait for a reader of the log that is slow.
	queuedLines = 1024
	// reportEvery is the pause between two lines about dropped ones.
	reportEvery = time.Second
)

// Bounded passes log lines on to another writer without ever blocking: lines over the rate, and those that come while
// the writer is behind, are dropped and counted.
type Bounded struct {
	out     io.Writer
	limit   *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.RWMutex
	closed bool
}

// NewBounded returns a writer that passes lines on to out until it is closed.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{
		out: out, limit: rate.NewLimiter(linesPerSecond, lineBurst), lines: make(chan []byte, queuedLines), done: make(chan struct{}),
	}
	go b.run()
	return b
}

// Write implements io.Writer. It takes one line and never fails.
func (b *Bounded) Write(line []byte) (int, error) {
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

func (b *Bounded) run() {
	defer close(b.done)
	report := time.NewTicker(reportEvery)
	defer report.Stop()
	for {
		select {
		case line, open := <-b.lines:
			if !open {
				b.report()
				return
			}
			// There is nowhere to tell of a log that can't be written.
			_, _ = b.out.Write(line)
		case <-report.C:
			b.report()
		}
	}
}

func (b *Bounded) report() {
	if n := b.dropped.Swap(0); n > 0 {
		fmt.Fprintf(b.out, `{"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", n)
	}
}

// Close writes what is queued. Lines that come later are dropped.
func (b *Bounded) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	<-b.done
}
