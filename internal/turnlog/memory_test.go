package turnlog

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

// stubMemory counts what is kept, up to a limit.
type stubMemory struct {
	kept  atomic.Int64
	limit int64
}

func (m *stubMemory) Keep(n int64) { m.kept.Add(n) }
func (m *stubMemory) IsFull() bool { return m.kept.Load() >= m.limit }

// Load pattern: turns with long outputs end one after the other, faster than they expire.
func TestOwnerBeginsNoTurnsWithoutMemory(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	o := s.owner("one", stubFinder{})
	o.Assign(nil)
	m := &stubMemory{limit: 10_000}
	o.Memory = m
	var later atomic.Int64
	o.now = func() time.Time { return time.Now().Add(time.Duration(later.Load())) }
	o.Assign([]int{0})
	for !owns(o) {
		time.Sleep(time.Millisecond)
	}
	for _, turn := range []string{"t1", "t2"} {
		mustBegin(t, o, begin(turn, "", 1000, 100))
		mustEnd(t, o, end(turn, "", "in", string(make([]byte, 5000)), 10))
	}
	is.True(m.kept.Load() >= 10_000)
	resp, err := o.Begin(t.Context(), begin("t3", "", 1000, 100))
	is.NoErr(err)
	is.Equal(resp.Outcome, turnv1.Outcome_OUTCOME_UNAVAILABLE)

	// Turns that have expired are no longer counted.
	later.Store(int64(2 * time.Minute))
	o.partition(0).trim(t.Context())
	is.Equal(m.kept.Load(), int64(0))
	mustBegin(t, o, begin("t4", "", 1000, 100))
	mustEnd(t, o, end("t4", "", "in", "out\n", 10))

	// The next owner counts what it reads, and one that releases its partition nothing.
	next := s.owner("two", stubFinder{})
	next.Assign(nil)
	o.Assign(nil)
	is.Equal(m.kept.Load(), int64(0))
}
