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
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/tmaxmax/go-sse"

	"github.com/berylpond/berylpond/internal/connreset"
	"github.com/berylpond/berylpond/internal/failpoint"
	"github.com/berylpond/berylpond/internal/httphead"
	"github.com/berylpond/berylpond/internal/verdict"
)

const (
	dialTimeout = time.Second
	// retryAfterNoBackend is the Retry-After of calls that could not reach a backend server.
	retryAfterNoBackend = time.Second
	// streamTerminator is the data of a stream's last event. See the OpenAI chat completions API.
	streamTerminator = "[DONE]"
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = 1 << 20
	// maxMessageBytes bounds all events of a response, whose message is held until its end.
	maxMessageBytes = 4 << 20
	// maxHeadBytes bounds the status line and the headers of a response, far above what servers send.
	maxHeadBytes = 64 << 10
	// maxIdlePerBackend bounds the idle connections to one backend server.
	maxIdlePerBackend = 64
	// maxServicesNoted bounds the addresses of services that are known to repeat ids.
	maxServicesNoted = 16 << 10
)

// errNoProgress is the cancellation cause of a call whose backend server made no progress in time.
var errNoProgress = errors.New("no progress in time")

// Timeouts bounds each phase of a call.
type Timeouts struct {
	// FirstToken bounds the wait from sending the request to the first event.
	FirstToken time.Duration
	// Progress bounds the wait between two events.
	Progress time.Duration
}

// DefaultTimeouts apply if the settings have none.
var DefaultTimeouts = Timeouts{FirstToken: 20 * time.Second, Progress: 5 * time.Second}

// Client calls backend servers. It is safe for concurrent use.
type Client struct {
	http     *http.Client
	timeouts Timeouts
	// repeatsIDs holds the addresses of services whose last response repeated the id of its request.
	repeatsIDs *lru.Cache[string, struct{}]
}

