package turnlog

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

// clock is a clock that tests move on.
type clock struct{ ahead atomic.Int64 }

func (c *clock) now() time.Time            { return time.Now().Add(time.Duration(c.ahead.Load())) }
func (c *clock) moveTo(from time.Duration) { c.ahead.Store(int64(from)) }

// ownerAt is like owner, with a clock of the test and no other owners.
func (s *fixture) ownerAt(name string, c *clock) *Owner {
	return s.startOwner(name, stubFinder{}, c.now)
}

// mustEndWith ends a turn as the instance that ran it does: it adds the history before the turn if the owner asks for it.
func mustEndWith(t *testing.T, o *Owner, r *turnv1.EndRequest, history string) {
	t.Helper()
	resp, err := o.End(t.Context(), r)
	if err == nil && resp.Outcome == turnv1.Outcome_OUTCOME_HISTORY_MISSING {
		r.Inherited = []byte(history)
		resp, err = o.End(t.Context(), r)
	}
	if err != nil || resp.Outcome != turnv1.Outcome_OUTCOME_OK {
		t.Fatalf("end of %s: %v %v", r.Turn, resp, err)
	}
}

// Guards against a turn that loses the history before it: it begins at the end of its program's retention, and another instance
// takes the partition over before it ends.
func TestTurnWhosePartitionMovesKeepsItsHistory(t *testing.T) {
	for _, program := range []string{"p", "q"} {
		t.Run("continued in "+program, func(t *testing.T) {
			is := is.New(t)
			s, c := newFixture(t), &clock{}
			one := s.ownerAt("one", c)
			mustBegin(t, one, begin("t1", "", 1000, 100))
			mustEnd(t, one, end("t1", "", "in1", "out1\n", 10))
			c.moveTo(59 * time.Second)
			is.Equal(string(mustBegin(t, one, begin("t2", "t1", 1000, 100)).History), "in1out1\n")
			c.moveTo(66 * time.Second)
			two := s.ownerAt("two", c)
			mustEndWith(t, two, end("t2", "t1", "in2", "out2\n", 10), "in1out1\n")

			next := begin("t3", "t2", 1000, 100)
			next.Program = program
			is.Equal(string(mustBegin(t, two, next).History), "in1out1\nin2out2\n")
			three := s.ownerAt("three", c)
			next.Turn = "t4"
			is.Equal(string(mustBegin(t, three, next).History), "in1out1\nin2out2\n")
		})
	}
}

// Guards against a turn that loses the history before it since the owner forgets its program while it runs.
func TestTurnLongerThanTheRetentionKeepsItsHistory(t *testing.T) {
	is := is.New(t)
	s, c := newFixture(t), &clock{}
	o := s.ownerAt("one", c)
	mustBegin(t, o, begin("t1", "", 1000, 100))
	mustEnd(t, o, end("t1", "", "in1", "out1\n", 10))
	mustBegin(t, o, begin("t2", "t1", 1000, 100))
	c.moveTo(90 * time.Second)
	o.partition(0).trim(t.Context())
	mustEndWith(t, o, end("t2", "t1", "in2", "out2\n", 10), "in1out1\n")
	is.Equal(string(mustBegin(t, o, begin("t3", "t2", 1000, 100)).History), "in1out1\nin2out2\n")
}

// Guards against a turn that continues another program's and loses the history before it, since that program is forgotten first.
func TestTurnOutlivesTheProgramThatItContinues(t *testing.T) {
	is := is.New(t)
	s, c := newFixture(t), &clock{}
	o := s.ownerAt("one", c)
	mustBegin(t, o, begin("t1", "", 1000, 100))
	mustEnd(t, o, end("t1", "", "in1", "out1\n", 10))
	c.moveTo(59 * time.Second)
	b := begin("u1", "t1", 1000, 100)
	b.Program, b.HistoryKnown = "q", true
	begun := mustBegin(t, o, b)
	c.moveTo(70 * time.Second)
	o.partition(0).trim(t.Context())
	e := end("u1", "t1", "in2", "out2\n", 10)
	e.Program = "q"
	if begun.Foreign {
		e.Inherited = begun.History
	}
	mustEnd(t, o, e)
	b = begin("u2", "u1", 1000, 100)
	b.Program = "q"
	is.Equal(string(mustBegin(t, o, b).History), "in1out1\nin2out2\n")
}

// Guards against a record of a turn without the history before it.
func TestTurnIsNotRecordedWithoutItsHistory(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	o := s.owner("one", stubFinder{})
	mustBegin(t, o, begin("t2", "", 1000, 100))
	e := end("t2", "t1", "in2", "out2\n", 10)
	resp, err := o.End(t.Context(), e)
	is.NoErr(err)
	is.Equal(resp.Outcome, turnv1.Outcome_OUTCOME_HISTORY_MISSING)
	found, err := o.Find(t.Context(), &turnv1.FindRequest{Account: "a", Turn: "t2"})
	is.NoErr(err)
	is.Equal(found.Outcome, turnv1.Outcome_OUTCOME_NO_SUCH_TURN)
	e.Inherited = []byte("in1out1\n")
	mustEnd(t, o, e)
	is.Equal(string(mustBegin(t, o, begin("t3", "t2", 1000, 100)).History), "in1out1\nin2out2\n")
}

// Guards against a chain that is continued though the records before one of its turns are gone.
func TestTurnWithoutItsPreviousOneIsNotContinued(t *testing.T) {
	is := is.New(t)
	s := newState(time.Hour)
	now := time.Now()
	complete := func(turn, previous string, inherited string) {
		s.complete(&turnv1.Completed{
			Program: "p", Account: "a", Turn: turn, Previous: previous, Inherited: []byte(inherited), Input: []byte(turn), KeepMs: 60_000,
			AtUnixMs: now.UnixMilli(),
		})
	}
	complete("t2", "t1", "")
	complete("t3", "t2", "")
	complete("t4", "t1", "before")
	for turn, continued := range map[string]bool{"t2": false, "t3": false, "t4": true} {
		a := s.admit(begin("next of "+turn, turn, 1000, 100), now)
		is.Equal(a.previous != nil, continued)
		is.Equal(a.previousElsewhere, !continued)
	}
}

// Guards against a history that is lost since it is sent again in a record that exceeds the store's limit.
func TestHistoryThatIsSentAgainMayNeedFragments(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	one := s.owner("one", stubFinder{})
	input := strings.Repeat("a long input ", 2*maxRecordBytes/13)
	mustBegin(t, one, begin("t1", "", 1000, 100))
	mustEnd(t, one, end("t1", "", input, "out1\n", 10))
	mustBegin(t, one, begin("t2", "t1", 1000, 100))
	s.store.Trim(Topic, 0, int64(len(s.store.Records(Topic, 0))))
	two := s.owner("two", stubFinder{})
	mustEndWith(t, two, end("t2", "t1", "in2", "out2\n", 10), input+"out1\n")
	three := s.owner("three", stubFinder{})
	is.True(string(mustBegin(t, three, begin("t3", "t2", 1000, 100)).History) == input+"out1\nin2out2\n")
}
