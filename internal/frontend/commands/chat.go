package commands

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	"github.com/berylpond/berylpond/internal/engine"
	"github.com/berylpond/berylpond/internal/executor"
	"github.com/berylpond/berylpond/internal/frontend/request"
	"github.com/berylpond/berylpond/internal/verdict"
)

// completion is an answer in the form that callers' libraries expect. Source: the OpenAI chat completions interface,
// with the member "berylpond" added.
type completion struct {
	engine.Chunk
	Berylpond *turnInfo `json:"berylpond,omitempty"`
}

// turnInfo tells a program's caller what to name in its next call.
type turnInfo struct {
	Program  string `json:"program"`
	Head     string `json:"head"`
	Replayed bool   `json:"replayed,omitempty"`
}

// Chat serves POST /v1/chat/completions.
func (h *Handlers) Chat(c *echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	chat, refused := engine.ParseChat(body)
	if refused != nil {
		return refused
	}
	key, err := idempotencyKey(c)
	if err != nil {
		return err
	}
	req := &peerv1.CallRequest{
		RequestId: request.ID(c), Account: request.Account(c), Kind: executor.KindModel,
		Program: c.Request().Header.Get(HeaderProgram), Head: c.Request().Header.Get(HeaderHead),
		IdempotencyKey: key, Body: body,
	}
	if req.Program != "" && req.Head == "" {
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0,
			"a call of a program must name the head that it follows in %s", HeaderHead)
	}
	a := &chatAnswer{c: c, req: req, model: chat.Model, stream: chat.Stream, created: time.Now().Unix()}
	if err := h.router.Call(c.Request().Context(), req, a.take); err != nil {
		return a.fail(c.Request().Context(), err)
	}
	return nil
}

// chatAnswer writes the events of one answer to the caller.
type chatAnswer struct {
	c       *echo.Context
	req     *peerv1.CallRequest
	model   string
	stream  bool
	created int64
	begun   bool
	// message collects the answer of a caller that does not stream.
	message engine.Message
}

func (a *chatAnswer) take(ev *peerv1.CallEvent) error {
	switch e := ev.Event.(type) {
	case *peerv1.CallEvent_Delta:
		part, err := messagePart(e.Delta)
		if err != nil {
			return err
		}
		if !a.stream {
			a.message.Add(part)
			return nil
		}
		return a.sendPart(part)
	case *peerv1.CallEvent_End:
		if !a.stream {
			return a.sendWhole(e.End)
		}
		return a.sendEnd(e.End)
	}
	return nil
}

func (a *chatAnswer) chunk(object string) completion {
	return completion{Chunk: engine.Chunk{ID: "chatcmpl-" + a.req.RequestId, Object: object, Created: a.created, Model: a.model,
		Choices: []engine.Choice{}}}
}

// messagePart decodes a part of the assistant's message.
func messagePart(d *peerv1.Delta) (*engine.Message, error) {
	part := &engine.Message{}
	if len(d.ToolCalls) > 0 {
		if err := json.Unmarshal(d.ToolCalls, part); err != nil {
			return nil, verdict.Fail(http.StatusBadGateway, verdict.ReasonInternal, "a part of the answer cannot be decoded")
		}
	}
	part.Content = string(d.Data)
	return part, nil
}

func (a *chatAnswer) sendPart(part *engine.Message) error {
	ch := a.chunk("chat.completion.chunk")
	if !a.begun {
		part.Role = "assistant"
	}
	ch.Choices = []engine.Choice{{Delta: part}}
	return a.send(ch)
}

func (a *chatAnswer) sendEnd(end *peerv1.End) error {
	last := a.chunk("chat.completion.chunk")
	last.Choices = []engine.Choice{{Delta: &engine.Message{}, FinishReason: &end.FinishReason}}
	if err := a.send(last); err != nil {
		return err
	}
	usage := a.chunk("chat.completion.chunk")
	usage.Usage = usageOf(end)
	usage.Berylpond = a.info(end)
	if err := a.send(usage); err != nil {
		return err
	}
	return a.write("data: [DONE]\n\n")
}

func (a *chatAnswer) sendWhole(end *peerv1.End) error {
	whole := a.chunk("chat.completion")
	a.message.Role = "assistant"
	whole.Choices = []engine.Choice{{Message: &a.message, FinishReason: &end.FinishReason}}
	whole.Usage = usageOf(end)
	whole.Berylpond = a.info(end)
	header := a.c.Response().Header()
	if end.Head != "" {
		header.Set(HeaderHead, end.Head)
	}
	if end.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	return a.c.JSON(http.StatusOK, whole)
}

func (a *chatAnswer) info(end *peerv1.End) *turnInfo {
	if end.Head == "" {
		return nil
	}
	return &turnInfo{Program: a.req.Program, Head: end.Head, Replayed: end.Replayed}
}

func usageOf(end *peerv1.End) *engine.Usage {
	return &engine.Usage{
		PromptTokens: end.PromptTokens, CompletionTokens: end.CompletionTokens,
		TotalTokens:         end.PromptTokens + end.CompletionTokens,
		PromptTokensDetails: engine.PromptDetails{CachedTokens: end.CachedTokens},
	}
}

func (a *chatAnswer) send(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return a.write("data: " + string(b) + "\n\n")
}

func (a *chatAnswer) write(event string) error {
	w := a.c.Response()
	if !a.begun {
		a.begun = true
		w.Header().Set(echo.HeaderContentType, "text/event-stream")
		w.Header().Set(echo.HeaderCacheControl, "no-store")
		w.WriteHeader(http.StatusOK)
	}
	if _, err := w.Write([]byte(event)); err != nil {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonCancelled, Status: http.StatusBadGateway, Detail: "the caller has gone"}
	}
	return http.NewResponseController(w).Flush()
}

// fail ends a stream that has begun with an error event and without the end marker, so that it is not taken for whole.
func (a *chatAnswer) fail(ctx context.Context, err error) error {
	e := explain(ctx, err)
	if !a.begun {
		return e
	}
	b, merr := json.Marshal(map[string]any{"error": streamError{
		Message: e.Detail, Type: string(e.Reason), Verdict: e.Verdict.String(), RetryAfterSeconds: e.RetryAfter.Seconds(),
	}})
	if merr == nil {
		_ = a.write("data: " + string(b) + "\n\n")
	}
	return e
}

// streamError is the last event of a stream that failed.
type streamError struct {
	Message           string  `json:"message"`
	Type              string  `json:"type"`
	Verdict           string  `json:"verdict"`
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
}

// explain gives the cause of a request that was ended from here, such as a withdrawn key, with the verdict of the call.
func explain(ctx context.Context, err error) *verdict.Error {
	e := *verdict.From(err)
	cause, ok := context.Cause(ctx).(*verdict.Error)
	if ok {
		e.Reason, e.Status, e.Detail, e.RetryAfter = cause.Reason, cause.Status, cause.Detail, cause.RetryAfter
	}
	return &e
}
