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
	// ReasonConnectionError is the reason recorded for a call that failed with a connection error.
	ReasonConnectionError verdict.Reason = "connection"
	// reasonTruncated is the reason recorded for a stream that ended without its end marker.
	reasonTruncated verdict.Reason = "not_whole"
)

// Target describes how callers reach a running site.
type Target struct {
	// Callers holds the addresses of each data centre's instances.
	Callers [][]string
	// Keys holds the API key of each account. The key under "" is used for every account without one of its own.
	Keys  map[string]string
	Model string
	// EffectPath is the route of the non-idempotent service. If it is empty, programs call no service.
	EffectPath string
}

// client sends requests and records them.
type client struct {
	http     *http.Client
	target   Target
	recorder *report.Recorder
	roaming  float64
	// background tracks the requests that end programs; callers do not wait for them.
	background sync.WaitGroup
}

func newClient(t Target, rec *report.Recorder, roaming float64) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePerServer, DisableCompression: true}
	return &client{http: &http.Client{Transport: transport}, target: t, recorder: rec, roaming: roaming}
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
	// firstAttempt is the time of the first attempt; the time to the first token is measured from it.
	firstAttempt time.Time
	// cacheableTokens is the number of prompt tokens that an engine processed in earlier turns.
	cacheableTokens int
}

// response is the outcome of a request.
type response struct {
	address      string
	status       int
	header       http.Header
	body         []byte
	text         string
	head         string
	usage        engine.Usage
	complete     bool
	replayed     bool
	firstTokenAt time.Time
	err          *verdict.Error
}

// pickInstance picks an instance as a load balancer does: usually in the caller's own data centre, and in a random one
// for the roaming fraction of calls.
func (c *client) pickInstance(r *rand.Rand, dc int) string {
	if r.Float64() < c.roaming {
		dc = r.IntN(len(c.target.Callers))
	}
	addrs := c.target.Callers[dc%len(c.target.Callers)]
	return addrs[r.IntN(len(addrs))]
}

func (c *client) key(account string) string {
	if k, ok := c.target.Keys[account]; ok {
		return k
	}
	return c.target.Keys[""]
}

// do sends a request, reads the response and records the call.
func (c *client) do(ctx context.Context, r *rand.Rand, q request) response {
	sent := time.Now()
	within, left := c.recorder.TakeToken(q.account, sent)
	resp := c.send(ctx, r, q)
	call := report.Call{
		Account: q.account, Kind: q.kind, Address: resp.address, Sent: sent, Done: time.Now(),
		WithinRate: within, TokensLeft: left, Complete: resp.complete, Status: resp.status,
		PromptTokens: int(resp.usage.PromptTokens), CachedTokens: int(resp.usage.PromptTokensDetails.CachedTokens),
		CompletionTokens: int(resp.usage.CompletionTokens), CacheableTokens: q.cacheableTokens, Replayed: resp.replayed,
	}
	if !resp.firstTokenAt.IsZero() {
		call.FirstToken = resp.firstTokenAt.Sub(q.firstAttempt)
	}
	if resp.err != nil {
		call.Reason, call.Verdict = string(resp.err.Reason), resp.err.Verdict.String()
	}
	c.recorder.RecordCall(call)
	return resp
}

// send sends the request to one instance and, like a load balancer, tries another one if it cannot connect.
func (c *client) send(ctx context.Context, r *rand.Rand, q request) response {
	body, err := json.Marshal(q.body)
	if err != nil {
		return response{err: verdict.Refuse(0, verdict.ReasonMalformed, 0, "%v", err)}
	}
	for {
		addr := c.pickInstance(r, q.dc)
		resp, connected := c.sendTo(ctx, addr, q, body)
		resp.address = addr
		if connected || ctx.Err() != nil {
			return resp
		}
		sleep(ctx, connectRetryDelay)
	}
}

