package executor

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	"github.com/berylpond/berylpond/internal/config"
	"github.com/berylpond/berylpond/internal/engine"
	"github.com/berylpond/berylpond/internal/keeper"
	"github.com/berylpond/berylpond/internal/program"
	"github.com/berylpond/berylpond/internal/scheduler/framework"
	"github.com/berylpond/berylpond/internal/verdict"
)

const (
	// defaultMaxTokens is the completion limit of calls without one.
	defaultMaxTokens = 1024
	// maxModelAttempts bounds the number of engines to which one call is sent.
	maxModelAttempts = 3
	// bytesPerToken estimates the number of tokens for scheduling. Budgets use the upper bound, engine.MaxPromptTokens,
	// instead.
	bytesPerToken = 4
	// settleTimeout bounds recording the end of a turn, which continues after the caller has disconnected.
	settleTimeout = 3 * time.Second
)

// modelCall is the state of one model call.
type modelCall struct {
	x    *Executor
	req  *peerv1.CallRequest
	chat *engine.ChatRequest
	// turn is nil for a call without a program.
	turn *program.PendingTurn
	emit EmitFunc
	// newMessages holds the messages of the request, without the history.
	newMessages []json.RawMessage
	// emitted is set once part of the response was sent to the caller; after that the call must not be retried.
	emitted bool
	// written is set once part of the request may have been written to an engine.
	written bool
	// failedEngines holds the engines of the failed attempts.
	failedEngines []string
	// lastVerdict is the verdict of the previous attempt.
	lastVerdict verdict.Verdict
}

func (x *Executor) callModel(ctx context.Context, snap *config.Snapshot, r *peerv1.CallRequest, emit EmitFunc) error {
	chat, refused := engine.ParseChat(r.Body)
	if refused != nil {
		return refused
	}
	m, ok := snap.Model(r.Account.Team, chat.Model)
	if !ok || !allowed(m.Accounts, r.Account.Name) {
		return verdict.Refuse(http.StatusNotFound, verdict.ReasonUnknownModel, 0, "no model %q for this account", chat.Model)
	}
	if r.Program == "" && r.IdempotencyKey != "" {
		return x.runAtMostOnce(ctx, r, emit, func(ctx context.Context, emit EmitFunc) error {
			return x.runModel(ctx, chat, r, emit)
		})
	}
	return x.runModel(ctx, chat, r, emit)
}

func (x *Executor) runModel(ctx context.Context, chat *engine.ChatRequest, r *peerv1.CallRequest, emit EmitFunc) error {
	c := &modelCall{x: x, req: r, chat: chat, emit: emit, newMessages: chat.Messages}
	if r.Program == "" {
		return c.runWithoutProgram(ctx)
	}
	return c.runWithProgram(ctx)
}

func allowed(accounts []string, name string) bool {
	if len(accounts) == 0 {
		return true
	}
	for _, a := range accounts {
		if a == name {
			return true
		}
	}
	return false
}

func (c *modelCall) runWithoutProgram(ctx context.Context) error {
	c.chat.MaxTokens = c.chat.CompletionLimit(defaultMaxTokens)
	c.chat.MaxCompletionTokens = 0
	c.chat.PromptCacheKey = ""
	res, err := c.runWithRetries(ctx)
	if err != nil {
		return err
	}
	return c.finish(res, "")
}

func (c *modelCall) runWithProgram(ctx context.Context) error {
	started := time.Now()
	turn, recorded, err := c.x.deps.Programs.Begin(ctx, program.TurnSpec{
		Program: c.req.Program, Team: c.req.Account.Team, Account: c.req.Account.Name, Head: c.req.Head,
		Digest: program.Digest(c.req.Body), MaxPromptTokens: engine.MaxPromptTokens(c.newMessages),
		MaxTokens: c.chat.CompletionLimit(defaultMaxTokens),
	})
	if err != nil {
		return err
	}
	c.x.observe("begin", started)
	if recorded != nil {
		return c.replay(recorded)
	}
	c.turn = turn
	if !turn.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, turn.Deadline)
		defer cancel()
	}
	request, err := json.Marshal(c.newMessages)
	if err != nil {
		c.abandon(ctx, 0)
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0, "encoding the messages: %v", err)
	}
	if err := c.prepare(); err != nil {
		c.abandon(ctx, 0)
		return err
	}
	res, err := c.runWithRetries(ctx)
	if err != nil {
		c.abandon(ctx, c.spentOnFailure())
		return err
	}
	return c.commit(ctx, request, res)
}

