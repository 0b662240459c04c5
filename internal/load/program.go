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
	connectPause = 50 * time.Millisecond
	// repeatPause is the pause before a call that may have run is sent again.
	repeatPause = 200 * time.Millisecond
	// maxEffectTries bounds how often a service call with an unknown outcome is sent again.
	maxEffectTries = 4
	// endTimeout bounds the end of a program whose deadline has passed.
	endTimeout = 5 * time.Second
)

// execution is one program under way.
type execution struct {
	c    *client
	p    *workload.Program
	r    *rand.Rand
	id   string
	head string
	// messages is the conversation as the caller knows it; tokens is its length.
	messages []engine.Message
	tokens   int
}

func newExecution(c *client, p *workload.Program) *execution {
	return &execution{c: c, p: p, r: rand.New(rand.NewPCG(xxhash.Sum64String(p.Name), 0))}
}

// run runs the program until its end or deadline. It returns nil if every turn was answered in time.
func (x *execution) run(ctx context.Context, parent string) *verdict.Error {
	if err := x.create(ctx, parent); err != nil {
		return err
	}
	defer x.c.background.Go(func() { x.end(ctx) })
	for i := range x.p.Turns {
		if err := x.turn(ctx, i); err != nil {
			return err
		}
		if err := x.afterTurn(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// retry sends a call until it is answered whole, it is refused for good, or the program's deadline has passed. A refused
// call comes back after the time that the refusal names; one that may have run is sent again as it was.
func (x *execution) retry(ctx context.Context, q request) (answer, *verdict.Error) {
	q.account, q.dc, q.since = x.p.Account, x.p.DataCentre, time.Now()
	for {
		a := x.c.do(ctx, x.r, q)
		if a.whole {
			return a, nil
		}
		wait := repeatPause
		if a.err.RetryAfter > 0 {
			wait = a.err.RetryAfter
		}
		final := a.err.Verdict == verdict.Ran || (a.err.Verdict == verdict.NotRun && a.err.RetryAfter == 0)
		if final || !pause(ctx, wait) {
			return a, a.err
		}
	}
}

// createBody is the body of POST /v1/programs.
type createBody struct {
	Deadline time.Time `json:"deadline"`
	Parent   string    `json:"parent,omitempty"`
}

func (x *execution) create(ctx context.Context, parent string) *verdict.Error {
	deadline, _ := ctx.Deadline()
	a, err := x.retry(ctx, request{
		kind: report.KindCreate, method: http.MethodPost, path: "/v1/programs", body: createBody{Deadline: deadline, Parent: parent},
	})
	if err != nil {
		return err
	}
	x.id, x.head = a.header.Get(commands.HeaderProgram), a.header.Get(commands.HeaderHead)
	return nil
}

func (x *execution) turn(ctx context.Context, i int) *verdict.Error {
	content, output := x.p.Content(i), x.p.Turns[i].Output
	message := engine.Message{Role: "user", Content: content}
	a, err := x.retry(ctx, request{
		kind: report.KindTurn, method: http.MethodPost, path: "/v1/chat/completions", history: x.tokens,
		header: map[string]string{commands.HeaderProgram: x.id, commands.HeaderHead: x.head},
		body: engine.ChatRequest{
			Model: x.c.target.Model, Stream: true, MaxTokens: output, Messages: []engine.Message{message},
		},
	})
	if err != nil {
		x.checkFailure(err)
		return err
	}
	x.messages = append(x.messages, message)
	x.tokens += workload.MessageTokens(content)
	x.checkAnswer(&a, i)
	x.head = a.head
	x.messages = append(x.messages, engine.Message{Role: "assistant", Content: a.text})
	x.tokens += workload.MessageTokens(a.text)
	return nil
}

// checkAnswer compares the answer with the one that the stand-in gives to the whole conversation.
func (x *execution) checkAnswer(a *answer, i int) {
	if want := engine.AnswerText(x.messages, x.p.Turns[i].Output); a.text != want {
		x.c.rec.Violation(report.ViolationAnswer, "%s turn %d: answer %.40q, want %.40q", x.id, i, a.text, want)
	}
	if a.head == "" || a.head == x.head {
		x.c.rec.Violation(report.ViolationOrder, "%s turn %d: no new head", x.id, i)
	}
	if int(a.usage.PromptTokens) != x.tokens {
		x.c.rec.Violation(report.ViolationHistory, "%s turn %d: %d prompt tokens, want %d", x.id, i, a.usage.PromptTokens, x.tokens)
	}
}

// checkFailure finds failures that mean that the program's record is not what its caller was told.
func (x *execution) checkFailure(err *verdict.Error) {
	switch err.Reason {
	case verdict.ReasonWrongHead, verdict.ReasonUnknownProgram, verdict.ReasonProgramEnded:
		x.c.rec.Violation(report.ViolationHistory, "%s: %v", x.id, err)
	}
}

// afterTurn does what an agent does with an answer: it runs sub-agents, calls a service, or waits for a tool.
func (x *execution) afterTurn(ctx context.Context, i int) *verdict.Error {
	t := &x.p.Turns[i]
	if t.Effect && x.c.target.EffectPath != "" {
		x.effect(ctx, fmt.Sprintf("%s-%d", x.p.Name, i))
	}
	if len(t.SubAgents) == 0 {
		if !pause(ctx, t.Pause) {
			return verdict.Refuse(0, verdict.ReasonDeadline, 0, "deadline")
		}
		return nil
	}
	errs := make([]*verdict.Error, len(t.SubAgents))
	var running sync.WaitGroup
	for j, sub := range t.SubAgents {
		running.Go(func() { errs[j] = newExecution(x.c, sub).run(ctx, x.id) })
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// effect calls the service that must not be repeated. An unknown outcome is asked for again under the same key.
func (x *execution) effect(ctx context.Context, key string) {
	q := request{
		account: x.p.Account, dc: x.p.DataCentre, since: time.Now(),
		kind: report.KindEffect, method: http.MethodPost, path: x.c.target.EffectPath,
		header: map[string]string{commands.HeaderIdempotencyKey: key}, body: service.EffectRequest{Key: key},
	}
	outcome := report.Effect{Key: key, Outcome: verdict.NotRun}
	for range maxEffectTries {
		a := x.c.do(ctx, x.r, q)
		outcome.Note(a.whole, a.err)
		if a.whole || a.err.Verdict == verdict.Ran || !pause(ctx, max(repeatPause, a.err.RetryAfter)) {
			break
		}
	}
	x.c.rec.Effect(outcome)
}

// end tells the site that the program is over.
func (x *execution) end(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	if _, err := x.retry(ctx, request{kind: report.KindEnd, method: http.MethodDelete, path: "/v1/programs/" + x.id}); err == nil {
		x.c.rec.Ended(x.id, time.Now())
	}
}

// pause reports whether ctx outlasts d.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
