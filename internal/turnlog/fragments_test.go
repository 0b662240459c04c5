package turnlog

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/fakes/metastore"
)

// Guards against turns that run and then can't be recorded because their input exceeds a record of the store.
func TestTurnWithAnInputOverARecordIsRecorded(t *testing.T) {
	for _, size := range []int{maxRecordBytes, 3 * maxRecordBytes, maxAppendBytes, 4 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			s := newFixture(t)
			o := s.owner("one", stubFinder{})
			input := string(bytes.Repeat([]byte("0123456789abcdef"), size/16))
			mustBegin(t, o, begin("t1", "", 1000, 100))
			mustEnd(t, o, end("t1", "", input, "out\n", 50))
			is.True(owns(o)) // the append was not rejected
			mustBegin(t, o, begin("t2", "t1", 1000, 100))
			mustEnd(t, o, end("t2", "t1", "in2", "out2\n", 50))

			next := s.owner("two", stubFinder{})
			history := mustBegin(t, next, begin("t3", "t2", 1000, 100)).History
			is.True(string(history) == input+"out\nin2out2\n")
		})
	}
}

// Guards against records that the store rejects, and with them the partition of all programs, because only the record's change was
// measured and not the name of the writer beside it.
func TestRecordOfAboutTheMaximumSizeIsNotRejected(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	o := s.owner("one", stubFinder{})
	for size := maxRecordBytes - 64; size <= maxRecordBytes; size++ {
		turn := fmt.Sprint("t", size)
		mustBegin(t, o, begin(turn, "", 100_000, 100))
		mustEnd(t, o, end(turn, "", string(make([]byte, size)), "", 1))
		is.True(owns(o))
	}
}

// Guards against programs that can't go on from a long conversation of another program: its history is copied into the record.
func TestTurnThatContinuesALongHistoryOfAnotherProgramIsRecorded(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	o := s.owner("one", stubFinder{})
	want, previous := "", ""
	for i := range 4 {
		turn, input := fmt.Sprint("t", i), string(bytes.Repeat([]byte{byte('a' + i)}, 95_000))
		mustBegin(t, o, begin(turn, previous, 1000, 100))
		mustEnd(t, o, end(turn, previous, input, "out\n", 50))
		want += input + "out\n"
		previous = turn
	}
	o = s.owner("two", stubFinder{})
	r := end("u1", previous, "in", "out\n", 50)
	r.Program, r.Inherited = "q", []byte(want)
	mustEnd(t, o, r)

	next := s.owner("three", stubFinder{})
	found, err := next.Find(t.Context(), &turnv1.FindRequest{Account: "a", Turn: "u1"})
	is.NoErr(err)
	is.True(string(found.History) == want+"inout\n")
}

// Guards the same for a program's own history, which is copied once its oldest record is old.
func TestTurnThatCopiesAnOldLongHistoryIsRecorded(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	o := s.owner("one", stubFinder{})
	long := string(make([]byte, 200_000))
	mustBegin(t, o, begin("t1", "", 1000, 100))
	mustEnd(t, o, end("t1", "", long, "out\n", 50))
	mustBegin(t, o, begin("t2", "t1", 1000, 100))
	mustEnd(t, o, end("t2", "t1", long, "out\n", 50))
	o.now = func() time.Time { return time.Now().Add(inlineAfter) }
	mustBegin(t, o, begin("t3", "t2", 1000, 100))
	mustEnd(t, o, end("t3", "t2", "in", "out\n", 50))

	s.store.Trim(Topic, 0, int64(len(s.store.Records(Topic, 0))-2)) // all but the two fragments of the last record
	next := s.owner("two", stubFinder{})
	history := mustBegin(t, next, begin("t4", "t3", 1000, 100)).History
	is.True(string(history) == long+"out\n"+long+"out\ninout\n")
}