// prepare prepends the history to the new messages and limits the completion to the budget.
func (c *modelCall) prepare() error {
	var all []json.RawMessage
	for _, t := range c.turn.History {
		var msgs []json.RawMessage
		if err := json.Unmarshal(t.Request, &msgs); err != nil {
			return verdict.Refuse(http.StatusInternalServerError, verdict.ReasonInternal, 0, "the recorded history cannot be decoded")
		}
		all = append(append(all, msgs...), json.RawMessage(t.Response))
	}
	c.chat.Messages = append(all, c.newMessages...)
	c.chat.MaxTokens = c.turn.MaxTokens
	c.chat.MaxCompletionTokens = 0
	c.chat.PromptCacheKey = c.req.Program
	return nil
}

// commit records the turn, even if the caller has disconnected, and only then ends the response.
func (c *modelCall) commit(ctx context.Context, request []byte, res engine.Result) error {
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	head, err := c.turn.Commit(ctx, program.EngineResponse{
		Request: request, Message: string(res.Message.Marshal()), FinishReason: res.FinishReason, PromptTokens: res.Usage.PromptTokens,
		CachedTokens: res.Usage.PromptTokensDetails.CachedTokens, CompletionTokens: res.Usage.CompletionTokens,
	})
	if err != nil {
		return err
	}
	c.x.observe("commit", started)
	return c.finish(res, head)
}

// finish emits the message, unless it was streamed, and the End event.
func (c *modelCall) finish(res engine.Result, head string) error {
	if !c.chat.Stream {
		if err := c.emit(startEvent(http.StatusOK, "application/json", c.chat.Model)); err != nil {
			return err
		}
		if err := c.emit(messageEvent(res.Message.AsDelta())); err != nil {
			return err
		}
	}
	return c.emit(endEvent(&peerv1.End{
		Head: head, FinishReason: res.FinishReason, PromptTokens: res.Usage.PromptTokens,
		CachedTokens: res.Usage.PromptTokensDetails.CachedTokens, CompletionTokens: res.Usage.CompletionTokens,
	}))
}

// replay answers a repeated request with the recorded turn.
func (c *modelCall) replay(t *program.Turn) error {
	if err := c.emit(startEvent(http.StatusOK, "application/json", c.chat.Model)); err != nil {
		return err
	}
	var m engine.Message
	if err := json.Unmarshal([]byte(t.Response), &m); err != nil {
		return verdict.Fail(http.StatusInternalServerError, verdict.ReasonInternal, "the recorded answer cannot be decoded")
	}
	if err := c.emit(messageEvent(m.AsDelta())); err != nil {
		return err
	}
	return c.emit(endEvent(&peerv1.End{
		Head: t.Head, FinishReason: t.FinishReason, PromptTokens: t.PromptTokens, CachedTokens: t.CachedTokens,
		CompletionTokens: t.CompletionTokens, Replayed: true,
	}))
}

func (c *modelCall) abandon(ctx context.Context, spent int64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	c.turn.Abandon(ctx, spent)
}

// spentOnFailure returns the whole reservation once the call may have reached an engine, since its token usage is
// unknown.
func (c *modelCall) spentOnFailure() int64 {
	if !c.written {
		return 0
	}
	return c.turn.Reserved
}

// runWithRetries sends the call to engines until one returns a complete response. A model call may be retried as long
// as no part of a response was sent to the caller.
func (c *modelCall) runWithRetries(ctx context.Context) (engine.Result, error) {
	for n := 1; ; n++ {
		res, err := c.attempt(ctx)
		if err == nil {
			return res, nil
		}
		e := verdict.From(err)
		c.lastVerdict = e.Verdict
		if e.Verdict != verdict.NotRun {
			c.written = true
		}
		if n == maxModelAttempts || !c.mayRetry(ctx, e) {
			return engine.Result{}, verdictAfterWrite(c.written, e)
		}
		c.x.retries.WithLabelValues(string(e.Reason)).Inc()
	}
}

