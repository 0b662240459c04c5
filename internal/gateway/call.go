package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/memory"
	"github.com/berylpond/berylpond/internal/routing"
	"github.com/berylpond/berylpond/internal/verdict"
	"github.com/berylpond/berylpond/platform"
)

// maxBufferedBytes bounds a response that is buffered. Responses are buffered before they are relayed, so that a
// truncated one can still be retried or reported as a failure. Longer ones, and those for which there is no memory, are
// relayed as they arrive.
const maxBufferedBytes = 1 << 20

// errNotBuffered means that a response is too long to be buffered.
var errNotBuffered = errors.New("the answer can't be buffered")

// serveCall serves a request on a route without stored history: a plain call, or a stream.
func (x *exchange) serveCall(ctx context.Context) error {
	if x.route.Kind == routing.Streaming {
		resp, err := x.send(ctx, x.body, "")
		if err != nil {
			return err
		}
		_, err = x.relayStream(ctx, resp, x.body)
		return err
	}
	for {
		resp, err := x.send(ctx, x.body, "")
		if err != nil {
			return err
		}
		body, err := x.readResponse(ctx, resp)
		switch {
		case err == nil:
			return x.writeResponse(resp, body)
		case errors.Is(err, errNotBuffered):
			return x.relayUnbuffered(ctx, resp, body)
		}
		if ctx.Err() != nil || x.route.Kind != routing.Idempotent || x.sends >= x.route.MaxAttempts {
			return x.finalError(err)
		}
		klog.InfoS("response was truncated; retrying on another backend server", "request", x.ID,
			"backend", resp.backend.ID, "cause", err.Error())
		x.triedBackends = append(x.triedBackends, resp.backend.ID)
		x.metrics.retries.WithLabelValues(string(verdict.ReasonTruncated)).Inc()
	}
}

// readResponse reads the whole body and releases the backend server. If it returns errNotBuffered, it has read the beginning
// only and the response stays open.
func (x *exchange) readResponse(ctx context.Context, resp *backendResponse) ([]byte, error) {
	body, held, err := memory.ReadBody(x.memory, resp.Body, resp.Length, maxBufferedBytes)
	x.addHeld(held)
	var long *http.MaxBytesError
	if errors.Is(err, memory.ErrFull) || errors.As(err, &long) {
		return body, errNotBuffered
	}
	if err == nil && resp.Status < http.StatusInternalServerError {
		x.fleet.Completed(resp.backend, 0)
	}
	resp.close(err == nil, err != nil && ctx.Err() == nil)
	if err == nil {
		if resp.Stamped {
			x.quarantine.Completed(x.identity)
		}
		return body, nil
	}
	if ctx.Err() == nil {
		x.brokenOff(resp.backend, resp.sent, err)
	}
	return nil, &verdict.Error{
		Verdict: verdict.MayHaveRun, Reason: verdict.ReasonTruncated, Status: http.StatusBadGateway,
		Detail: errors.Wrap(err, "the answer broke off").Error(),
	}
}

// relayUnbuffered relays a response as it arrives, after the part of its body that was read. A truncated one ends the client's
// connection before the announced length or the last chunk.
func (x *exchange) relayUnbuffered(ctx context.Context, resp *backendResponse, read []byte) error {
	h := x.w.Header()
	platform.CopyResponseHeaders(h, resp.Header)
	x.setConnectionClose(h)
	if resp.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	x.beginResponse(resp.Status)
	body := &readErrorRecorder{Reader: resp.Body}
	_, err := io.Copy(x.w, io.MultiReader(bytes.NewReader(read), body))
	resp.close(err == nil, false)
	if body.err != nil && ctx.Err() == nil {
		x.brokenOff(resp.backend, resp.sent, body.err)
	}
	if err != nil {
		return verdict.Fail(http.StatusBadGateway, verdict.ReasonTruncated, "the answer broke off: %v", err)
	}
	return nil
}

// readErrorRecorder keeps the error that ended the reads, to tell it from errors of writes.
type readErrorRecorder struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *readErrorRecorder) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

// writeResponse writes a buffered response to the client.
func (x *exchange) writeResponse(resp *backendResponse, body []byte) error {
	h := x.w.Header()
	platform.CopyResponseHeaders(h, resp.Header)
	x.setConnectionClose(h)
	if x.r.Method == http.MethodHead {
		h["Content-Length"] = resp.Header["Content-Length"]
	} else {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.beginResponse(resp.Status)
	if _, err := x.w.Write(body); err != nil {
		return verdict.Fail(http.StatusBadGateway, verdict.ReasonCancelled, "the answer was not delivered: %v", err)
	}
	return nil
}

// beginResponse writes the status and the headers to the client.
func (x *exchange) beginResponse(status int) {
	x.headersSent = true
	x.outliveStop()
	x.w.WriteHeader(status)
}

// setConnectionClose closes the client's connection after this response if the instance is draining or isolated, so
// that the client's next request can reach another instance.
func (x *exchange) setConnectionClose(h http.Header) {
	if x.draining() || x.isolated() {
		h.Set("Connection", "close")
	}
}

// relayBuffered relays a response that is not an event stream, such as an error response on a streaming route.
func (x *exchange) relayBuffered(ctx context.Context, resp *backendResponse) error {
	body, err := x.readResponse(ctx, resp)
	switch {
	case errors.Is(err, errNotBuffered):
		return x.relayUnbuffered(ctx, resp, body)
	case err != nil:
		return x.finalError(err)
	}
	return x.writeResponse(resp, body)
}
