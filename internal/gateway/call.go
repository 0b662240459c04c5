package gateway

import (
	"context"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/routing"
	"github.com/berylpond/berylpond/internal/verdict"
	"github.com/berylpond/berylpond/platform"
)

// maxHeldBytes is the longest answer that is read whole before it is passed on, so that one that breaks off can still
// become a clean failure or a retry.
const maxHeldBytes = 1 << 20

// serveCall answers a request that belongs to no kept history: a tool call, or a stream without memory.
func (x *exchange) serveCall(ctx context.Context) error {
	if x.route.Kind == routing.Streaming {
		a, err := x.send(ctx, x.body, "")
		if err != nil {
			return err
		}
		_, err = x.relayStream(ctx, a)
		return err
	}
	for {
		a, err := x.send(ctx, x.body, "")
		if err != nil {
			return err
		}
		body, err := readAnswer(a)
		if err == nil {
			return x.deliver(a, body)
		}
		if ctx.Err() != nil || x.route.Kind != routing.Idempotent || x.sends >= x.route.MaxAttempts {
			return x.giveUp(err)
		}
		klog.InfoS("answer broke off, sending again", "request", x.ID, "backend", a.backend.ID, "cause", err.Error())
		x.tried = append(x.tried, a.backend.ID)
		x.metrics.retries.WithLabelValues(string(verdict.ReasonTruncated)).Inc()
	}
}

// readAnswer reads the whole body and ends the exchange with the server.
func readAnswer(a *answer) ([]byte, error) {
	body, err := readAll(a.Body, a.Length, maxHeldBytes)
	a.close(err == nil, err != nil)
	if err == nil {
		return body, nil
	}
	return nil, &verdict.Error{
		Verdict: verdict.MayHaveRun, Reason: verdict.ReasonTruncated, Status: http.StatusBadGateway,
		Detail: errors.Wrap(err, "the answer broke off").Error(),
	}
}

// deliver passes a whole answer on.
func (x *exchange) deliver(a *answer, body []byte) error {
	h := x.w.Header()
	platform.AnswerHeaders(h, a.Header)
	x.keepClosing(h)
	if x.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.answered = true
	x.w.WriteHeader(a.Status)
	if _, err := x.w.Write(body); err != nil {
		return verdict.Fail(http.StatusBadGateway, verdict.ReasonCancelled, "the answer was not delivered: %v", err)
	}
	return nil
}

// keepClosing ends the client's connection with this answer where its next request should reach another instance.
func (x *exchange) keepClosing(h http.Header) {
	if x.closing() || x.isolated() {
		h.Set("Connection", "close")
	}
}

// copyPlain passes on an answer that is no stream, as a failure on a streaming route.
func (x *exchange) copyPlain(a *answer) error {
	body, err := readAnswer(a)
	if err != nil {
		return x.giveUp(err)
	}
	return x.deliver(a, body)
}