func (c *modelCall) mayRetry(ctx context.Context, e *verdict.Error) bool {
	if ctx.Err() != nil || c.emitted || !e.Verdict.RetrySafe(true) {
		return false
	}
	switch e.Reason {
	case verdict.ReasonBackendFailed, verdict.ReasonBackendSilent, verdict.ReasonTruncated,
		verdict.ReasonMismatchedResponse, verdict.ReasonNoBackend:
		return len(c.failedEngines) > 0
	}
	return false
}

// attempt waits for a permit and calls the engine that it names.
func (c *modelCall) attempt(ctx context.Context) (engine.Result, error) {
	id := uuid.NewString()
	queuedAt := time.Now()
	permit, err := c.x.deps.Admitter.Admit(ctx, c.keeperCall(id))
	if err != nil {
		return engine.Result{}, err
	}
	c.x.observe("queue", queuedAt)
	c.x.attempts.Inc()
	chat := *c.chat
	chat.RequestID = id
	firstSeen := false
	sentAt := time.Now()
	res, err := c.x.deps.BackendClient.Chat(ctx, permit.Engine, chat, func(part *engine.Message) error {
		if !firstSeen {
			firstSeen = true
			c.x.observe("first_token", sentAt)
		}
		permit.RecordProgress()
		return c.emitDelta(part)
	})
	permit.Done(keeperOutcome(res, err))
	if err != nil {
		c.failedEngines = append(c.failedEngines, permit.Engine)
		return engine.Result{}, err
	}
	c.x.observe("engine", sentAt)
	return res, nil
}

// emitDelta emits a part of the message if the caller asked for a stream.
func (c *modelCall) emitDelta(part *engine.Message) error {
	if !c.chat.Stream {
		return nil
	}
	if !c.emitted {
		c.emitted = true
		if err := c.emit(startEvent(http.StatusOK, "text/event-stream", c.chat.Model)); err != nil {
			return err
		}
	}
	return c.emit(messageEvent(part))
}

func (c *modelCall) keeperCall(id string) keeper.Call {
	call := keeper.Call{Team: c.req.Account.Team, Model: c.chat.Model, Call: framework.Call{
		ID: id, Program: c.req.Program, Account: c.req.Account.Name, Weight: c.req.Account.Weight,
		NewTokens: engine.MaxPromptTokens(c.newMessages) / bytesPerToken, ExpectedOutput: c.chat.MaxTokens,
		FailedEngines: c.failedEngines,
		PriorVerdict:  c.lastVerdict, Repeatable: true,
	}}
	if c.turn == nil {
		call.Program = id
		return call
	}
	call.Root = c.turn.Root
	call.CompletedTurns = len(c.turn.History)
	call.AttainedService = c.turn.SpentTokens
	call.PrefixTokens = c.turn.HistoryTokens
	call.Deadline = c.turn.Deadline
	return call
}

func keeperOutcome(res engine.Result, err error) keeper.Outcome {
	if err == nil {
		return keeper.Outcome{
			Kind: framework.OK, PromptTokens: res.Usage.PromptTokens,
			CachedTokens: res.Usage.PromptTokensDetails.CachedTokens, CompletionTokens: res.Usage.CompletionTokens,
		}
	}
	switch verdict.From(err).Reason {
	case verdict.ReasonBackendSilent:
		return keeper.Outcome{Kind: framework.Silent}
	case verdict.ReasonBackendFailed, verdict.ReasonTruncated, verdict.ReasonMismatchedResponse, verdict.ReasonNoBackend:
		return keeper.Outcome{Kind: framework.Failed}
	}
	return keeper.Outcome{Kind: framework.Cancelled}
}

// messageEvent returns the event for a part of the assistant's message.
func messageEvent(part *engine.Message) *peerv1.CallEvent {
	d := &peerv1.Delta{Data: []byte(part.Content)}
	if len(part.ToolCalls) > 0 {
		d.ToolCalls = (&engine.Message{ToolCalls: part.ToolCalls}).Marshal()
	}
	return &peerv1.CallEvent{Event: &peerv1.CallEvent_Delta{Delta: d}}
}
