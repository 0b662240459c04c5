// Package upstream sends requests to backend servers over persistent connections. Every error says whether the request
// may have run.
//
// It does not use net/http's Transport, which retries some requests on its own and would return a late response to the
// next request on the same connection.
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/backendpath"
	"github.com/berylpond/berylpond/internal/httphead"
	"github.com/berylpond/berylpond/internal/verdict"
	"github.com/berylpond/berylpond/platform"
)

const (
	// maxIdlePerServer bounds the idle connections to one backend server.
	maxIdlePerServer = 16
	// inlineBodyBytes is the longest body that is written before the response is read, since it fits into the socket's
	// buffer. A longer body is written concurrently, because a server may respond before it has read the body.
	inlineBodyBytes = 4 << 10
	// maxSkippedResponses bounds the responses that one exchange reads; those to other requests are skipped.
	maxSkippedResponses = 4
	// maxLoggedIDBytes bounds what is logged of the id of a skipped response.
	maxLoggedIDBytes = 64
	// maxSkippedBytes bounds the body of a skipped response.
	maxSkippedBytes = 1 << 20
)

// suspiciousSilence is how long a request is without a response until the path to the servers is checked, if no other
// request has had one either. Silence alone ends no request: sound servers may be silent for longer.
const suspiciousSilence = 500 * time.Millisecond

// deadlineSlack is how much later than the context's end a connection's own deadline is. The context ends first, so that its
// end is never mistaken for a failure of the server.
const deadlineSlack = time.Second

// ErrTooManyMismatched means that a connection carried too many responses to other requests.
var ErrTooManyMismatched = errors.New("too many answers to other requests")

// Request is one request to a backend server.
type Request struct {
	// ID is the request's id. A response with another id is skipped, and on a kept connection one without an id as well. Without
	// an id the request is sent on a new connection.
	ID     string
	Method string
	// Target is the path and query as the client sent them.
	Target string
	Host   string
	// Header returns the headers. It is called once the connection is open, as they say how much time is left.
	Header func() http.Header
	Body   []byte
	// Check, if not nil, is called once the connection is open. The request is not sent if it returns an error.
	Check func() error
}

// Response is a backend server's response. Its body ends with io.EOF only if it is complete.
type Response struct {
	Status int
	Header http.Header
	platform.Response
	// Length is the number of bytes of the body, or -1 if it is unknown. The response to a HEAD request has none, whatever
	// its Content-Length says.
	Length int64
	Body   io.Reader
	// Via is the peer address of the instance that the connection goes through; empty if it is direct.
	Via string

	pool    *Pool
	conn    *conn
	address string
	resp    *http.Response
	// written receives the result of writing the request.
	written chan error
	// stop prevents the end of the context from closing the connection. It returns false if that has happened.
	stop      func() bool
	closeOnce sync.Once
}

// Error is a failed exchange.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict verdict.Verdict
	// PathLost means that this instance reached no server, so that the failure says nothing about this one.
	PathLost bool
	Err      error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() + " (" + e.Verdict.String() + ")" }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Path opens connections to backend servers.
type Path interface {
	// Dial opens a connection that lasts at least until the context ends.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// LostSince returns when this instance lost the direct way to the servers; zero while it has one.
	LostSince() time.Time
	// Suspect tells that no server has responded since the given time, when a request was sent to the address.
	Suspect(address string, since time.Time)
}

// Pool keeps idle connections to backend servers. It is safe for concurrent use.
type Pool struct {
	path Path

	mu   sync.Mutex
	idle map[string][]*conn
	// lastResponse is when the head of a response last arrived from any server.
	lastResponse time.Time
	now          func() time.Time
}

// NewPool returns an empty pool.
func NewPool(p Path) *Pool { return &Pool{path: p, idle: map[string][]*conn{}, now: time.Now} }

