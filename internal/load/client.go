package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/berylpond/berylpond/internal/engine"
	"github.com/berylpond/berylpond/internal/frontend"
	"github.com/berylpond/berylpond/internal/frontend/commands"
	"github.com/berylpond/berylpond/internal/load/report"
	"github.com/berylpond/berylpond/internal/verdict"
)

const (
	endMarker        = "[DONE]"
	maxIdlePerServer = 256
	// ReasonConnection is the reason of a call whose connection broke.
	ReasonConnection verdict.Reason = "connection"
	// reasonNotWhole is the reason of an answer without its end.
	reasonNotWhole verdict.Reason = "not_whole"
)

// Target is a running site as its callers see it.
type Target struct {
	// Callers holds the addresses of each data centre's instances.
	Callers [][]string
	// Keys holds the key of each account. That of "" is for all accounts without one.
	Keys  map[string]string
	Model string
	// EffectPath leads to the service that must not be repeated. Without it, programs call no service.
	EffectPath string
}

// client sends requests and records them.
type client struct {
	http    *http.Client
	target  Target
	rec     *report.Recorder
	roaming float64
	// background holds the ends of programs, for which their callers do not wait.
	background sync.WaitGroup
}

func newClient(t Target, rec *report.Recorder, roaming float64) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePerServer, DisableCompression: true}
	return &client{http: &http.Client{Transport: transport}, target: t, rec: rec, roaming: roaming}
}

// request is one request of a program.
type request struct {
	account string
	kind    report.Kind
	dc      int
	method  string
	path    string
	header  map[string]string
	body    any
	// since is when the caller began to try; the time to the first token counts from it.
	since time.Time
	// history is the part of the prompt that an engine had held before, in tokens.
	history int
}

// answer is what came back.
type answer struct {
	address  string
	status   int
	header   http.Header
	body     []byte
	text     string
	head     string
	usage    engine.Usage
	whole    bool
	replayed bool
	first    time.Time
	err      *verdict.Error
}

// address picks an instance as a balancer does: mostly one of the caller's own data centre.
func (c *client) address(r *rand.Rand, dc int) string {
	if r.Float64() < c.roaming {
		dc = r.IntN(len(c.target.Callers))
	}
	near := c.target.Callers[dc%len(c.target.Callers)]
	return near[r.IntN(len(near))]
}

func (c *client) key(account string) string {
	if k, ok := c.target.Keys[account]; ok {
		return k
	}
	return c.target.Keys[""]
}

// do sends a request, reads its answer and records both.
func (c *client) do(ctx context.Context, r *rand.Rand, q request) answer {
	sent := time.Now()
	within, left := c.rec.Send(q.account, sent)
	a := c.exchange(ctx, r, q)
	call := report.Call{
		Account: q.account, Kind: q.kind, Address: a.address, Sent: sent, Done: time.Now(), WithinRate: within, TokensLeft: left, Whole: a.whole, Status: a.status,
		Prompt: int(a.usage.PromptTokens), Cached: int(a.usage.PromptTokensDetails.CachedTokens),
		Completion: int(a.usage.CompletionTokens), History: q.history, Replayed: a.replayed,
	}
	if !a.first.IsZero() {
		call.FirstToken = a.first.Sub(q.since)
	}
	if a.err != nil {
		call.Reason, call.Verdict = string(a.err.Reason), a.err.Verdict.String()
	}
	c.rec.Call(call)
	return a
}

// exchange tries another instance where none can be connected to, as a balancer does.
func (c *client) exchange(ctx context.Context, r *rand.Rand, q request) answer {
	body, err := json.Marshal(q.body)
	if err != nil {
		return answer{err: verdict.Refuse(0, verdict.ReasonMalformed, 0, "%v", err)}
	}
	for {
		addr := c.address(r, q.dc)
		a, connected := c.once(ctx, addr, q, body)
		a.address = addr
		if connected || ctx.Err() != nil {
			return a
		}
		pause(ctx, connectPause)
	}
}

