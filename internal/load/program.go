package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/berylpond/berylpond/internal/fakes/engine"
	"github.com/berylpond/berylpond/internal/fakes/service"
	"github.com/berylpond/berylpond/internal/frontend/commands"
	"github.com/berylpond/berylpond/internal/load/report"
	"github.com/berylpond/berylpond/internal/load/workload"
	"github.com/berylpond/berylpond/internal/verdict"
)

const (
	connectRetryDelay = 50 * time.Millisecond
	// retryDelay is the delay before a call that may have run is sent again, if the response has no longer Retry-After.
	retryDelay = 200 * time.Millisecond
	// maxEffectAttempts is the maximum number of attempts of a non-idempotent service call.
	maxEffectAttempts = 4
	// endTimeout is the timeout of ending a program; it also applies after the program's deadline.
	endTimeout = 5 * time.Second
)

// execution is the state of a program in progress.
type execution struct {
	client  *client
	program *workload.Program
	rng     *rand.Rand
	id      string
	head    string
	// messages is the conversation from the caller's view and tokens its length.
	messages []engine.Message
	tokens   int
}

func newExecution(c *client, p *workload.Program) *execution {
	return &execution{client: c, program: p, rng: rand.New(rand.NewPCG(xxhash.Sum64String(p.Name), 0))}
}

// run runs the program until its end or deadline. It returns nil if every turn completed in time.
func (x *execution) run(ctx context.Context, parent string) *verdict.Error {
	if err := x.create(ctx, parent); err != nil {
		return err
	}
	defer x.client.background.Go(func() { x.end(ctx) })
	for i := range x.program.Turns {
		if err := x.turn(ctx, i); err != nil {
			return err
		}
		if err := x.afterTurn(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// callWithRetry sends a call until it gets a complete response or a permanent refusal, or until the program's deadline.
// A refused call is retried after the Retry-After of the refusal. A call that may have run is repeated unchanged.
func (x *execution) callWithRetry(ctx context.Context, q request) (response, *verdict.Error) {
	q.account, q.dc, q.firstAttempt = x.program.Account, x.program.DataCentre, time.Now()
	for {
		resp := x.client.do(ctx, x.rng, q)
		if resp.complete {
			return resp, nil
		}
		wait := retryDelay
		if resp.err.RetryAfter > 0 {
			wait = resp.err.RetryAfter
		}
		final := resp.err.Verdict == verdict.Ran || (resp.err.Verdict == verdict.NotRun && resp.err.RetryAfter == 0)
		if final || !sleep(ctx, wait) {
			return resp, resp.err
		}
	}
}

// createProgramBody is the body of POST /v1/programs.
type createProgramBody struct {
	Deadline time.Time `json:"deadline"`
	Parent   string    `json:"parent,omitempty"`
}

func (x *execution) create(ctx context.Context, parent string) *verdict.Error {
	deadline, _ := ctx.Deadline()
	resp, err := x.callWithRetry(ctx, request{
		kind: report.KindCreate, method: http.MethodPost, path: "/v1/programs", body: createProgramBody{Deadline: deadline, Parent: parent},
	})
	if err != nil {
		return err
	}
	x.id, x.head = resp.header.Get(commands.HeaderProgram), resp.header.Get(commands.HeaderHead)
	return nil
}

func (x *execution) turn(ctx context.Context, i int) *verdict.Error {
	content, output := x.program.Content(i), x.program.Turns[i].OutputTokens
	message := engine.Message{Role: "user", Content: content}
	resp, err := x.callWithRetry(ctx, request{
		kind: report.KindTurn, method: http.MethodPost, path: "/v1/chat/completions", cacheableTokens: x.tokens,
		header: map[string]string{commands.HeaderProgram: x.id, commands.HeaderHead: x.head},
		body: engine.ChatRequest{
			Model: x.client.target.Model, Stream: true, MaxTokens: output, Messages: []engine.Message{message},
		},
	})
	if err != nil {
		x.checkFailure(err)
		return err
	}
	x.messages = append(x.messages, message)
	x.tokens += workload.MessageTokens(content)
	x.checkResponse(&resp, i)
	x.head = resp.head
	x.messages = append(x.messages, engine.Message{Role: "assistant", Content: resp.text})
	x.tokens += workload.MessageTokens(resp.text)
	return nil
}

// checkResponse compares the response with the one that the fake engine generates for the whole conversation.
func (x *execution) checkResponse(resp *response, i int) {
	if want := engine.ResponseText(x.messages, x.program.Turns[i].OutputTokens); resp.text != want {
		x.client.recorder.RecordViolation(report.ViolationResponse, "%s turn %d: answer %.40q, want %.40q", x.id, i,
			resp.text, want)
	}
	if resp.head == "" || resp.head == x.head {
		x.client.recorder.RecordViolation(report.ViolationOrder, "%s turn %d: no new head", x.id, i)
	}
	if int(resp.usage.PromptTokens) != x.tokens {
		x.client.recorder.RecordViolation(report.ViolationHistory, "%s turn %d: %d prompt tokens, want %d", x.id, i, resp.usage.PromptTokens, x.tokens)
	}
}

// checkFailure records a violation if the failure shows that the program's history differs from what its caller was
// told.
func (x *execution) checkFailure(err *verdict.Error) {
	switch err.Reason {
	case verdict.ReasonWrongHead, verdict.ReasonUnknownProgram, verdict.ReasonProgramEnded:
		x.client.recorder.RecordViolation(report.ViolationHistory, "%s: %v", x.id, err)
	}
}

// afterTurn simulates the agent's work between turns: a service call if the turn has one, then sub-agents or a pause
// for a tool.
func (x *execution) afterTurn(ctx context.Context, i int) *verdict.Error {
	t := &x.program.Turns[i]
	if t.ServiceCall && x.client.target.EffectPath != "" {
		x.callService(ctx, fmt.Sprintf("%s-%d", x.program.Name, i))
	}
	if len(t.SubAgents) == 0 {
		if !sleep(ctx, t.ThinkTime) {
			return verdict.Refuse(0, verdict.ReasonDeadline, 0, "deadline")
		}
		return nil
	}
	errs := make([]*verdict.Error, len(t.SubAgents))
	var running sync.WaitGroup
	for j, sub := range t.SubAgents {
		running.Go(func() { errs[j] = newExecution(x.client, sub).run(ctx, x.id) })
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// callService calls the non-idempotent service. It repeats the call with the same idempotency key until a response
// reports that the call ran, at most maxEffectAttempts times.
func (x *execution) callService(ctx context.Context, key string) {
	q := request{
		account: x.program.Account, dc: x.program.DataCentre, firstAttempt: time.Now(),
		kind: report.KindEffect, method: http.MethodPost, path: x.client.target.EffectPath,
		header: map[string]string{commands.HeaderIdempotencyKey: key}, body: service.EffectRequest{Key: key},
	}
	outcome := report.Effect{Key: key, Outcome: verdict.NotRun}
	for range maxEffectAttempts {
		resp := x.client.do(ctx, x.rng, q)
		outcome.AddResponse(resp.complete, resp.err)
		if resp.complete || resp.err.Verdict == verdict.Ran || !sleep(ctx, max(retryDelay, resp.err.RetryAfter)) {
			break
		}
	}
	x.client.recorder.RecordEffect(outcome)
}

// end ends the program on the site.
func (x *execution) end(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	if _, err := x.callWithRetry(ctx, request{kind: report.KindEnd, method: http.MethodDelete, path: "/v1/programs/" + x.id}); err == nil {
		x.client.recorder.RecordProgramEnd(x.id, time.Now())
	}
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
