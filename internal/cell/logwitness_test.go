package cell

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/verdict"
)

// memoryLog is a log in memory that can be made unavailable.
type memoryLog struct {
	mu          sync.Mutex
	unavailable bool
	records     []Record
}

var errLogUnavailable = errors.New("log is unavailable")

func (l *memoryLog) setUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
}

func (l *memoryLog) Append(_ context.Context, _ string, records [][]byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return 0, errLogUnavailable
	}
	first := int64(len(l.records))
	for _, data := range records {
		l.records = append(l.records, Record{Offset: int64(len(l.records)), Data: data})
	}
	return first, nil
}

func (l *memoryLog) Read(_ context.Context, _ string, from int64, max int, _ time.Duration) (first, end int64, recs []Record, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return 0, 0, nil, errLogUnavailable
	}
	end = int64(len(l.records))
	if from < end {
		recs = append(recs, l.records[from:min(end, from+int64(max))]...)
	}
	return 0, end, recs, nil
}

func newTwoSlots(t *testing.T) (*testCell, *memoryLog) {
	log := &memoryLog{}
	cfg := testConfig(2)
	c := newTestCell(t, cfg, func(slot int) Option {
		local := cfg
		local.Slot = slot
		return WithWitness(NewLogWitness(local, log))
	})
	return c, log
}

func TestTwoSlotsSurviveACrashWithTheWitness(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, log := newTwoSlots(t)
	c.awaitReady()
	_, err := c.slots[1].Claim(ctx, "before")
	is.NoErr(err)
	before, _ := c.slots[1].HeldGrant(1)
	c.slots[1].kill()
	took := c.eventually("slot 0 takes over shard 1", c.holds(0, 1))
	t.Logf("taken over after %v", took)
	is.True(c.holds(0, 0)())
	after, _ := c.slots[0].HeldGrant(1)
	is.True(after.Term > before.Term)
	_, err = c.slots[0].Claim(ctx, "after")
	is.NoErr(err)
	_, err = c.slots[0].Claim(ctx, "before")
	is.Equal(verdict.From(err).Reason, verdict.ReasonDuplicate)
	log.setUnavailable(true)
	c.eventually("slot 0 alone holds no shard", func() bool { return !c.holds(0, 0)() && !c.holds(0, 1)() })
	_, err = c.slots[0].Claim(ctx, "alone")
	is.Equal(verdict.From(err).Verdict, verdict.NotRun)
}

func TestTwoSlotsSurviveAnOutageOfTheWitness(t *testing.T) {
	is := is.New(t)
	c, log := newTwoSlots(t)
	log.setUnavailable(true)
	c.awaitReady()
	_, err := c.slots[0].Claim(context.Background(), "a")
	is.NoErr(err)
	_, err = c.slots[1].Claim(context.Background(), "a")
	is.Equal(verdict.From(err).Reason, verdict.ReasonDuplicate)
}