// once sends the request to one instance. connected is false when no connection came about.
func (c *client) once(ctx context.Context, addr string, q request, body []byte) (a answer, connected bool) {
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+addr+q.path, bytes.NewReader(body))
	if err != nil {
		return answer{err: verdict.Refuse(0, verdict.ReasonMalformed, 0, "%v", err)}, true
	}
	req.Header.Set("Authorization", "Bearer "+c.key(q.account))
	req.Header.Set("Content-Type", "application/json")
	for k, v := range q.header {
		req.Header.Set(k, v)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		var op *net.OpError
		dial := errors.As(err, &op) && op.Op == "dial"
		return answer{err: connectionError(ctx, err)}, !dial
	}
	defer resp.Body.Close()
	a = answer{status: resp.StatusCode, header: resp.Header, head: resp.Header.Get(commands.HeaderHead)}
	a.replayed = resp.Header.Get(commands.HeaderReplayed) != ""
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.readStream(ctx, resp.Body)
	} else {
		a.readBody(ctx, resp.Body)
	}
	return a, true
}

func connectionError(ctx context.Context, err error) *verdict.Error {
	if ctx.Err() != nil {
		return verdict.Fail(0, verdict.ReasonDeadline, "%v", err)
	}
	return verdict.Fail(0, ReasonConnection, "%v", err)
}

func (a *answer) readBody(ctx context.Context, r io.Reader) {
	var err error
	if a.body, err = io.ReadAll(r); err != nil {
		a.err = connectionError(ctx, err)
		return
	}
	if a.status < http.StatusMultipleChoices {
		a.whole = true
		return
	}
	var p frontend.Problem
	if err := json.Unmarshal(a.body, &p); err != nil || p.Verdict == "" {
		a.err = verdict.Fail(a.status, verdict.ReasonInternal, "no problem document")
		return
	}
	a.err = &verdict.Error{
		Verdict: verdict.Parse(p.Verdict), Reason: verdict.Reason(p.Reason), Status: a.status, Detail: p.Detail,
		RetryAfter: retryAfter(a.header),
	}
}

// retryAfter returns the time that the header names, in whole seconds as in RFC 9110.
func retryAfter(h http.Header) time.Duration {
	seconds, _ := strconv.Atoi(h.Get("Retry-After"))
	return time.Duration(seconds) * time.Second
}

// streamEvent is the union of what a stream's events hold.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage     *engine.Usage `json:"usage"`
	Berylpond struct {
		Head     string `json:"head"`
		Replayed bool   `json:"replayed"`
	} `json:"berylpond"`
	Error *struct {
		Message           string  `json:"message"`
		Type              string  `json:"type"`
		Verdict           string  `json:"verdict"`
		RetryAfterSeconds float64 `json:"retry_after_seconds"`
	} `json:"error"`
}

func (a *answer) readStream(ctx context.Context, r io.Reader) {
	var text strings.Builder
	for ev, err := range sse.Read(r, nil) {
		if err != nil {
			a.err = connectionError(ctx, err)
			return
		}
		if ev.Data == endMarker {
			a.whole, a.text = true, text.String()
			return
		}
		var e streamEvent
		if json.Unmarshal([]byte(ev.Data), &e) != nil {
			continue
		}
		if e.Error != nil {
			a.err = &verdict.Error{
				Verdict: verdict.Parse(e.Error.Verdict), Reason: verdict.Reason(e.Error.Type), Status: a.status,
				RetryAfter: time.Duration(e.Error.RetryAfterSeconds * float64(time.Second)), Detail: e.Error.Message,
			}
			return
		}
		a.takeEvent(&e, &text)
	}
	if !a.whole && a.err == nil {
		a.err = verdict.Fail(a.status, reasonNotWhole, "the stream ended without its end marker")
	}
}

func (a *answer) takeEvent(e *streamEvent, text *strings.Builder) {
	for _, ch := range e.Choices {
		if ch.Delta.Content != "" && a.first.IsZero() {
			a.first = time.Now()
		}
		text.WriteString(ch.Delta.Content)
	}
	if e.Usage != nil {
		a.usage = *e.Usage
	}
	if e.Berylpond.Head != "" {
		a.head, a.replayed = e.Berylpond.Head, e.Berylpond.Replayed
	}
}