// Do sends a request and returns once the headers of the response have arrived. The caller must close the response.
// When the context ends, the connection is closed, even while the body is being read. An error is an *Error.
func (p *Pool) Do(ctx context.Context, address string, r Request) (*Response, error) {
	connect := p.connect
	if r.ID == "" {
		connect = p.open
	}
	c, err := connect(ctx, address)
	if err != nil {
		return nil, &Error{Verdict: verdict.NotRun, PathLost: errors.Is(err, backendpath.ErrLost), Err: err}
	}
	if r.Check != nil {
		if err := r.Check(); err != nil {
			c.Close()
			return nil, &Error{Verdict: verdict.NotRun, Err: err}
		}
	}
	if deadline, ok := ctx.Deadline(); ok {
		if err := c.SetDeadline(deadline.Add(deadlineSlack)); err != nil {
			c.Close()
			return nil, &Error{Verdict: verdict.NotRun, Err: errors.Wrap(err, "setting a deadline")}
		}
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	sent := p.now()
	silence := time.AfterFunc(suspiciousSilence, func() { p.suspect(address, sent) })
	resp, err := exchange(c, r)
	silence.Stop()
	if err != nil {
		stop()
		c.Close()
		if ctx.Err() != nil {
			err = errors.CombineErrors(ctx.Err(), err)
		}
		return nil, &Error{
			Verdict: verdict.MayHaveRun, PathLost: c.via() == "" && !p.path.LostSince().IsZero(),
			Err: errors.Wrapf(err, "exchange with %s", address),
		}
	}
	p.mu.Lock()
	p.lastResponse = p.now()
	p.mu.Unlock()
	resp.pool, resp.address, resp.stop = p, address, stop
	return resp, nil
}

// suspect has the path checked if nothing has arrived from any server since a request was sent.
func (p *Pool) suspect(address string, sent time.Time) {
	p.mu.Lock()
	silent := !p.lastResponse.After(sent)
	p.mu.Unlock()
	if silent {
		p.path.Suspect(address, sent)
	}
}

// exchange writes the request and reads the headers of its response.
func exchange(c *conn, r Request) (*Response, error) {
	written := make(chan error, 1)
	if len(r.Body) <= inlineBodyBytes {
		if err := writeRequest(c, r); err != nil {
			return nil, errors.Wrap(err, "writing the request")
		}
		written <- nil
	} else {
		go func() { written <- writeRequest(c, r) }()
	}
	req := &http.Request{Method: r.Method}
	started := time.Now()
	skippedLeaving := false
	for range maxSkippedResponses {
		resp, err := c.readHead(req)
		if err != nil {
			return nil, err
		}
		decoded := platform.DecodeResponse(resp.StatusCode, resp.Header)
		// Without an id, a response on a kept connection may be an earlier one, sent once more.
		if decoded.RequestID == r.ID || decoded.RequestID == "" && !decoded.Stamped && !c.answered {
			c.answered = true
			decoded.Leaving = decoded.Leaving || skippedLeaving && resp.StatusCode != http.StatusMisdirectedRequest
			length := resp.ContentLength
			if r.Method == http.MethodHead {
				length = 0
			}
			return &Response{
				Status: resp.StatusCode, Header: resp.Header, Response: decoded, Length: length, Body: resp.Body,
				Via: c.via(), conn: c, resp: resp, written: written,
			}, nil
		}
		klog.InfoS("skipped a response to another request", "request", r.ID,
			"response_to", decoded.RequestID[:min(len(decoded.RequestID), maxLoggedIDBytes)], "status", resp.StatusCode,
			"not_run", decoded.NotRun, "address", c.RemoteAddr().String(), "after_ms", time.Since(started).Milliseconds())
		skippedLeaving = skippedLeaving || decoded.Leaving
		if err := drain(resp.Body, maxSkippedBytes); err != nil {
			return nil, errors.Wrap(err, "skipping an answer to another request")
		}
	}
	return nil, ErrTooManyMismatched
}

// readHead reads the status and the headers of the next final response.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.head.start()
	defer c.head.end()
	for {
		buffered, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return nil, errors.Wrap(err, "reading the answer")
		}
		c.head.folds = httphead.FoldScanner{}
		c.head.folds.Scan(buffered)
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, errors.Wrap(err, "reading the answer")
		}
		if c.head.folds.Found {
			return nil, errors.Wrap(httphead.ErrMalformed, "folded line")
		}
		if err := httphead.Check(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

func writeRequest(c *conn, r Request) error {
	w := bufio.NewWriterSize(c, inlineBodyBytes)
	for _, s := range []string{r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		w.WriteString(s)
	}
	if err := r.Header().WriteSubset(w, map[string]bool{"Host": true, "Content-Length": true}); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.WriteString("Content-Length: ")
		w.WriteString(strconv.Itoa(len(r.Body)))
		w.WriteString("\r\n")
	}
	w.WriteString("\r\n")
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	return w.Flush()
}

// Close ends the exchange. The connection is returned to the pool if the response was read to its end and nothing
// follows it. A server that puts no ids on its responses gets a new connection for each request, since an earlier response that it
// sends once more could not be told from the next one.
func (r *Response) Close(complete bool) {
	r.closeOnce.Do(func() {
		// If the context has ended, its AfterFunc has closed the connection.
		connOpen := r.stop()
		if !complete || !connOpen || !r.keepsConn() {
			r.conn.Close()
			return
		}
		r.pool.putIdle(r.address, r.conn, r.IdleTimeout)
	})
}

// keepsConn reports whether the connection can carry another request after a response that was read to its end.
func (r *Response) keepsConn() bool {
	endsWithConn := r.resp.Close || r.Length < 0 && !chunked(r.resp)
	return !endsWithConn && r.RequestID != "" && r.requestWritten() && r.conn.reader.Buffered() == 0
}

// ServerLeaving tells the instance through which the response came, if there is one, that the server is leaving.
func (r *Response) ServerLeaving(id string, incarnation int64) {
	if t, ok := r.conn.Conn.(interface {
		ServerLeaving(id string, incarnation int64)
	}); ok {
		t.ServerLeaving(id, incarnation)
	}
}

func (r *Response) requestWritten() bool {
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}

func chunked(resp *http.Response) bool { return len(resp.TransferEncoding) > 0 }

func (p *Pool) connect(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.getIdle(address)
		if c == nil {
			return p.open(ctx, address)
		}
		if c.used.After(p.path.LostSince()) && c.isReusable() {
			return c, nil
		}
		c.Close()
	}
}

func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	c, err := p.path.Dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "connecting to %s", address)
	}
	return newConn(c), nil
}

func (p *Pool) getIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	if p.now().After(c.expires) {
		// The remaining connections have been idle for even longer.
		for _, old := range p.idle[address] {
			old.Close()
		}
		delete(p.idle, address)
		c.Close()
		return nil
	}
	return c
}

func (p *Pool) putIdle(address string, c *conn, serverTimeout time.Duration) {
	ttl := defaultIdleTimeout
	if serverTimeout > 0 {
		ttl = serverTimeout - idleMargin
	}
	if _, ok := c.Conn.(syscall.Conn); !ok || ttl <= 0 {
		c.Close()
		return
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	c.used = p.now()
	c.expires = c.used.Add(ttl)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerServer {
		c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// Probe opens a connection to a server, which is kept for the next request.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.open(ctx, address)
	if err != nil {
		return err
	}
	p.putIdle(address, c, 0)
	return nil
}

// Close closes every idle connection.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
		delete(p.idle, address)
	}
}
