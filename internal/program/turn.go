package program

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	programv1 "github.com/berylpond/berylpond/api/program/v1"
	"github.com/berylpond/berylpond/internal/failpoint"
	"github.com/berylpond/berylpond/internal/verdict"
)

// TurnSpec describes one call of a program.
type TurnSpec struct {
	Program string
	Team    string
	Account string
	// Head is the head that the call follows.
	Head string
	// Digest identifies the caller's request, so that a repeated request gets the recorded response.
	Digest string
	// MaxPromptTokens is an upper bound on the number of tokens of the new messages.
	MaxPromptTokens int64
	// MaxTokens is the completion limit that the caller asked for.
	MaxTokens int64
}

// PendingTurn is a call that may be dispatched. Exactly one of Commit and Abandon must follow.
type PendingTurn struct {
	c     *Controller
	shard int
	term  uint64
	spec  TurnSpec

	// StartedID identifies the reservation.
	StartedID string
	// History holds the turns before this one; it must not be changed.
	History []Turn
	// Root is the root of the program's tree of sub-agents.
	Root string
	// MaxTokens is the completion limit that fits the budget.
	MaxTokens int64
	// HistoryTokens is the number of tokens of the history as counted by the engine.
	HistoryTokens int64
	// SpentTokens is the number of tokens that the program has spent.
	SpentTokens int64
	// Deadline is the program's deadline; zero when it has none.
	Deadline time.Time
	// Reserved is the number of tokens reserved for the call.
	Reserved int64
}

// Begin checks the turn order and the budget and records the reservation. For a request that was completed before it
// returns the recorded turn instead. Every error is a *verdict.Error with NotRun.
func (c *Controller) Begin(ctx context.Context, s TurnSpec) (*PendingTurn, *Turn, error) {
	shard, term, refused := c.heldShard(s.Program)
	if refused != nil {
		return nil, nil, refused
	}
	if c.draining() {
		return nil, nil, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOwnerUnavailable, retryNotDurable,
			"this instance is shutting down")
	}
	if !c.acquire(s.Program) {
		return nil, nil, turnInProgress()
	}
	t, recorded, err := c.begin(ctx, s, shard, term)
	if t == nil {
		c.release(s.Program)
	}
	return t, recorded, err
}

func turnInProgress() *verdict.Error {
	return verdict.Refuse(http.StatusConflict, verdict.ReasonTurnInProgress, retryBusy, "another call of this program is under way")
}

func (c *Controller) acquire(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.busy[id]; ok {
		return false
	}
	c.busy[id] = struct{}{}
	return true
}

func (c *Controller) release(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, id)
}

// begin implements Begin. The caller has acquired the program.
func (c *Controller) begin(ctx context.Context, s TurnSpec, shard int, term uint64) (*PendingTurn, *Turn, error) {
	if err := c.recordPending(ctx, s.Program, shard, term); err != nil {
		return nil, nil, err
	}
	p, ok := c.lookup(s.Program)
	if !ok {
		return nil, nil, unknownProgram()
	}
	if err := checkAccount(&p, s.Team, s.Account); err != nil {
		return nil, nil, err
	}
	if t := p.successor(s.Head); t != nil && t.RequestDigest == s.Digest {
		return nil, t, nil
	}
	t, err := c.reserve(&p, s)
	if err != nil {
		return nil, nil, err
	}
	t.shard, t.term = shard, term
	ev := &programv1.Event{Id: t.StartedID, Program: p.ID, UnixMs: c.now().UnixMilli(), Body: &programv1.Event_TurnStarted{
		TurnStarted: &programv1.TurnStarted{Head: s.Head, ReserveTokens: t.Reserved},
	}}
	if err := failpoint.Hit("program.start.before"); err != nil {
		return nil, nil, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNotDurable, retryNotDurable, "%v", err)
	}
	if err := c.record(ctx, shard, term, ev); err != nil {
		return nil, nil, err
	}
	return t, nil, nil
}

