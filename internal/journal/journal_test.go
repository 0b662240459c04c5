package journal

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	journalv1 "github.com/berylpond/berylpond/api/journal/v1"
	"github.com/berylpond/berylpond/internal/failpoint"
	"github.com/berylpond/berylpond/internal/invariant"
)

func TestMain(m *testing.M) {
	invariant.PanicOnViolation(true)
	m.Run()
}

// collector is a Handler that records its calls.
type collector struct {
	mu      sync.Mutex
	keys    []string
	offsets []int64
	gaps    []Gap
}

func (c *collector) Apply(p Position, rec *journalv1.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys = append(c.keys, rec.GetKey())
	c.offsets = append(c.offsets, p.Offset)
}

func (c *collector) Gap(g Gap) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gaps = append(c.gaps, g)
}

func (c *collector) inGap(offset int64) bool {
	for _, g := range c.gaps {
		if offset >= g.From && offset < g.To {
			return true
		}
	}
	return false
}

// scenario is one run of writers and a reader against a faulty log.
type scenario struct {
	Plan      []appendFault
	ReadFails []bool
	Keep      int
	// Incarnations holds, for each writer, the number of records that each of its incarnations appends before it is
	// killed.
	Incarnations [][]int
}

func drawScenario(t *rapid.T) scenario {
	fault := rapid.Custom(func(t *rapid.T) appendFault {
		return appendFault(rapid.IntRange(0, int(appendFaults)-1).Draw(t, "fault"))
	})
	return scenario{
		Plan:         rapid.SliceOfN(fault, 0, 40).Draw(t, "plan"),
		ReadFails:    rapid.SliceOfN(rapid.Bool(), 0, 20).Draw(t, "readFails"),
		Keep:         rapid.SampledFrom([]int{0, 0, 2, 5}).Draw(t, "keep"),
		Incarnations: rapid.SliceOfN(rapid.SliceOfN(rapid.IntRange(1, 12), 1, 3), 1, 3).Draw(t, "lives"),
	}
}

// history holds the keys of the records that writers sent, and of those that they know to be durable.
type history struct {
	mu    sync.Mutex
	sent  map[string]bool
	acked map[string]bool
}

func (h *history) mark(m map[string]bool, key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m[key] = true
}

// write runs the incarnations of one writer in sequence. Every second record is queued without waiting. All
// incarnations but the last are killed; the last one is drained.
func (h *history) write(log Log, instance string, incarnations []int) error {
	for incarnation, records := range incarnations {
		w := NewWriter(log, "s", WriterID{instance, uint64(incarnation)}, WithBackoff(time.Millisecond, 8*time.Millisecond), WithMaxBatch(3, 1<<20))
		var queued []string
		for n := range records {
			rec := &journalv1.Record{Key: fmt.Sprintf("%s/%d/%03d", instance, incarnation, n)}
			h.mark(h.sent, rec.Key)
			if n%2 == 1 {
				if err := w.Enqueue(rec); err != nil {
					return err
				}
				queued = append(queued, rec.Key)
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			if _, err := w.Append(ctx, rec); err == nil {
				h.mark(h.acked, rec.Key)
			} else if !errors.Is(err, ErrNotDurable) {
				cancel()
				return err
			}
			cancel()
		}
		if incarnation == len(incarnations)-1 {
			if err := w.Drain(context.Background()); err != nil {
				return err
			}
			for _, key := range queued {
				h.mark(h.acked, key)
			}
		}
		w.Close()
	}
	return nil
}

// run runs the scenario. It returns an error if what the reader applied is inconsistent with what was written.
func (s scenario) run() error {
	log := &memLog{plan: s.Plan, readFails: s.ReadFails, retain: s.Keep}
	h := &history{sent: map[string]bool{}, acked: map[string]bool{}}
	c := &collector{}
	r := NewReader(log, "s", c, WithPageSize(2, 10*time.Millisecond),
		WithReadBackoff(time.Millisecond, 4*time.Millisecond))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- r.Run(ctx) }()
	failed := make([]error, len(s.Incarnations))
	var wg sync.WaitGroup
	for i, incarnations := range s.Incarnations {
		wg.Go(func() { failed[i] = h.write(log, fmt.Sprintf("w%d", i), incarnations) })
	}
	wg.Wait()
	if end := log.end(); end > 0 {
		if err := r.WaitFor(ctx, end-1); err != nil {
			return err
		}
	}
	cancel()
	if err := <-stopped; !errors.Is(err, context.Canceled) {
		return err
	}
	if err := errors.Join(failed...); err != nil {
		return err
	}
	return check(log, h, c)
}