// Guards against partitions that can't be released because a program with many turns in progress has long ids.
func TestManyReservationsWithLongIDsAreHandedOver(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	o := s.owner("one", stubFinder{})
	p := o.partition(0)
	p.mu.Lock()
	p.state.advanceGrants = true
	p.mu.Unlock()
	const turns = 40
	for i := range turns {
		mustBegin(t, o, begin(fmt.Sprintf("%08192d", i), "", 10_000, 100))
	}
	o.Assign(nil)
	next := s.owner("two", stubFinder{})
	is.Equal(mustBegin(t, next, begin("last", "", 10_000, 100)).Outstanding, int64((turns+1)*100))
}

// Guards against turns of which only a fragment of the record is in the log: they did not end, and the next owner must not find them.
func TestRecordOfAnOwnerThatIsReplacedHalfwayHasNoEffect(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	o := s.owner("one", stubFinder{})
	mustBegin(t, o, begin("t1", "", 1000, 100))
	appended := make(chan struct{})
	var large atomic.Int32
	s.store.SetFault(func(r *http.Request) metastore.Mode {
		if r.URL.Path != "/api/log-append" || r.ContentLength < maxRecordBytes {
			return metastore.Serve
		}
		if n := large.Add(1); n == 1 {
			return metastore.Serve
		} else if n == 2 {
			close(appended)
		}
		return metastore.Refuse
	})
	ended := make(chan turnv1.Outcome)
	go func() {
		resp, err := o.End(s.ctx, end("t1", "", string(make([]byte, 2*maxAppendBytes)), "out\n", 50))
		if err != nil {
			t.Error(err)
		}
		ended <- resp.GetOutcome()
	}()
	select {
	case <-appended:
	case <-time.After(5 * time.Second):
		t.Fatal("the record was not stored in several appends")
	}
	next := s.owner("two", stubFinder{})
	s.store.SetFault(nil)
	is.Equal(<-ended, turnv1.Outcome_OUTCOME_NOT_OWNER)
	found, err := next.Find(t.Context(), &turnv1.FindRequest{Account: "a", Turn: "t1"})
	is.NoErr(err)
	is.Equal(found.Outcome, turnv1.Outcome_OUTCOME_NO_SUCH_TURN)
	// A replaced owner that still has the partition takes it back.
	o.Assign(nil)
	next.Assign(nil)
	third := s.owner("three", stubFinder{})
	mustBegin(t, third, begin("t2", "", 1000, 100))
	mustEnd(t, third, end("t2", "", "in", "out\n", 50))
	last := s.owner("four", stubFinder{})
	is.Equal(string(mustBegin(t, last, begin("t3", "t2", 1000, 100)).History), "inout\n")
}

func TestRecordWhoseFirstFragmentsHaveExpiredIsSkipped(t *testing.T) {
	is := is.New(t)
	sizes := newRecordSizes(1000, 2000, "w")
	long := &turnv1.Record{Change: &turnv1.Record_Completed{Completed: &turnv1.Completed{Input: make([]byte, 5000)}}}
	short := &turnv1.Record{Change: &turnv1.Record_Acquired{Acquired: &turnv1.Acquired{}}}
	fragments, err := sizes.split(long)
	is.NoErr(err)
	is.True(len(fragments) > 4)
	whole := 0
	for skipped := range fragments {
		var a assembler
		for _, r := range slices.Concat(fragments[skipped:], []*turnv1.Record{short}, fragments, []*turnv1.Record{short}, fragments[:skipped], fragments) {
			if got := a.add(r); got.GetCompleted() != nil {
				is.Equal(len(got.GetCompleted().Input), 5000)
				whole++
			}
		}
	}
	is.Equal(whole, 2*len(fragments)+1) // the fragments of the first sequence are complete once
}

// Guards against turns that are acknowledged although their record is empty, since it could not be encoded.
func TestRecordThatCannotBeEncodedIsNotAcknowledged(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	o := s.owner("one", stubFinder{})
	mustBegin(t, o, begin("t1", "", 1000, 100))
	resp, err := o.End(t.Context(), end("t1", "\xff", "in", "out\n", 50))
	is.NoErr(err)
	is.True(resp.Outcome != turnv1.Outcome_OUTCOME_OK)
	// Others are not affected.
	mustBegin(t, o, begin("t2", "", 1000, 100))
	mustEnd(t, o, end("t2", "", "in", "out\n", 50))
	is.True(owns(o))
}