// reserve checks the call against the program's state and computes its reservation.
func (c *Controller) reserve(p *Program, s TurnSpec) (*PendingTurn, error) {
	now := c.now()
	switch {
	case p.Ended:
		return nil, verdict.Refuse(http.StatusGone, verdict.ReasonProgramEnded, 0, "the program has ended: %s", p.EndCause)
	case !p.Deadline.IsZero() && !now.Before(p.Deadline):
		return nil, verdict.Refuse(http.StatusGone, verdict.ReasonDeadline, 0, "the program's deadline has passed")
	case s.Head != p.Head:
		return nil, verdict.Refuse(http.StatusConflict, verdict.ReasonWrongHead, 0,
			"the call follows head %q but the program's head is %q", s.Head, p.Head)
	case p.Calls() >= p.BudgetCalls:
		return nil, verdict.Refuse(http.StatusForbidden, verdict.ReasonBudgetSpent, 0,
			"all %d calls of the program's budget are used", p.BudgetCalls)
	}
	t := &PendingTurn{
		c: c, spec: s, StartedID: uuid.NewString(), History: p.Turns[:len(p.Turns):len(p.Turns)],
		Root: p.Root, SpentTokens: p.SpentTokens, Deadline: p.Deadline, MaxTokens: s.MaxTokens,
	}
	if n := len(p.Turns); n > 0 {
		last := p.Turns[n-1]
		t.HistoryTokens = last.PromptTokens + last.CompletionTokens
	}
	prompt := t.HistoryTokens + s.MaxPromptTokens
	available := p.RemainingTokens() - prompt
	if available < 1 {
		return nil, verdict.Refuse(http.StatusForbidden, verdict.ReasonBudgetSpent, 0,
			"the call needs up to %d prompt tokens but %d tokens of the budget are left", prompt, p.RemainingTokens())
	}
	t.MaxTokens = min(t.MaxTokens, available)
	t.Reserved = prompt + t.MaxTokens
	return t, nil
}

// EngineResponse is the response of an engine to a turn.
type EngineResponse struct {
	// Request is the JSON array of the new messages.
	Request []byte
	// Message is the JSON of the assistant's message.
	Message          string
	FinishReason     string
	PromptTokens     int64
	CachedTokens     int64
	CompletionTokens int64
}

// Commit records the turn and returns the program's new head once the record is durable. An error means that the call
// has run but its response is not part of the history yet, so it must not be returned to the caller as complete.
func (t *PendingTurn) Commit(ctx context.Context, resp EngineResponse) (string, error) {
	defer t.c.release(t.spec.Program)
	head := NextHead(t.spec.Head, resp.Request, resp.Message)
	ev := &programv1.Event{Id: head, Program: t.spec.Program, UnixMs: t.c.now().UnixMilli(), Body: &programv1.Event_TurnCommitted{
		TurnCommitted: &programv1.TurnCommitted{
			Head: t.spec.Head, RequestDigest: t.spec.Digest, NewHead: head, Request: resp.Request, Answer: resp.Message,
			FinishReason: resp.FinishReason, PromptTokens: resp.PromptTokens, CachedTokens: resp.CachedTokens,
			CompletionTokens: resp.CompletionTokens, StartedId: t.StartedID,
		},
	}}
	if err := failpoint.Hit("program.commit.before"); err != nil {
		return "", verdict.Fail(http.StatusServiceUnavailable, verdict.ReasonNotDurable, "%v", err)
	}
	if err := t.c.recordOrForward(ctx, t.shard, t.term, ev); err != nil {
		e := *verdict.From(err)
		e.Verdict = verdict.MayHaveRun
		return "", &e
	}
	if err := failpoint.Hit("program.commit.after"); err != nil {
		return "", verdict.Fail(http.StatusServiceUnavailable, verdict.ReasonNotDurable, "%v", err)
	}
	return head, nil
}

// Abandon settles the reservation of a call without a response. spent is the number of tokens that the call may have
// used; it is 0 if nothing was sent to an engine.
func (t *PendingTurn) Abandon(ctx context.Context, spent int64) {
	defer t.c.release(t.spec.Program)
	id := t.StartedID + "/abandoned"
	ev := &programv1.Event{Id: id, Program: t.spec.Program, UnixMs: t.c.now().UnixMilli(), Body: &programv1.Event_TurnAbandoned{
		TurnAbandoned: &programv1.TurnAbandoned{StartedId: t.StartedID, SpentTokens: spent},
	}}
	// On failure the event stays pending and the tokens stay reserved, so the budget cannot be exceeded.
	_ = t.c.recordOrForward(ctx, t.shard, t.term, ev)
}
