package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/berylpond/berylpond/internal/failpoint"
	"github.com/berylpond/berylpond/internal/verdict"
)

const (
	dialTimeout = time.Second
	// retryBackend is the time after which a call that met no backend server may be tried again.
	retryBackend = time.Second
	// endMarker closes a whole stream. Source: the OpenAI chat completions interface.
	endMarker = "[DONE]"
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// maxIdlePerBackend bounds the idle connections kept to one backend server.
	maxIdlePerBackend = 64
)

// errSilent is the cause of a call that made no progress in time.
var errSilent = errors.New("no progress in time")

// Timeouts bounds each phase of a call.
type Timeouts struct {
	// FirstToken bounds the wait from sending the request to the first event.
	FirstToken time.Duration
	// Progress bounds the wait between two events.
	Progress time.Duration
}

// DefaultTimeouts are used where the settings name none.
var DefaultTimeouts = Timeouts{FirstToken: 20 * time.Second, Progress: 5 * time.Second}

// Client calls backend servers. It is safe for concurrent use.
type Client struct {
	http     *http.Client
	timeouts Timeouts
}

// New returns a client with the given timeouts. Connections leave from the given address; nil lets the system choose.
func New(t Timeouts, from net.IP) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if from != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: from}
	}
	return &Client{
		timeouts: t,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxIdleConnsPerHost: maxIdlePerBackend,
				IdleConnTimeout:     time.Minute,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Result is a whole answer of an engine.
type Result struct {
	// Message is the assistant's message.
	Message      Message
	FinishReason string
	Usage        Usage
	// Resumed counts the new connections over which the answer was resumed.
	Resumed int
}

// Chat runs one chat completion on the engine at addr and calls emit for each part of the
// message, in order. It returns only
// a whole answer: one with usage and end marker under the request's own id. A stream that breaks or goes silent is
// resumed once from its offset over a new connection.
func (c *Client) Chat(ctx context.Context, addr string, r ChatRequest, emit func(*Message) error) (Result, error) {
	r.Stream = true
	r.StreamOptions = &StreamOptions{IncludeUsage: true}
	body, err := json.Marshal(r)
	if err != nil {
		return Result{}, verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0, "encoding the request: %v", err)
	}
	if err := failpoint.Hit("dispatch.before"); err != nil {
		return Result{}, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackend, retryBackend, "%v", err)
	}
	st := &stream{id: r.RequestID, emit: emit, result: Result{Message: Message{Role: "assistant"}}}
	err = c.attempt(ctx, st, http.MethodPost, "http://"+addr+"/v1/chat/completions", body)
	if err != nil && st.chunks > 0 && resumable(err) && ctx.Err() == nil {
		st.result.Resumed++
		url := fmt.Sprintf("http://%s/v1/requests/%s/stream?offset=%d", addr, r.RequestID, st.chunks)
		if again := c.attempt(ctx, st, http.MethodGet, url, nil); again == nil {
			err = nil
		}
	}
	if err != nil {
		c.cancel(addr, r.RequestID)
		return Result{}, err
	}
	return st.result, nil
}

func resumable(err error) bool {
	switch verdict.From(err).Reason {
	case verdict.ReasonTruncated, verdict.ReasonBackendSilent, verdict.ReasonBackendFailed:
		return true
	}
	return false
}

// attempt reads one connection's part of the stream.
func (c *Client) attempt(ctx context.Context, st *stream, method, url string, body []byte) error {
	ctx, w := watch(ctx, c.timeouts.FirstToken)
	defer w.stop()
	resp, sent, err := c.send(ctx, method, url, body)
	if err != nil {
		return w.explain(sendError(err, sent))
	}
	defer resp.Body.Close()
	if err := failpoint.Hit("dispatch.after"); err != nil {
		return verdict.Fail(http.StatusBadGateway, verdict.ReasonBackendFailed, "%v", err)
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	return w.explain(st.read(resp.Body, func() { w.progress(c.timeouts.Progress) }))
}

// send reports also whether a connection was had, after which part of the request may have been written.
func (c *Client) send(ctx context.Context, method, url string, body []byte) (*http.Response, bool, error) {
	var had atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { had.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	return resp, had.Load(), err
}

func sendError(err error, sent bool) error {
	if !sent {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackend, retryBackend,
			"the backend server could not be reached")
	}
	return verdict.Fail(http.StatusBadGateway, verdict.ReasonBackendFailed, "the backend server's connection failed: %v", rootCause(err))
}

// rootCause drops the URL that net/http puts before the cause.
func rootCause(err error) error {
	for {
		next := errors.Unwrap(err)
		if next == nil {
			return err
		}
		err = next
	}
}

// statusError maps an engine's refusal. A backend server that answers 429 or 503 says that it did not take the request;
// its word is not enough for NotRun, since the request was written.
func statusError(resp *http.Response) error {
	const maxDetail = 512
	_, _ = io.CopyN(io.Discard, resp.Body, maxDetail)
	return verdict.Fail(http.StatusBadGateway, verdict.ReasonBackendFailed, "the backend server answered status %d", resp.StatusCode)
}

// cancelTimeout bounds the order to cancel a request that was given up.
const cancelTimeout = 2 * time.Second

// cancel tells the engine, without waiting, to drop a request.
func (c *Client) cancel(addr, id string) {
	go func() {
		ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
		defer done()
		resp, _, err := c.send(ctx, http.MethodPost, "http://"+addr+"/v1/requests/"+id+"/cancel", nil)
		if err == nil {
			resp.Body.Close()
		}
	}()
}

// stream collects one answer over one or more connections.
type stream struct {
	id     string
	emit   func(*Message) error
	chunks int
	result Result
	usage  bool
}

// read returns nil when the answer is whole.
func (s *stream) read(r io.Reader, progress func()) error {
	for ev, err := range sse.Read(r, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return verdict.Fail(http.StatusBadGateway, verdict.ReasonTruncated, "the answer's stream broke off: %v", rootCause(err))
		}
		progress()
		if ev.Data == endMarker {
			return s.end()
		}
		if err := s.take(ev.Data); err != nil {
			return err
		}
	}
	return verdict.Fail(http.StatusBadGateway, verdict.ReasonTruncated, "the answer's stream ended without its end marker")
}

func (s *stream) end() error {
	if !s.usage || s.result.FinishReason == "" {
		return verdict.Fail(http.StatusBadGateway, verdict.ReasonTruncated, "the answer ended without usage or finish reason")
	}
	return nil
}

func (s *stream) take(data string) error {
	var ch Chunk
	if err := json.Unmarshal([]byte(data), &ch); err != nil {
		return verdict.Fail(http.StatusBadGateway, verdict.ReasonBackendFailed, "the answer holds an event that is not JSON")
	}
	if ch.ID != s.id {
		return verdict.Fail(http.StatusBadGateway, verdict.ReasonCrossed, "the answer belongs to another request")
	}
	if ch.Usage != nil {
		s.result.Usage, s.usage = *ch.Usage, true
	}
	if len(ch.Choices) == 0 {
		return nil
	}
	choice := ch.Choices[0]
	if choice.FinishReason != nil {
		s.result.FinishReason = *choice.FinishReason
	}
	if choice.Delta == nil || (choice.Delta.Content == "" && len(choice.Delta.ToolCalls) == 0) {
		return nil
	}
	s.chunks++
	if !s.result.Message.Add(choice.Delta) {
		return verdict.Fail(http.StatusBadGateway, verdict.ReasonBackendFailed, "the answer holds a part of a tool call that has no place")
	}
	return s.emit(choice.Delta)
}
