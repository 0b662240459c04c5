// Package frontend is the HTTP server for callers. Package commands handles the requests that change state, package
// queries those that only read.
package frontend

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v5"
	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/verdict"
)

// contentTypeProblem is the media type of problem details, defined in RFC 9457.
const contentTypeProblem = "application/problem+json"

// Problem is the body of an error response.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Verdict states whether the request may have run: "not-run", "may-have-run" or "ran".
	Verdict string `json:"verdict"`
	// Reason is a machine-readable code.
	Reason string `json:"reason"`
	// RetryAfterSeconds is set if a retry may succeed.
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
	RequestID         string  `json:"request_id,omitempty"`
}

// NewProblem returns the response body for e.
func NewProblem(e *verdict.Error, requestID string) Problem {
	return Problem{
		Type:              "urn:berylpond:" + string(e.Reason),
		Title:             http.StatusText(e.Status),
		Status:            e.Status,
		Detail:            e.Detail,
		Verdict:           e.Verdict.String(),
		Reason:            string(e.Reason),
		RetryAfterSeconds: e.RetryAfter.Seconds(),
		RequestID:         requestID,
	}
}

// handleError counts a failed request and sends the error response.
func (s *Server) handleError(c *echo.Context, err error) {
	e := asVerdict(err)
	s.metrics.refusals.WithLabelValues(string(e.Reason), e.Verdict.String()).Inc()
	id := RequestID(c)
	res, uerr := echo.UnwrapResponse(c.Response())
	if uerr == nil && res.Committed {
		// A streamed response has started; its handler has sent the error as the last event.
		return
	}
	if e.RetryAfter > 0 {
		c.Response().Header().Set("Retry-After", retryAfterSeconds(e.RetryAfter))
	}
	body, err := json.Marshal(NewProblem(e, id))
	if err == nil {
		err = c.Blob(e.Status, contentTypeProblem, body)
	}
	if err != nil {
		klog.V(1).InfoS("Failed to send an error response", "request", id, "err", err)
	}
}

// retryAfterSeconds formats d for the Retry-After header, rounded up to whole seconds.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// asVerdict converts an error to a verdict. Errors of echo occur before a request is forwarded, so they become NotRun.
func asVerdict(err error) *verdict.Error {
	var coder echo.HTTPStatusCoder
	var v *verdict.Error
	if !errors.As(err, &v) && errors.As(err, &coder) {
		code := coder.StatusCode()
		reason := verdict.ReasonMalformed
		if code == http.StatusNotFound || code == http.StatusMethodNotAllowed {
			reason = verdict.ReasonUnknownRoute
		}
		if code == http.StatusRequestEntityTooLarge {
			reason = verdict.ReasonTooLarge
		}
		return verdict.Refuse(code, reason, 0, "%s", http.StatusText(code))
	}
	e := *verdict.From(err)
	if e.Status == 0 {
		e.Status = http.StatusBadGateway
	}
	return &e
}