// New returns a client with the given timeouts. Connections use the local address from; with nil the system chooses
// one.
func New(t Timeouts, from net.IP) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if from != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: from}
	}
	repeatsIDs, err := lru.New[string, struct{}](maxServicesNoted)
	if err != nil {
		panic(err) // the size is above zero
	}
	return &Client{
		timeouts: t, repeatsIDs: repeatsIDs,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:         connreset.GuardDial(dialer.DialContext),
				MaxIdleConnsPerHost: maxIdlePerBackend,
				IdleConnTimeout:     time.Minute,
				DisableCompression:  true,
				// The default of net/http is 10 MB.
				MaxResponseHeaderBytes: maxHeadBytes,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Result is a complete response of an engine.
type Result struct {
	// Message is the assistant's message.
	Message      Message
	FinishReason string
	Usage        Usage
	// Resumed counts the additional connections over which the response was resumed.
	Resumed int
}

// Chat runs one chat completion on the engine at addr and calls emit for each part of the message, in order. It returns
// only a complete response: one that has the usage, the terminator and the request's own id. A stream that is truncated
// or stalls is resumed once, at its offset, over a new connection.
func (c *Client) Chat(ctx context.Context, addr string, r ChatRequest, emit func(*Message) error) (Result, error) {
	r.Stream = true
	r.StreamOptions = &StreamOptions{IncludeUsage: true}
	body, err := json.Marshal(r)
	if err != nil {
		return Result{}, verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0, "encoding the request: %v", err)
	}
	if err := failpoint.Hit("dispatch.before"); err != nil {
		return Result{}, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackend,
			retryAfterNoBackend, "%v", err)
	}
	st := &stream{id: r.RequestID, emit: emit, result: Result{Message: Message{Role: "assistant"}}}
	err = c.attempt(ctx, st, http.MethodPost, "http://"+addr+"/v1/chat/completions", body)
	if err != nil && st.chunks > 0 && resumable(err) && ctx.Err() == nil {
		st.result.Resumed++
		url := fmt.Sprintf("http://%s/v1/requests/%s/stream?offset=%d", addr, r.RequestID, st.chunks)
		if resumeErr := c.attempt(ctx, st, http.MethodGet, url, nil); resumeErr == nil {
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

// attempt sends a request and reads the stream until it ends or the connection fails.
func (c *Client) attempt(ctx context.Context, st *stream, method, url string, body []byte) error {
	ctx, w := newWatchdog(ctx, c.timeouts.FirstToken)
	defer w.stop()
	resp, sent, err := c.send(ctx, method, url, body)
	if err != nil {
		return w.classify(connectionError(err, sent))
	}
	defer resp.Body.Close()
	if err := failpoint.Hit("dispatch.after"); err != nil {
		return verdict.Fail(http.StatusBadGateway, verdict.ReasonBackendFailed, "%v", err)
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	return w.classify(st.read(resp.Body, func() { w.progress(c.timeouts.Progress) }))
}

// send also reports whether a connection was obtained; if so, part of the request may have been written even if send
// returns an error.
func (c *Client) send(ctx context.Context, method, url string, body []byte) (*http.Response, bool, error) {
	var gotConn atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.do(req)
	return resp, gotConn.Load(), err
}

// do sends a request and returns the response if its head is well-formed.
func (c *Client) do(req *http.Request) (*http.Response, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if err := httphead.Check(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

func connectionError(err error, sent bool) error {
	if !sent {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackend, retryAfterNoBackend,
			"the backend server could not be reached")
	}
	return verdict.Fail(http.StatusBadGateway, verdict.ReasonBackendFailed, "the backend server's connection failed: %v", rootCause(err))
}

// rootCause returns the innermost error, without the URL that net/http adds.
func rootCause(err error) error {
	for {
		next := errors.Unwrap(err)
		if next == nil {
			return err
		}
		err = next
	}
}

// statusError returns the error for a status other than 200. A backend server that responds with 429 or 503 claims not
// to have run the request, but that does not suffice for NotRun, since the request was written.
func statusError(resp *http.Response) error {
	const maxDetail = 512
	_, _ = io.CopyN(io.Discard, resp.Body, maxDetail)
	return verdict.Fail(http.StatusBadGateway, verdict.ReasonBackendFailed, "the backend server answered status %d", resp.StatusCode)
}

// cancelTimeout bounds the request that cancels an abandoned request.
const cancelTimeout = 2 * time.Second

// cancel asks the engine in the background to cancel a request.
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

// stream assembles one response from one or more connections.
type stream struct {
	id     string
	emit   func(*Message) error
	chunks int
	// bytes is the size of all events.
	bytes  int
	result Result
	usage  bool
}

// read reads events until the stream ends, and returns nil only if the response is complete.
func (s *stream) read(r io.Reader, progress func()) error {
	for ev, err := range sse.Read(r, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return verdict.Fail(http.StatusBadGateway, verdict.ReasonTruncated, "the answer's stream broke off: %v", rootCause(err))
		}
		progress()
		if s.bytes += len(ev.Data); s.bytes > maxMessageBytes {
			return verdict.Fail(http.StatusBadGateway, verdict.ReasonTooLarge, "the answer is larger than %d bytes", maxMessageBytes)
		}
		if ev.Data == streamTerminator {
			return s.checkComplete()
		}
		if err := s.handleEvent(ev.Data); err != nil {
			return err
		}
	}
	return verdict.Fail(http.StatusBadGateway, verdict.ReasonTruncated, "the answer's stream ended without its end marker")
}

func (s *stream) checkComplete() error {
	if !s.usage || s.result.FinishReason == "" {
		return verdict.Fail(http.StatusBadGateway, verdict.ReasonTruncated, "the answer ended without usage or finish reason")
	}
	return nil
}

func (s *stream) handleEvent(data string) error {
	var ch Chunk
	if err := json.Unmarshal([]byte(data), &ch); err != nil {
		return verdict.Fail(http.StatusBadGateway, verdict.ReasonBackendFailed, "the answer holds an event that is not JSON")
	}
	if ch.ID != s.id {
		return verdict.Fail(http.StatusBadGateway, verdict.ReasonMismatchedResponse, "the answer belongs to another request")
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
	if !s.result.Message.AppendDelta(choice.Delta) {
		return verdict.Fail(http.StatusBadGateway, verdict.ReasonBackendFailed, "the answer holds a part of a tool call that has no place")
	}
	return s.emit(choice.Delta)
}
