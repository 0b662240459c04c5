package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/internal/routing"
	"github.com/berylpond/berylpond/internal/upstream"
	"github.com/berylpond/berylpond/internal/verdict"
	"github.com/berylpond/berylpond/platform"
)

// leastOffer is the shortest time that a backend server is given; a request with less left is not sent any more.
const leastOffer = 20 * time.Millisecond

// answer is a backend server's answer with the server that gave it.
type answer struct {
	*upstream.Response
	backend *fleet.Backend
	fleet   *fleet.Fleet
}

// close ends the exchange with the server.
func (a *answer) close(complete, failed bool) {
	a.Response.Close(complete)
	a.fleet.Release(a.backend, failed)
}

// send gives the request to backend servers until one answers that it runs it. It returns a refusal if none did.
func (x *exchange) send(ctx context.Context, body []byte, preferred string) (*answer, error) {
	x.service = pickService(x.route.Targets)
	repeatable := x.route.Kind == routing.Idempotent
	var last error
	// Connections that could not be opened are no sends; the bound keeps a dead service from holding the request.
	for connects := 0; x.sends < x.route.MaxAttempts && connects < x.route.MaxAttempts+3; connects++ {
		if x.left() < leastOffer {
			break
		}
		b := x.fleet.Acquire(fleet.Choice{Service: x.service, Preferred: preferred, Exclude: x.tried})
		if b == nil {
			break
		}
		a, err := x.offer(ctx, b, body)
		if err == nil {
			return a, nil
		}
		last = err
		x.tried = append(x.tried, b.ID)
		e := verdict.From(err)
		klog.InfoS("backend server failed a request", "request", x.ID, "backend", b.ID, "address", b.Address,
			"verdict", e.Verdict.String(), "cause", e.Detail, "sends", x.sends, "left_ms", x.left().Milliseconds())
		if ctx.Err() != nil || !e.Verdict.RetrySafe(repeatable) {
			return nil, x.giveUp(err)
		}
		x.metrics.retries.WithLabelValues(string(e.Reason)).Inc()
	}
	return nil, x.giveUp(last)
}

// offer sends the request to one server. An error is a *verdict.Error.
func (x *exchange) offer(ctx context.Context, b *fleet.Backend, body []byte) (*answer, error) {
	resp, err := x.servers.Do(ctx, b.Address, upstream.Request{
		ID: x.ID, Method: x.r.Method, Target: x.target, Host: x.r.Host, Body: body,
		Header: platform.ForwardHeaders(x.r.Header, platform.Forward{
			Backend: b.ID, Account: x.account.Name, Deadline: x.left(),
		}),
	})
	if err != nil {
		x.fleet.Release(b, ctx.Err() == nil)
		var ue *upstream.Error
		if !errors.As(err, &ue) {
			return nil, err
		}
		if ue.Verdict != verdict.NotRun {
			x.sends++
			x.backend = b.ID
		}
		return nil, &verdict.Error{
			Verdict: ue.Verdict, Reason: verdict.ReasonBackendFailed, Status: http.StatusBadGateway, Detail: ue.Error(),
		}
	}
	x.sends++
	x.backend = b.ID
	a := &answer{Response: resp, backend: b, fleet: x.fleet}
	if !resp.NotRun {
		return a, nil
	}
	status := resp.Status
	a.close(discard(resp), false)
	return nil, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackend, retrySoon,
		"backend server %s did not run the request: status %d", b.ID, status)
}

// discard reads a short body to its end and reports whether it got there.
func discard(r *upstream.Response) bool {
	const limit = 64 << 10
	_, err := readAll(r.Body, r.Length, limit)
	return err == nil
}

// giveUp turns the last failure into the client's answer.
func (x *exchange) giveUp(err error) error {
	if err == nil {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackend, retrySoon, "no backend server can be used")
	}
	e := *verdict.From(err)
	switch {
	case e.Verdict == verdict.NotRun:
		e.Status, e.RetryAfter = http.StatusServiceUnavailable, max(e.RetryAfter, retrySoon)
	case x.left() <= 0:
		e.Status, e.Reason = http.StatusGatewayTimeout, verdict.ReasonDeadline
	default:
		e.Status = http.StatusBadGateway
	}
	return &e
}

// pickService draws one of a route's services by weight.
func pickService(targets []routing.Target) string {
	if len(targets) == 1 {
		return targets[0].Service
	}
	total := 0
	for _, t := range targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	n := rand.IntN(total)
	for _, t := range targets {
		if n -= max(t.Weight, 0); n < 0 {
			return t.Service
		}
	}
	return ""
}
