package program

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	programv1 "github.com/berylpond/berylpond/api/program/v1"
)

func created(id string, tokens, calls int64) *programv1.Event {
	return &programv1.Event{Id: id, Program: id, UnixMs: 1, Body: &programv1.Event_Created{
		Created: &programv1.Created{Team: "t", Account: "a", BudgetTokens: tokens, BudgetCalls: calls},
	}}
}

func started(id, program, head string, reserve int64) *programv1.Event {
	return &programv1.Event{Id: id, Program: program, UnixMs: 2, Body: &programv1.Event_TurnStarted{
		TurnStarted: &programv1.TurnStarted{Head: head, ReserveTokens: reserve},
	}}
}

func committed(startedID, program, head, response string, tokens int64) *programv1.Event {
	request := []byte(`[{"role":"user","content":"x"}]`)
	return &programv1.Event{Id: NextHead(head, request, response), Program: program, UnixMs: 3, Body: &programv1.Event_TurnCommitted{
		TurnCommitted: &programv1.TurnCommitted{
			Head: head, NewHead: NextHead(head, request, response), Request: request, Answer: response, StartedId: startedID,
			PromptTokens: tokens, RequestDigest: "d-" + response,
		},
	}}
}

func abandoned(startedID, program string, spent int64) *programv1.Event {
	return &programv1.Event{Id: startedID + "/abandoned", Program: program, Body: &programv1.Event_TurnAbandoned{
		TurnAbandoned: &programv1.TurnAbandoned{StartedId: startedID, SpentTokens: spent},
	}}
}

func TestSecondTurnOnOneHeadIsRejected(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	h := FirstHead("p")
	is.Equal(s.Apply(created("p", 100, 10)), Accepted)
	is.Equal(s.Apply(started("s1", "p", h, 10)), Accepted)
	is.Equal(s.Apply(started("s2", "p", h, 10)), Accepted)
	is.Equal(s.Apply(committed("s1", "p", h, "first", 5)), Accepted)
	is.Equal(s.Apply(committed("s2", "p", h, "second", 5)), Rejected)
	is.Equal(s.Apply(committed("s1", "p", h, "first", 5)), Duplicate)
	is.Equal(len(s.Get("p").Turns), 1)
	is.Equal(s.Get("p").SpentTokens, int64(5))
	is.Equal(s.Get("p").Reserved(), int64(10)) // the second call's reservation stays until it is settled
}

func TestReservationAboveBudgetIsRejected(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	h := FirstHead("p")
	s.Apply(created("p", 100, 2))
	is.Equal(s.Apply(started("s1", "p", h, 101)), Rejected)
	is.Equal(s.Apply(started("s1", "p", h, 60)), Accepted)
	is.Equal(s.Apply(started("s2", "p", h, 60)), Rejected)
	is.Equal(s.Apply(abandoned("s1", "p", 0)), Accepted)
	is.Equal(s.Apply(started("s3", "p", h, 60)), Accepted)
	is.Equal(s.Apply(started("s4", "p", h, 1)), Rejected) // two calls are the budget
}

// TestStoreInvariants checks the invariants of the store with random duplicate and rejected events: the history only
// grows along one hash chain, the budget is not exceeded, and the events of a program rebuild it.
func TestStoreInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore()
		budget := rapid.Int64Range(1, 500).Draw(t, "budget")
		log := []*programv1.Event{created("p", budget, 20)}
		s.Apply(log[0])
		for i := range rapid.IntRange(1, 60).Draw(t, "events") {
			p := s.Get("p")
			before := len(p.Turns)
			ev := drawEvent(t, p, i, log)
			log = append(log, ev)
			s.Apply(ev)
			if len(p.Turns) < before || len(p.Turns) > before+1 {
				t.Fatalf("history went from %d to %d turns", before, len(p.Turns))
			}
			if p.SpentTokens+p.Reserved() > p.BudgetTokens || p.Calls() > p.BudgetCalls {
				t.Fatalf("budget %d overdrawn: spent %d, reserved %d", p.BudgetTokens, p.SpentTokens, p.Reserved())
			}
			checkChain(t, p)
		}
		checkRebuild(t, s.Get("p"))
	})
}

// drawEvent draws an event that may fit the state, may not fit it, or repeats an earlier one.
func drawEvent(t *rapid.T, p *Program, i int, log []*programv1.Event) *programv1.Event {
	heads := []string{p.Head, FirstHead("p"), "9-unknown"}
	head := rapid.SampledFrom(heads).Draw(t, "head")
	var open []string
	for id := range p.reserved {
		open = append(open, id)
	}
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return log[rapid.IntRange(0, len(log)-1).Draw(t, "repeat")]
	case 1, 2:
		return started(fmt.Sprintf("s%d", i), "p", head, rapid.Int64Range(1, 40).Draw(t, "reserve"))
	case 3:
		if len(open) > 0 {
			return abandoned(open[0], "p", min(p.reserved[open[0]], 3))
		}
	}
	if len(open) > 0 {
		return committed(open[0], "p", head, fmt.Sprintf("a%d", i), p.reserved[open[0]])
	}
	return started(fmt.Sprintf("s%d", i), "p", head, 1)
}

func checkChain(t *rapid.T, p *Program) {
	head := FirstHead(p.ID)
	for _, turn := range p.Turns {
		if turn.PrevHead != head || turn.Head != NextHead(head, turn.Request, turn.Response) {
			t.Fatalf("turn %q does not follow %q", turn.Head, head)
		}
		head = turn.Head
	}
	if p.Head != head {
		t.Fatalf("head %q, want %q", p.Head, head)
	}
}

func checkRebuild(t *rapid.T, p *Program) {
	rebuilt := NewStore()
	for _, ev := range p.SnapshotEvents(time.UnixMilli(9)) {
		raw, err := proto.Marshal(ev)
		if err != nil {
			t.Fatal(err)
		}
		copied := &programv1.Event{}
		if err := proto.Unmarshal(raw, copied); err != nil {
			t.Fatal(err)
		}
		rebuilt.Apply(copied)
	}
	q := rebuilt.Get("p")
	if q.Head != p.Head || q.SpentTokens != p.SpentTokens || q.Reserved() != p.Reserved() || q.Calls() != p.Calls() {
		t.Fatalf("rebuilt %+v from %+v", q, p)
	}
	for _, ev := range p.SnapshotEvents(time.UnixMilli(9)) {
		if out := rebuilt.Apply(ev); out == Accepted {
			t.Fatalf("event %s changed the program that it rebuilt", ev.Id)
		}
	}
}

func TestDropEndedDropsProgramsThatEndedBefore(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	s.Apply(created("p", 100, 10))
	end := &programv1.Event{Id: "p/ended", Program: "p", UnixMs: 1000, Body: &programv1.Event_Ended{Ended: &programv1.Ended{}}}
	is.Equal(s.Apply(end), Accepted)
	is.Equal(s.Apply(end), Duplicate)
	is.Equal(s.Apply(started("s", "p", FirstHead("p"), 1)), Rejected)
	is.Equal(s.DropEnded(time.UnixMilli(999)), 0)
	is.Equal(s.DropEnded(time.UnixMilli(1001)), 1)
}
