package keeper

import (
	"time"

	keeperv1 "github.com/berylpond/berylpond/api/keeper/v1"
	"github.com/berylpond/berylpond/internal/scheduler/framework"
	"github.com/berylpond/berylpond/internal/verdict"
)

func callToWire(c Call, now time.Time) *keeperv1.Call {
	out := &keeperv1.Call{
		Id: c.ID, Team: c.Team, Model: c.Model, Program: c.Program, Root: c.Root,
		Account: c.Account, Weight: c.Weight, Turn: int32(c.CompletedTurns), AttainedTokens: c.AttainedService,
		PrefixTokens: c.PrefixTokens, NewTokens: c.NewTokens, ExpectedOutput: c.ExpectedOutput,
		Avoid: c.FailedEngines, Prior: c.PriorVerdict.String(), Repeatable: c.Repeatable,
	}
	if !c.Deadline.IsZero() {
		// Clocks differ between instances, so the remaining time is sent; at least 1 ms, since 0 means no deadline.
		out.DeadlineMs = max(1, c.Deadline.Sub(now).Milliseconds())
	}
	return out
}

func callFromWire(in *keeperv1.Call, now time.Time) Call {
	c := Call{Team: in.GetTeam(), Model: in.GetModel(), Call: framework.Call{
		ID: in.GetId(), Program: in.GetProgram(), Root: in.GetRoot(),
		Account: in.GetAccount(), Weight: in.GetWeight(), CompletedTurns: int(in.GetTurn()),
		AttainedService: in.GetAttainedTokens(),
		PrefixTokens:    in.GetPrefixTokens(), NewTokens: in.GetNewTokens(), ExpectedOutput: in.GetExpectedOutput(),
		FailedEngines: in.GetAvoid(), PriorVerdict: verdict.Parse(in.GetPrior()), Repeatable: in.GetRepeatable(),
	}}
	if in.GetDeadlineMs() > 0 {
		c.Deadline = now.Add(time.Duration(in.GetDeadlineMs()) * time.Millisecond)
	}
	return c
}

func doneToWire(o framework.Outcome) *keeperv1.Done {
	return &keeperv1.Done{
		Outcome:      keeperv1.Outcome(o.Kind),
		PromptTokens: o.PromptTokens, CachedTokens: o.CachedTokens, CompletionTokens: o.CompletionTokens,
	}
}

func doneFromWire(in *keeperv1.Done) framework.Outcome {
	kind := framework.OutcomeKind(in.GetOutcome())
	if kind < framework.OK || kind > framework.Cancelled {
		kind = framework.Cancelled
	}
	return framework.Outcome{
		Kind:         kind,
		PromptTokens: in.GetPromptTokens(), CachedTokens: in.GetCachedTokens(), CompletionTokens: in.GetCompletionTokens(),
	}
}

func refusedToWire(e *verdict.Error) *keeperv1.AdmitReply {
	return &keeperv1.AdmitReply{Kind: &keeperv1.AdmitReply_Refused{Refused: &keeperv1.Refused{
		Reason: string(e.Reason), Status: int32(e.Status), RetryAfterMs: e.RetryAfter.Milliseconds(), Detail: e.Detail,
	}}}
}

func movedToWire() *keeperv1.AdmitReply {
	return &keeperv1.AdmitReply{Kind: &keeperv1.AdmitReply_Refused{Refused: &keeperv1.Refused{Moved: true}}}
}

func queuedToWire() *keeperv1.AdmitReply {
	return &keeperv1.AdmitReply{Kind: &keeperv1.AdmitReply_Queued{Queued: &keeperv1.Queued{}}}
}

func refusedFromWire(in *keeperv1.Refused) *verdict.Error {
	return &verdict.Error{
		Verdict: verdict.NotRun, Reason: verdict.Reason(in.GetReason()), Status: int(in.GetStatus()),
		RetryAfter: time.Duration(in.GetRetryAfterMs()) * time.Millisecond, Detail: in.GetDetail(),
	}
}

func grantToWire(g *framework.Grant) *keeperv1.AdmitReply {
	return &keeperv1.AdmitReply{Kind: &keeperv1.AdmitReply_Granted{Granted: &keeperv1.Granted{
		Engine: g.Engine, CachedTokens: g.CachedTokens, QueueWaitUs: g.QueueWait.Microseconds(),
	}}}
}
