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

// TestTokensStayWithinTheBudget runs random turns of one program while the state is discarded and rebuilt from its
// durable records at random points.
func TestTokensStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const reservation = 100
		budget := rapid.Int64Range(0, 1500).Draw(t, "budget")
		s := newState(time.Hour)
		var records []*turnv1.Record
		durable := func(r *turnv1.Record) { records = append(records, r); s.apply(r) }
		var open []string
		generated := int64(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := fmt.Sprintf("t%d", i)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				a := s.admit(&turnv1.BeginRequest{Program: "p", Turn: id, Budget: budget, Most: reservation}, time.Now())
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
					index := rapid.IntRange(0, len(open)-1).Draw(t, "which")
					id := open[index]
					open = slices.Delete(open, index, index+1)
					tokens := rapid.Int64Range(0, reservation).Draw(t, "tokens")
					generated += tokens
					switch rapid.SampledFrom([]string{"recorded", "without history", "broken off"}).Draw(t, "end") {
					case "recorded":
						next := s.nextGrant(programKey{id: "p"}, id, tokens, reservation)
						durable(&turnv1.Record{Change: &turnv1.Record_Completed{Completed: &turnv1.Completed{
							Program: "p", Turn: id, Tokens: tokens, Granted: next.granted, Charged: next.charged, Forgiven: next.forgiven,
						}}})
					case "without history":
						ahead := s.grantAhead(&turnv1.EndRequest{Program: "p", Turn: id, Tokens: tokens, Most: reservation}, time.Now())
						durable(&turnv1.Record{Change: &turnv1.Record_Granted{Granted: ahead}})
					}
					s.settle(programKey{id: "p"}, id, tokens, time.Now())
				}
			case 3:
				s = newState(time.Hour)
				for _, r := range records {
					s.apply(r)
				}
				s.recoverCharges()
			}
			// The platform's rule allows the budget plus the maximum of one turn.
			if generated+int64(len(open))*reservation > budget+reservation {
				t.Fatalf("turns may have generated %d of %d tokens", generated+int64(len(open))*reservation, budget)
			}
		}
	})
}

// TestProgramContinuesAfterTheLossOfItsOwner guards against a failover that spends the rest of a budget. As in the
// users' programs, the budget does not cover two turns at their maximum. The first turn generated few tokens, so the
// second one must fit even if the owner was lost in between.
func TestProgramContinuesAfterTheLossOfItsOwner(t *testing.T) {
	is := is.New(t)
	s := newState(time.Hour)
	s.apply(&turnv1.Record{Change: &turnv1.Record_Granted{Granted: &turnv1.Granted{Program: "p", Granted: 588, Charged: 588}}})
	s.apply(&turnv1.Record{Change: &turnv1.Record_Completed{Completed: &turnv1.Completed{
		Program: "p", Turn: "t1", Tokens: 252, Granted: 252 + 588, Charged: 252,
	}}})
	s.recoverCharges()
	a := s.admit(&turnv1.BeginRequest{Program: "p", Turn: "t2", Previous: "t1", Budget: 900, Most: 588}, time.Now())
	is.Equal(a.outcome, turnv1.Outcome_OUTCOME_OK)
	is.Equal(a.grant, int64(252+588))
	is.Equal(a.forgiven, int64(588))
}

// Turns that generated less than their maximum leave a grant that covers two more turns. Only one of these may begin
// without a record, since a failover takes back the grant of only one.
func TestAtMostOneTurnIsUnrecordedWhenAnOwnerIsLost(t *testing.T) {
	is := is.New(t)
	s := newState(time.Hour)
	s.apply(&turnv1.Record{Change: &turnv1.Record_Granted{Granted: &turnv1.Granted{Program: "p", Granted: 500, Charged: 500}}})
	s.apply(&turnv1.Record{Change: &turnv1.Record_Completed{Completed: &turnv1.Completed{
		Program: "p", Turn: "t1", Granted: 564, Charged: 364,
	}}})
	s.program(programKey{id: "p"}).spent = 364
	first := s.admit(&turnv1.BeginRequest{Program: "p", Turn: "t2", Previous: "t1", Budget: 1000, Most: 100}, time.Now())
	is.Equal(first.grant, int64(0))
	second := s.admit(&turnv1.BeginRequest{Program: "p", Turn: "t3", Previous: "t1", Budget: 1000, Most: 100}, time.Now())
	is.Equal(second.grant, int64(564))
}

func TestOldHistoryIsInlined(t *testing.T) {
	is := is.New(t)
	s := newState(time.Minute)
	start := time.Now()
	s.complete(&turnv1.Completed{Program: "p", Turn: "t1", Input: []byte("a"), Output: []byte("b"), AtUnixMs: start.UnixMilli()})
	is.Equal(s.historyToInline(turnKey{id: "t1"}, start.Add(30*time.Second)), nil)
	is.Equal(string(s.historyToInline(turnKey{id: "t1"}, start.Add(2*time.Minute))), "ab")
	s.complete(&turnv1.Completed{
		Program: "p", Turn: "t2", Previous: "t1", Inherited: []byte("ab"), Input: []byte("c"),
		AtUnixMs: start.Add(2 * time.Minute).UnixMilli(),
	})
	is.Equal(string(s.turns[turnKey{id: "t2"}].history()), "abc")
	is.Equal(s.historyToInline(turnKey{id: "t2"}, start.Add(150*time.Second)), nil)
}

func TestProgramsExpireAfterTheirRetentionTime(t *testing.T) {
	is := is.New(t)
	s := newState(time.Hour)
	start := time.Now()
	s.complete(&turnv1.Completed{Program: "p", Turn: "t1", KeepMs: 60_000, AtUnixMs: start.UnixMilli()})
	s.expire(start.Add(59*time.Second), 0)
	is.Equal(len(s.turns), 1)
	s.expire(start.Add(61*time.Second), 0)
	is.Equal(len(s.turns)+len(s.programs), 0)
}