func check(log *memLog, h *history, c *collector) error {
	read := map[string]bool{}
	last := map[string]string{}
	for _, key := range c.keys {
		if read[key] {
			return errors.Newf("%s was read twice", key)
		}
		if !h.sent[key] {
			return errors.Newf("%s was never sent", key)
		}
		read[key] = true
		incarnation := key[:len(key)-len("/000")]
		if key < last[incarnation] {
			return errors.Newf("%s was read after %s", key, last[incarnation])
		}
		last[incarnation] = key
	}
	places, err := offsetsOf(log)
	if err != nil {
		return err
	}
	for key := range h.acked {
		if len(places[key]) == 0 {
			return errors.Newf("%s was acknowledged and is not in the log", key)
		}
		if !read[key] && !c.inGap(places[key][0]) {
			return errors.Newf("%s was acknowledged, not read, and not in a gap", key)
		}
	}
	return nil
}

// offsetsOf returns the offsets of each key in the log.
func offsetsOf(log *memLog) (map[string][]int64, error) {
	places := map[string][]int64{}
	for offset, data := range log.history {
		batch := &journalv1.Batch{}
		if err := proto.Unmarshal(data, batch); err != nil {
			return nil, err
		}
		for _, rec := range batch.GetRecords() {
			places[rec.GetKey()] = append(places[rec.GetKey()], int64(offset))
		}
	}
	return places, nil
}

// TestAcknowledgedRecordsAreReadOnce runs writers with restarts and a reader against a log with lost responses,
// outages, duplicate and late appends, and expiry. It guards against acknowledged records that are lost, applied twice
// or applied out of order.
func TestAcknowledgedRecordsAreReadOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var err error
		synctest.Test(t, func(*testing.T) { err = s.run() })
		if err != nil {
			rt.Fatalf("%+v: %v", s, err)
		}
	})
}

func TestLostResponseDoesNotDuplicateRecords(t *testing.T) {
	for name, plan := range map[string][]appendFault{
		"lost":             {appendLost},
		"repeated":         {appendTwice},
		"late":             {appendLate, appendOK, appendOK, appendOK},
		"lost then outage": {appendLost, appendOutage, appendLost},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				is.NoErr(scenario{Plan: plan, Incarnations: [][]int{{9}}}.run())
			})
		})
	}
}

func TestExpiredOffsetsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &memLog{retain: 2}
		w := NewWriter(log, "s", WriterID{"w", 1})
		defer w.Close()
		for i := range 5 {
			_, err := w.Append(t.Context(), &journalv1.Record{Key: fmt.Sprint(i)})
			is.NoErr(err)
		}
		c := &collector{}
		r := NewReader(log, "s", c, FromOffset(1))
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan error, 1)
		go func() { stopped <- r.Run(ctx) }()
		is.NoErr(r.WaitFor(ctx, 4))
		is.True(r.CaughtUp())
		cancel()
		is.True(errors.Is(<-stopped, context.Canceled))
		is.Equal(c.gaps, []Gap{{From: 1, To: 3, AtStart: true}})
		is.Equal(c.keys, []string{"3", "4"})
	})
}

func TestTruncatedStreamStopsTheReader(t *testing.T) {
	invariant.PanicOnViolation(false)
	defer invariant.PanicOnViolation(true)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &memLog{}
		w := NewWriter(log, "s", WriterID{"w", 1})
		defer w.Close()
		_, err := w.Append(t.Context(), &journalv1.Record{Key: "a"})
		is.NoErr(err)
		r := NewReader(log, "s", &collector{})
		stopped := make(chan error, 1)
		go func() { stopped <- r.Run(t.Context()) }()
		is.NoErr(r.WaitFor(t.Context(), 0))
		log.mu.Lock()
		log.history = nil
		log.mu.Unlock()
		is.True(errors.Is(<-stopped, ErrStreamTruncated))
	})
}

func TestAppendDoesNotWaitForUnavailableLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &memLog{plan: repeat(appendOutage, 100)}
		w := NewWriter(log, "s", WriterID{"w", 1}, WithUnavailableAfter(50*time.Millisecond), WithBuffer(2, 1<<20))
		defer w.Close()
		_, err := w.Append(t.Context(), &journalv1.Record{Key: "a"})
		is.True(errors.Is(err, ErrNotDurable))
		is.True(w.Unavailable())
		before := time.Now()
		_, err = w.Append(t.Context(), &journalv1.Record{Key: "b"})
		is.True(errors.Is(err, ErrNotDurable))
		is.Equal(time.Since(before), time.Duration(0)) // no wait while the log is unavailable
		is.True(errors.Is(w.Enqueue(&journalv1.Record{Key: "c"}), ErrBufferFull))
		is.Equal(w.Pending(), 2)
		is.NoErr(w.Drain(t.Context()))
		is.Equal(w.Pending(), 0)
		is.True(!w.Unavailable())
		is.True(errors.Is(w.Enqueue(&journalv1.Record{Key: "d"}), ErrClosed))
		places, err := offsetsOf(log)
		is.NoErr(err)
		is.Equal(len(places), 2) // a and b
	})
}

func TestDrainReportsPendingRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := NewWriter(&memLog{plan: repeat(appendOutage, 50)}, "s", WriterID{"w", 1})
		is.NoErr(w.Enqueue(&journalv1.Record{Key: "a"}))
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		is.True(errors.Is(w.Drain(ctx), ErrNotDurable))
		w.Close()
	})
}

func repeat(f appendFault, n int) []appendFault {
	plan := make([]appendFault, n)
	for i := range plan {
		plan[i] = f
	}
	return plan
}

func TestWindowGrowsWithWritersAndFirstAppendIsImmediate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &memLog{}
		w := NewWriter(log, "s", WriterID{"w", 1}, WithAppendBudget(100))
		defer w.Close()
		w.SetWriterCount(10)
		time.Sleep(time.Second)
		start := time.Now()
		_, err := w.Append(t.Context(), &journalv1.Record{Key: "a"})
		is.NoErr(err)
		is.Equal(time.Since(start), memLatency) // idle: no delay
		for i := range 20 {
			is.NoErr(w.Enqueue(&journalv1.Record{Key: fmt.Sprint(i)}))
		}
		_, err = w.Append(t.Context(), &journalv1.Record{Key: "b"})
		is.NoErr(err)
		is.Equal(time.Since(start), 100*time.Millisecond+memLatency) // one window: 10 writers / 100 appends per second
		is.Equal(log.end(), int64(2))
	})
}

func TestFailpointsOfAppend(t *testing.T) {
	for _, point := range []string{"journal.append.before", "journal.append.after"} {
		t.Run(point, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				failpoint.Enable(point, failpoint.Action{Kind: "error", Times: 2})
				defer failpoint.Disable(point)
				is.NoErr(scenario{Incarnations: [][]int{{3}}}.run())
			})
		})
	}
}

func TestRepublishedCopyNeverOverridesNewerVersion(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	r := NewRepublisher(time.Hour, 0.5)
	original := &journalv1.Record{Kind: "k", Key: "a", UnixMs: now.UnixMilli(), Payload: []byte("1")}
	is.True(r.Observe(Position{Offset: 3, Index: 1}, original))
	is.Equal(len(r.Due(now.Add(29*time.Minute))), 0)
	now = now.Add(31 * time.Minute)
	due := r.Due(now)
	is.Equal(len(due), 1)
	edit := &journalv1.Record{Kind: "k", Key: "a", UnixMs: now.UnixMilli(), Payload: []byte("2")}
	is.True(r.Observe(Position{Offset: 8}, edit))
	is.True(!r.Observe(Position{Offset: 9}, due[0])) // the copy is later in the log, but has an older version
	is.Equal(string(r.live[RecordKey{"k", "a"}].rec.Payload), "2")

	r.Remove(now, "k", "a")
	is.True(!r.Observe(Position{Offset: 10}, due[0])) // a copy doesn't restore a removed record
	is.Equal(r.Len(), 0)

	fresh := NewRepublisher(time.Hour, 0.5)
	is.True(fresh.Observe(Position{Offset: 9}, due[0]))   // a reader that starts after the original expired
	is.True(!fresh.Observe(Position{Offset: 12}, due[0])) // and its second copy
	is.Equal(len(fresh.Due(now.Add(29*time.Minute))), 0)
	is.Equal(fresh.Due(now.Add(31 * time.Minute))[0].Version, due[0].Version)
}
