package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/berylpond/berylpond/internal/failpoint"
	"github.com/berylpond/berylpond/internal/verdict"
)

// requestIDHeader carries the request id to a plain service, which may repeat it in its response.
const requestIDHeader = "X-Request-Id"

// ServiceRequest is a call to a plain service or a tool.
type ServiceRequest struct {
	RequestID   string
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	Timeout     time.Duration
	// MaxResponseBytes bounds the response's body, in bytes.
	MaxResponseBytes int64
}

// ServiceResponse is a complete response of a service.
type ServiceResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// CallService runs one service call on the backend server at addr. It makes a single attempt.
func (c *Client) CallService(ctx context.Context, addr string, r ServiceRequest) (ServiceResponse, error) {
	ctx, w := newWatchdog(ctx, r.Timeout)
	defer w.stop()
	if err := failpoint.Hit("service.dispatch.before"); err != nil {
		return ServiceResponse{}, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackend,
			retryAfterNoBackend, "%v", err)
	}
	var gotConn, reused atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		gotConn.Store(true)
		reused.Store(i.Reused)
	}})
	req, err := newServiceRequest(ctx, addr, r)
	if err != nil {
		return ServiceResponse{}, verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0, "building the request: %v", err)
	}
	req.Close = !c.repeatsIDs.Contains(addr)
	resp, err := c.do(req)
	if err != nil {
		return ServiceResponse{}, w.classify(connectionError(err, gotConn.Load()))
	}
	defer resp.Body.Close()
	c.noteRepeatsID(addr, resp)
	result, err := readServiceResponse(resp, r, reused.Load())
	return result, w.classify(err)
}

func newServiceRequest(ctx context.Context, addr string, r ServiceRequest) (*http.Request, error) {
	url := "http://" + addr + r.Path
	if r.Query != "" {
		url += "?" + r.Query
	}
	// Hides the reader's type, also of an empty body, so that net/http can't retry the request on another connection.
	body := struct{ io.Reader }{bytes.NewReader(r.Body)}
	req, err := http.NewRequestWithContext(ctx, r.Method, url, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.Body))
	req.Header.Set(requestIDHeader, r.RequestID)
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	return req, nil
}

// noteRepeatsID notes whether the service at an address repeats the ids of requests. Connections to one that does not are not kept:
// an earlier response that it sends once more could not be told from the next one.
func (c *Client) noteRepeatsID(addr string, resp *http.Response) {
	if resp.Header.Get(requestIDHeader) == "" {
		c.repeatsIDs.Remove(addr)
		return
	}
	c.repeatsIDs.Add(addr, struct{}{})
}

func readServiceResponse(resp *http.Response, r ServiceRequest, reusedConn bool) (ServiceResponse, error) {
	id := resp.Header.Get(requestIDHeader)
	if id != r.RequestID && (id != "" || reusedConn) {
		return ServiceResponse{}, verdict.Fail(http.StatusBadGateway, verdict.ReasonMismatchedResponse, "the answer belongs to another request")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, r.MaxResponseBytes+1))
	if err != nil {
		return ServiceResponse{}, verdict.Fail(http.StatusBadGateway, verdict.ReasonTruncated, "the answer broke off: %v", rootCause(err))
	}
	if int64(len(body)) > r.MaxResponseBytes {
		return ServiceResponse{}, verdict.Fail(http.StatusBadGateway, verdict.ReasonTooLarge, "the answer is larger than %d bytes", r.MaxResponseBytes)
	}
	return ServiceResponse{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
