package turnlog

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

const (
	useBudget = 500
	useMost   = 100
)

// turnsUntilSpent runs turns of their maximum until the budget is spent, and returns the tokens that they generated.
func turnsUntilSpent(t *testing.T, o *Owner, name string) int64 {
	t.Helper()
	for n := range 2 * useBudget / useMost {
		id := fmt.Sprint(name, n)
		resp, err := o.Begin(t.Context(), begin(id, "", useBudget, useMost))
		if err != nil {
			t.Fatal(err)
		}
		if resp.Outcome == turnv1.Outcome_OUTCOME_BUDGET_SPENT {
			return int64(n) * useMost
		}
		e := end(id, "", "in", "out\n", useMost)
		e.Budget = useBudget
		mustEnd(t, o, e)
	}
	t.Fatal("the budget is never spent")
	return 0
}

// Guards against a program that gets its budget again: a turn begins at the end of the program's retention, and another instance
// takes the partition over before the turn ends, or after it has broken off.
func TestBudgetHoldsIfAPartitionMovesDuringALateTurn(t *testing.T) {
	for name, complete := range map[string]bool{"whole": true, "broken off": false} {
		for _, within := range []time.Duration{7 * time.Second, 100 * time.Second} {
			t.Run(fmt.Sprint(name, " within ", within), func(t *testing.T) {
				s, c := newFixture(t), &clock{}
				one := s.ownerAt("one", c)
				for n := range 2 {
					id := fmt.Sprint("t", n)
					mustBegin(t, one, begin(id, "", useBudget, useMost))
					mustEnd(t, one, end(id, "", "in", "out\n", useMost))
				}
				const late = 59 * time.Second
				c.moveTo(late)
				b := begin("late", "t1", useBudget, useMost)
				b.WithinMs = within.Milliseconds()
				mustBegin(t, one, b)
				c.moveTo(late + within - time.Second)
				two := s.ownerAt("two", c)
				if complete {
					mustEndWith(t, two, end("late", "t1", "in", "out\n", useMost), "in1out1\n")
				} else {
					// Clients may come back for as long as turns are kept.
					c.moveTo(late + within + 58*time.Second)
					two = s.ownerAt("three", c)
				}
				generated := 3*useMost + turnsUntilSpent(t, two, "u")
				if generated > useBudget+useMost {
					t.Errorf("turns generated %d of %d tokens", generated, useBudget)
				}
			})
		}
	}
}

// Guards against a program that gets its budget again since its owner forgets it during a turn.
func TestBudgetHoldsOverATurnLongerThanTheRetention(t *testing.T) {
	s, c := newFixture(t), &clock{}
	o := s.ownerAt("one", c)
	mustBegin(t, o, begin("t1", "", useBudget, useMost))
	mustEnd(t, o, end("t1", "", "in1", "out1\n", useMost))
	b := begin("t2", "t1", useBudget, useMost)
	b.WithinMs = 100_000
	mustBegin(t, o, b)
	c.moveTo(90 * time.Second)
	o.partition(0).trim(t.Context())
	mustEndWith(t, o, end("t2", "t1", "in2", "out2\n", useMost), "in1out1\n")
	if generated := 2*useMost + turnsUntilSpent(t, o, "u"); generated > useBudget+useMost {
		t.Errorf("turns generated %d of %d tokens", generated, useBudget)
	}
}

// Guards against the charge of a long turn being lost with the records before it, which are deleted while it runs.
func TestBudgetHoldsIfTheRecordsBeforeALongTurnAreDeleted(t *testing.T) {
	s, c := newFixture(t), &clock{}
	one := s.ownerAt("one", c)
	for n := range 4 {
		id := fmt.Sprint("t", n)
		mustBegin(t, one, begin(id, "", useBudget, useMost))
		mustEnd(t, one, end(id, "", "in", "out\n", useMost))
	}
	before := int64(len(s.store.Records(Topic, 0)))
	b := begin("long", "t3", useBudget, useMost)
	b.WithinMs = 300_000
	mustBegin(t, one, b)
	s.store.Trim(Topic, 0, before)
	c.moveTo(290 * time.Second)
	two := s.ownerAt("two", c)
	if generated := 5*useMost + turnsUntilSpent(t, two, "u"); generated > useBudget+useMost {
		t.Errorf("turns generated %d of %d tokens", generated, useBudget)
	}
}

// Guards against an append for each turn of a program that is used all the time, and against more than one for a late turn.
func TestOnlyALateTurnRecordsThatItsProgramIsInUse(t *testing.T) {
	is := is.New(t)
	s, c := newFixture(t), &clock{}
	o := s.ownerAt("one", c)
	mustBegin(t, o, begin("t1", "", 1000, 100))
	mustEnd(t, o, end("t1", "", "in", "out\n", 10))
	appends := func(turn string) int {
		before := s.store.Calls("/api/log-append")
		b := begin(turn, "t1", 1000, 100)
		b.WithinMs = 7000
		mustBegin(t, o, b)
		_, err := o.End(t.Context(), &turnv1.EndRequest{Program: "p", Account: "a", Turn: turn})
		is.NoErr(err)
		return s.store.Calls("/api/log-append") - before
	}
	is.Equal(appends("t2"), 0)
	c.moveTo(useLag - 8*time.Second)
	is.Equal(appends("t3"), 0)
	c.moveTo(useLag)
	is.Equal(appends("t4"), 1)
	is.Equal(appends("t5"), 0)
}

// Guards against turns that outlive what can be continued from them: only the tokens of a program are remembered for longer.
func TestTurnsExpireBeforeTheTokensOfTheirProgram(t *testing.T) {
	is := is.New(t)
	s := newState(time.Hour)
	s.useLag = 30 * time.Second
	start := time.Now()
	s.complete(&turnv1.Completed{Program: "p", Turn: "t1", Input: make([]byte, 100), KeepMs: 60_000, AtUnixMs: start.UnixMilli(), Granted: 20, Charged: 10})
	s.expire(start.Add(61*time.Second), 0)
	is.Equal(len(s.turns), 0)
	is.Equal(s.bytes, int64(0))
	is.Equal(len(s.programs), 1)
	s.expire(start.Add(91*time.Second), 0)
	is.Equal(len(s.programs), 0)
}

// Guards against a program that is kept in memory for as long as refused turns go on to be reported.
func TestTurnThatNeverBeganIsNoUseOfItsProgram(t *testing.T) {
	is := is.New(t)
	s := newState(time.Hour)
	start := time.Now()
	s.complete(&turnv1.Completed{Program: "p", Turn: "t1", KeepMs: 60_000, AtUnixMs: start.UnixMilli()})
	s.settle(programKey{id: "p"}, "refused", 0, start.Add(59*time.Second))
	s.expire(start.Add(61*time.Second), 0)
	is.Equal(len(s.turns)+len(s.programs), 0)
}
