package turnlog

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

// TestTokensStayWithinTheBudget runs turns of one program against a model in which the state is lost and rebuilt from
// its durable records at any moment.
func TestTokensStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 100
		budget := rapid.Int64Range(0, 1500).Draw(t, "budget")
		s := newState(time.Hour)
		var records []*turnv1.Record
		durable := func(r *turnv1.Record) { records = append(records, r); s.apply(r) }
		var open []string
		handed := int64(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := fmt.Sprintf("t%d", i)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				a := s.admit(&turnv1.BeginRequest{Program: "p", Turn: id, Budget: budget, Most: most}, time.Now())
				if a.outcome != turnv1.Outcome_OUTCOME_OK {
					continue
				}
				if a.grant > 0 {
					durable(&turnv1.Record{Change: &turnv1.Record_Granted{Granted: &turnv1.Granted{
						Program: "p", Granted: a.grant, Charged: a.charged, Forgiven: a.forgiven,
					}}})
				}
				open = append(open, id)
			case 2:
				if len(open) > 0 {
					at := rapid.IntRange(0, len(open)-1).Draw(t, "which")
					id := open[at]
					open = slices.Delete(open, at, at+1)
					tokens := rapid.Int64Range(0, most).Draw(t, "tokens")
					handed += tokens
					if rapid.Bool().Draw(t, "whole") {
						next := s.nextGrant("p", id, tokens, most)
						durable(&turnv1.Record{Change: &turnv1.Record_Completed{Completed: &turnv1.Completed{
							Program: "p", Turn: id, Tokens: tokens, Granted: next.granted, Charged: next.charged, Forgiven: next.forgiven,
						}}})
					}
					s.settle("p", id, tokens)
				}
			case 3:
				s = newState(time.Hour)
				for _, r := range records {
					s.apply(r)
				}
				s.adopt()
			}
			// The platform's rule allows the budget and the most of one turn.
			if handed+int64(len(open))*most > budget+most {
				t.Fatalf("turns may have generated %d of %d tokens", handed+int64(len(open))*most, budget)
			}
		}
	})
}

// TestProgramGoesOnAfterTheLossOfItsOwner has a budget that holds two turns at their most, as the users' programs have:
// the first took little, so the second fits whatever became of the owner in between.
func TestProgramGoesOnAfterTheLossOfItsOwner(t *testing.T) {
	is := is.New(t)
	s := newState(time.Hour)
	s.apply(&turnv1.Record{Change: &turnv1.Record_Granted{Granted: &turnv1.Granted{Program: "p", Granted: 588, Charged: 588}}})
	s.apply(&turnv1.Record{Change: &turnv1.Record_Completed{Completed: &turnv1.Completed{
		Program: "p", Turn: "t1", Tokens: 252, Granted: 252 + 588, Charged: 252,
	}}})
	s.adopt()
	a := s.admit(&turnv1.BeginRequest{Program: "p", Turn: "t2", Previous: "t1", Budget: 900, Most: 588}, time.Now())
	is.Equal(a.outcome, turnv1.Outcome_OUTCOME_OK)
	is.Equal(a.grant, int64(252+588))
	is.Equal(a.forgiven, int64(588))
}

// Turns that took less than they might leave a grant for two more; only one of these may begin without a record.
func TestOneTurnAtMostIsUnknownAfterTheLossOfAnOwner(t *testing.T) {
	is := is.New(t)
	s := newState(time.Hour)
	s.apply(&turnv1.Record{Change: &turnv1.Record_Granted{Granted: &turnv1.Granted{Program: "p", Granted: 500, Charged: 500}}})
	s.apply(&turnv1.Record{Change: &turnv1.Record_Completed{Completed: &turnv1.Completed{
		Program: "p", Turn: "t1", Granted: 564, Charged: 364,
	}}})
	s.program("p", "").spent = 364
	first := s.admit(&turnv1.BeginRequest{Program: "p", Turn: "t2", Previous: "t1", Budget: 1000, Most: 100}, time.Now())
	is.Equal(first.grant, int64(0))
	second := s.admit(&turnv1.BeginRequest{Program: "p", Turn: "t3", Previous: "t1", Budget: 1000, Most: 100}, time.Now())
	is.Equal(second.grant, int64(564))
}

func TestOldHistoryIsWrittenAnew(t *testing.T) {
	is := is.New(t)
	s := newState(time.Minute)
	start := time.Now()
	s.complete(&turnv1.Completed{Program: "p", Turn: "t1", Input: []byte("a"), Output: []byte("b"), AtUnixMs: start.UnixMilli()})
	is.Equal(s.inherit("t1", start.Add(30*time.Second)), nil)
	is.Equal(string(s.inherit("t1", start.Add(2*time.Minute))), "ab")
	s.complete(&turnv1.Completed{
		Program: "p", Turn: "t2", Previous: "t1", Inherited: []byte("ab"), Input: []byte("c"),
		AtUnixMs: start.Add(2 * time.Minute).UnixMilli(),
	})
	is.Equal(string(s.turns["t2"].history()), "abc")
	is.Equal(s.inherit("t2", start.Add(150*time.Second)), nil)
}

func TestProgramsExpireOnceTheirTurnsNeedNotBeKept(t *testing.T) {
	is := is.New(t)
	s := newState(time.Hour)
	start := time.Now()
	s.complete(&turnv1.Completed{Program: "p", Turn: "t1", KeepMs: 60_000, AtUnixMs: start.UnixMilli()})
	s.expire(start.Add(59*time.Second), 0)
	is.Equal(len(s.turns), 1)
	s.expire(start.Add(61*time.Second), 0)
	is.Equal(len(s.turns)+len(s.programs), 0)
}
