package program

import (
	"time"

	programv1 "github.com/berylpond/berylpond/api/program/v1"
)

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// SnapshotEvents returns events that rebuild the program in an empty store, with now as the time of publication.
// Applying them to a store that has the program changes nothing, so they can be appended to the log again before the
// originals expire.
func (p *Program) SnapshotEvents(now time.Time) []*programv1.Event {
	created := &programv1.Created{
		CreatedUnixMs: p.Created.UnixMilli(),
		Team:          p.Team, Account: p.Account, Parent: p.Parent, Root: p.Root,
		BudgetTokens: p.BudgetTokens, BudgetCalls: p.BudgetCalls,
	}
	if !p.Deadline.IsZero() {
		created.DeadlineUnixMs = p.Deadline.UnixMilli()
	}
	out := []*programv1.Event{{
		Id: p.ID, Program: p.ID, UnixMs: now.UnixMilli(),
		Body: &programv1.Event_Created{Created: created},
	}}
	for _, t := range p.Turns {
		out = append(out, p.turnEvents(t)...)
	}
	return append(out, p.openEvents()...)
}

func (p *Program) turnEvents(t Turn) []*programv1.Event {
	return []*programv1.Event{
		{Id: t.StartedID, Program: p.ID, UnixMs: t.UnixMS, Body: &programv1.Event_TurnStarted{
			TurnStarted: &programv1.TurnStarted{Head: t.PrevHead},
		}},
		{Id: t.Head, Program: p.ID, UnixMs: t.UnixMS, Body: &programv1.Event_TurnCommitted{
			TurnCommitted: &programv1.TurnCommitted{
				Head: t.PrevHead, RequestDigest: t.RequestDigest, NewHead: t.Head, Request: t.Request,
				Answer: t.Response, FinishReason: t.FinishReason, PromptTokens: t.PromptTokens,
				CachedTokens: t.CachedTokens, CompletionTokens: t.CompletionTokens, StartedId: t.StartedID,
			},
		}},
	}
}

// openEvents returns events that rebuild the spending of abandoned calls, the open reservations and the end of the
// program.
func (p *Program) openEvents() []*programv1.Event {
	committed := make(map[string]struct{}, len(p.Turns))
	var turnTokens int64
	for _, t := range p.Turns {
		committed[t.StartedID] = struct{}{}
		turnTokens += t.PromptTokens + t.CompletionTokens
	}
	abandoned := p.SpentTokens - turnTokens
	var out []*programv1.Event
	for id := range p.settled {
		if _, ok := committed[id]; ok {
			continue
		}
		out = append(out, startedEvent(p, id, 0), abandonedEvent(p, id, abandoned))
		abandoned = 0
	}
	for id, n := range p.reserved {
		out = append(out, startedEvent(p, id, n))
	}
	if p.Ended {
		out = append(out, &programv1.Event{Id: p.ID + "/ended", Program: p.ID, UnixMs: p.EndedAt.UnixMilli(),
			Body: &programv1.Event_Ended{Ended: &programv1.Ended{Cause: p.EndCause}}})
	}
	return out
}

func startedEvent(p *Program, id string, reserve int64) *programv1.Event {
	return &programv1.Event{Id: id, Program: p.ID, UnixMs: p.Created.UnixMilli(), Body: &programv1.Event_TurnStarted{
		TurnStarted: &programv1.TurnStarted{Head: p.Head, ReserveTokens: reserve},
	}}
}

func abandonedEvent(p *Program, startedID string, spent int64) *programv1.Event {
	return &programv1.Event{Id: startedID + "/abandoned", Program: p.ID, UnixMs: p.Created.UnixMilli(),
		Body: &programv1.Event_TurnAbandoned{
			TurnAbandoned: &programv1.TurnAbandoned{StartedId: startedID, SpentTokens: spent},
		}}
}
