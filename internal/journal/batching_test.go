package journal

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	journalv1 "github.com/berylpond/berylpond/api/journal/v1"
	"github.com/berylpond/berylpond/internal/platformclient"
)

// countingLog accepts every append without delay and counts appends and reads.
type countingLog struct {
	mu             sync.Mutex
	records        []platformclient.Record
	appends, reads int
	grown          chan struct{}
}

func (l *countingLog) Append(_ context.Context, _ string, records [][]byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := int64(len(l.records))
	for _, r := range records {
		l.records = append(l.records, platformclient.Record{Offset: int64(len(l.records)), Data: r})
	}
	l.appends++
	close(l.grown)
	l.grown = make(chan struct{})
	return first, nil
}

func (l *countingLog) Read(ctx context.Context, _ string, from int64, _ int, wait time.Duration) (platformclient.Page, error) {
	l.mu.Lock()
	l.reads++
	grown, n := l.grown, int64(len(l.records))
	l.mu.Unlock()
	if from >= n {
		select {
		case <-grown:
		case <-time.After(wait):
		case <-ctx.Done():
			return platformclient.Page{}, ctx.Err()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return platformclient.Page{End: int64(len(l.records)),
		Records: append([]platformclient.Record(nil), l.records[from:]...)}, nil
}

// counts returns the appends and reads so far.
func (l *countingLog) counts() (appends, reads int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.reads
}

type discard struct{}

func (discard) Apply(Position, *journalv1.Record) {}
func (discard) Gap(Gap)                           {}

func appends(l *countingLog) int {
	n, _ := l.counts()
	return n
}

// TestLingeringRecordsAreBatched checks that records without a waiting caller are appended with the next record that a
// caller waits for, or else after the linger time.
func TestLingeringRecordsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &countingLog{grown: make(chan struct{})}
		w := NewWriter(log, "s", WriterID{Instance: "a", Incarnation: 1}, WithLinger(20*time.Millisecond))
		defer w.Close()
		for i := range 5 {
			is.NoErr(w.Enqueue(&journalv1.Record{Key: fmt.Sprint(i)}))
		}
		time.Sleep(10 * time.Millisecond)
		is.Equal(appends(log), 0)
		_, err := w.Append(context.Background(), &journalv1.Record{Key: "awaited"})
		is.NoErr(err)
		is.Equal(appends(log), 1)
		is.Equal(w.Pending(), 0)
		is.NoErr(w.Enqueue(&journalv1.Record{Key: "alone"}))
		time.Sleep(25 * time.Millisecond)
		is.Equal(appends(log), 2)
		is.NoErr(w.Enqueue(&journalv1.Record{Key: "last"}))
		is.NoErr(w.Drain(context.Background())) // does not wait for the delay
	})
}

// TestReadIntervalLimitsReads checks that a busy stream is read at the minimum interval, and without delay when a
// caller waits.
func TestReadIntervalLimitsReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &countingLog{grown: make(chan struct{})}
		r := NewReader(log, "s", discard{}, WithMinReadInterval(50*time.Millisecond))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			_ = r.Run(ctx)
			close(done)
		}()
		for range 100 {
			_, _ = log.Append(ctx, "s", [][]byte{nil})
			time.Sleep(time.Millisecond)
		}
		_, reads := log.counts()
		is.True(reads <= 4) // 100 ms at a minimum interval of 50 ms
		begun := time.Now()
		is.NoErr(r.WaitFor(ctx, 99))
		is.Equal(time.Since(begun), time.Duration(0))
		cancel()
		<-done
	})
}

// TestBurstKeepsMeanAppendRate checks that a burst of appends starts without delay after an idle time, and that the
// mean rate holds over any longer time.
func TestBurstKeepsMeanAppendRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const burst = 4
		log := &countingLog{grown: make(chan struct{})}
		w := NewWriter(log, "s", WriterID{Instance: "a", Incarnation: 1}, WithAppendBudget(10), WithBurst(burst))
		defer w.Close()
		appendOne := func() {
			_, err := w.Append(context.Background(), &journalv1.Record{})
			is.NoErr(err)
		}
		begun := time.Now()
		for range burst {
			appendOne()
		}
		is.Equal(time.Since(begun), time.Duration(0))
		for range 20 {
			appendOne()
		}
		is.True(time.Since(begun) >= 19*100*time.Millisecond) // 24 appends: a burst of 4, then 10 per second
		time.Sleep(time.Minute)
		idle := time.Now()
		for range burst {
			appendOne()
		}
		is.Equal(time.Since(idle), time.Duration(0)) // an idle time allows at most one burst
		appendOne()
		is.True(time.Since(idle) > 0)
	})
}

// TestSharedLimiterCoversAllWriters checks that two writers with a shared limiter together stay within one share of the
// append budget.
func TestSharedLimiterCoversAllWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &countingLog{grown: make(chan struct{})}
		limiter := NewAppendLimiter()
		var writers []*Writer
		for _, stream := range []string{"a", "b"} {
			w := NewWriter(log, stream, WriterID{Instance: stream, Incarnation: 1}, WithAppendBudget(10),
				WithAppendLimiter(limiter))
			defer w.Close()
			writers = append(writers, w)
		}
		begun := time.Now()
		var appending sync.WaitGroup
		for _, w := range writers {
			appending.Go(func() {
				for range 10 {
					_, _ = w.Append(context.Background(), &journalv1.Record{})
				}
			})
		}
		appending.Wait()
		is.Equal(appends(log), 20)
		is.True(time.Since(begun) >= 18*100*time.Millisecond) // two writers may start at the same time
	})
}
