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

// completion is a response of the OpenAI chat completions API with the additional field "berylpond".
type completion struct {
	engine.Chunk
	Berylpond *turnInfo `json:"berylpond,omitempty"`
}

// turnInfo holds what the caller of a program needs for its next call.
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
	a := &chatResponse{c: c, req: req, model: chat.Model, stream: chat.Stream, created: time.Now().Unix()}
	if err := h.router.Call(c.Request().Context(), req, a.handleEvent); err != nil {
		return a.fail(c.Request().Context(), err)
	}
	return nil
}

// chatResponse writes the events of one call to the caller.
type chatResponse struct {
	c       *echo.Context
	req     *peerv1.CallRequest
	model   string
	stream  bool
	created int64
	started bool
	// message accumulates the response for a caller that does not stream.
	message engine.Message
}

func (a *chatResponse) handleEvent(ev *peerv1.CallEvent) error {
	switch e := ev.Event.(type) {
	case *peerv1.CallEvent_Delta:
		delta, err := decodeDelta(e.Delta)
		if err != nil {
			return err
		}
		if !a.stream {
			a.message.AppendDelta(delta)
			return nil
		}
		return a.sendDelta(delta)
	case *peerv1.CallEvent_End:
		if !a.stream {
			return a.sendCompletion(e.End)
		}
		return a.sendEnd(e.End)
	}
	return nil
}

func (a *chatResponse) chunk(object string) completion {
	return completion{Chunk: engine.Chunk{ID: "chatcmpl-" + a.req.RequestId, Object: object, Created: a.created, Model: a.model,
		Choices: []engine.Choice{}}}
}

// decodeDelta decodes a delta of the assistant's message.
func decodeDelta(d *peerv1.Delta) (*engine.Message, error) {
	delta := &engine.Message{}
	if len(d.ToolCalls) > 0 {
		if err := json.Unmarshal(d.ToolCalls, delta); err != nil {
			return nil, verdict.Fail(http.StatusBadGateway, verdict.ReasonInternal, "a part of the answer cannot be decoded")
		}
	}
	delta.Content = string(d.Data)
	return delta, nil
}

func (a *chatResponse) sendDelta(delta *engine.Message) error {
	ch := a.chunk("chat.completion.chunk")
	if !a.started {
		delta.Role = "assistant"
	}
	ch.Choices = []engine.Choice{{Delta: delta}}
	return a.send(ch)
}

func (a *chatResponse) sendEnd(end *peerv1.End) error {
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

func (a *chatResponse) sendCompletion(end *peerv1.End) error {
	response := a.chunk("chat.completion")
	a.message.Role = "assistant"
	response.Choices = []engine.Choice{{Message: &a.message, FinishReason: &end.FinishReason}}
	response.Usage = usageOf(end)
	response.Berylpond = a.info(end)
	header := a.c.Response().Header()
	if end.Head != "" {
		header.Set(HeaderHead, end.Head)
	}
	if end.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	return a.c.JSON(http.StatusOK, response)
}

func (a *chatResponse) info(end *peerv1.End) *turnInfo {
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

func (a *chatResponse) send(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return a.write("data: " + string(b) + "\n\n")
}

func (a *chatResponse) write(event string) error {
	w := a.c.Response()
	if !a.started {
		a.started = true
		w.Header().Set(echo.HeaderContentType, "text/event-stream")
		w.Header().Set(echo.HeaderCacheControl, "no-store")
		w.WriteHeader(http.StatusOK)
	}
	if _, err := w.Write([]byte(event)); err != nil {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonCancelled, Status: http.StatusBadGateway, Detail: "the caller has gone"}
	}
	return http.NewResponseController(w).Flush()
}

// fail ends a stream that has started with an error event and without the end marker, so that callers do not treat it
// as complete.
func (a *chatResponse) fail(ctx context.Context, err error) error {
	e := withCause(ctx, err)
	if !a.started {
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

// streamError is the content of the last event of a failed stream.
type streamError struct {
	Message           string  `json:"message"`
	Type              string  `json:"type"`
	Verdict           string  `json:"verdict"`
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
}

// withCause returns the verdict of err. If this instance canceled the request, for example because its key was
// withdrawn, the result has the reason, status and detail of that cause.
func withCause(ctx context.Context, err error) *verdict.Error {
	e := *verdict.From(err)
	cause, ok := context.Cause(ctx).(*verdict.Error)
	if ok {
		e.Reason, e.Status, e.Detail, e.RetryAfter = cause.Reason, cause.Status, cause.Detail, cause.RetryAfter
	}
	return &e
}