// sendTo sends the request to one instance. connected is false if the connection could not be established.
func (c *client) sendTo(ctx context.Context, addr string, q request, body []byte) (resp response, connected bool) {
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+addr+q.path, bytes.NewReader(body))
	if err != nil {
		return response{err: verdict.Refuse(0, verdict.ReasonMalformed, 0, "%v", err)}, true
	}
	req.Header.Set("Authorization", "Bearer "+c.key(q.account))
	req.Header.Set("Content-Type", "application/json")
	for k, v := range q.header {
		req.Header.Set(k, v)
	}
	httpResp, err := c.http.Do(req)
	if err != nil {
		var op *net.OpError
		dial := errors.As(err, &op) && op.Op == "dial"
		return response{err: connectionError(ctx, err)}, !dial
	}
	defer httpResp.Body.Close()
	resp = response{status: httpResp.StatusCode, header: httpResp.Header, head: httpResp.Header.Get(commands.HeaderHead)}
	resp.replayed = httpResp.Header.Get(commands.HeaderReplayed) != ""
	if strings.HasPrefix(httpResp.Header.Get("Content-Type"), "text/event-stream") {
		resp.readStream(ctx, httpResp.Body)
	} else {
		resp.readBody(ctx, httpResp.Body)
	}
	return resp, true
}

func connectionError(ctx context.Context, err error) *verdict.Error {
	if ctx.Err() != nil {
		return verdict.Fail(0, verdict.ReasonDeadline, "%v", err)
	}
	return verdict.Fail(0, ReasonConnectionError, "%v", err)
}

func (resp *response) readBody(ctx context.Context, r io.Reader) {
	var err error
	if resp.body, err = io.ReadAll(r); err != nil {
		resp.err = connectionError(ctx, err)
		return
	}
	if resp.status < http.StatusMultipleChoices {
		resp.complete = true
		return
	}
	var p frontend.Problem
	if err := json.Unmarshal(resp.body, &p); err != nil || p.Verdict == "" {
		resp.err = verdict.Fail(resp.status, verdict.ReasonInternal, "no problem document")
		return
	}
	resp.err = &verdict.Error{
		Verdict: verdict.Parse(p.Verdict), Reason: verdict.Reason(p.Reason), Status: resp.status, Detail: p.Detail,
		RetryAfter: retryAfter(resp.header),
	}
}

// retryAfter parses the Retry-After header, given in seconds (RFC 9110).
func retryAfter(h http.Header) time.Duration {
	seconds, _ := strconv.Atoi(h.Get("Retry-After"))
	return time.Duration(seconds) * time.Second
}

// streamEvent has the fields of every kind of event in a stream.
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

func (resp *response) readStream(ctx context.Context, r io.Reader) {
	var text strings.Builder
	for ev, err := range sse.Read(r, nil) {
		if err != nil {
			resp.err = connectionError(ctx, err)
			return
		}
		if ev.Data == endMarker {
			resp.complete, resp.text = true, text.String()
			return
		}
		var e streamEvent
		if json.Unmarshal([]byte(ev.Data), &e) != nil {
			continue
		}
		if e.Error != nil {
			resp.err = &verdict.Error{
				Verdict: verdict.Parse(e.Error.Verdict), Reason: verdict.Reason(e.Error.Type), Status: resp.status,
				RetryAfter: time.Duration(e.Error.RetryAfterSeconds * float64(time.Second)), Detail: e.Error.Message,
			}
			return
		}
		resp.applyEvent(&e, &text)
	}
	if !resp.complete && resp.err == nil {
		resp.err = verdict.Fail(resp.status, reasonTruncated, "stream ended without the end marker")
	}
}

func (resp *response) applyEvent(e *streamEvent, text *strings.Builder) {
	for _, ch := range e.Choices {
		if ch.Delta.Content != "" && resp.firstTokenAt.IsZero() {
			resp.firstTokenAt = time.Now()
		}
		text.WriteString(ch.Delta.Content)
	}
	if e.Usage != nil {
		resp.usage = *e.Usage
	}
	if e.Berylpond.Head != "" {
		resp.head, resp.replayed = e.Berylpond.Head, e.Berylpond.Replayed
	}
}
