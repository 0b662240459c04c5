package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/internal/quarantine"
	"github.com/berylpond/berylpond/internal/ratelimit"
	"github.com/berylpond/berylpond/internal/routing"
	"github.com/berylpond/berylpond/internal/upstream"
	"github.com/berylpond/berylpond/internal/verdict"
	"github.com/berylpond/berylpond/platform"
)

// minAttemptTime is the shortest time that a backend server is given; a request with less time remaining is not sent.
const minAttemptTime = 20 * time.Millisecond

// backendResponse is a response together with the backend server that it came from.
type backendResponse struct {
	*upstream.Response
	backend *fleet.Backend
	fleet   *fleet.Fleet
	// sent is when the request was sent.
	sent time.Time
	// room is left when the response is closed; nil for the response to an attempt that was not the last.
	room *room
}

// close closes the response and releases the backend server.
func (r *backendResponse) close(complete, failed bool) {
	r.Response.Close(complete)
	release(r.fleet, r.backend, complete, failed)
	r.room.leave(time.Now())
}

// release ends a request on a backend server. failed reports a failure of the server.
func release(f *fleet.Fleet, b *fleet.Backend, complete, failed bool) {
	if complete || failed {
		f.Release(b, failed)
		return
	}
	f.Abandon(b)
}

// send tries backend servers until one runs the request, and returns its response. Without one it returns the final
// error.
func (x *exchange) send(ctx context.Context, body []byte, preferred string) (*backendResponse, error) {
	x.service = pickService(x.route.Targets)
	if err := x.awaitRoom(ctx); err != nil {
		return nil, err
	}
	return x.sendToService(ctx, body, preferred)
}

// sendToService is send for the service that was picked before.
func (x *exchange) sendToService(ctx context.Context, body []byte, preferred string) (*backendResponse, error) {
	repeatable := x.route.Kind == routing.Idempotent || x.resumable()
	var last error
	// Connections that could not be opened don't count as sends, so that connects has a limit of its own: a service that
	// is down must not hold the request until its deadline.
	for connects := 0; x.sends-x.uncounted < x.route.MaxAttempts && connects < x.route.MaxAttempts+3; connects++ {
		if x.remaining() < minAttemptTime {
			break
		}
		if err := x.checkQuarantine(); err != nil {
			return nil, x.finalError(err)
		}
		if err := x.awaitView(ctx); err != nil {
			return nil, x.finalError(err)
		}
		b, denial := x.acquireBackend(ctx, preferred)
		if b == nil {
			if last == nil {
				last = x.noBackendError(denial)
			}
			break
		}
		x.observePlacement(b, preferred)
		x.room.take(x.now())
		resp, err := x.attempt(ctx, b, body)
		if err == nil {
			resp.room = x.room
			return resp, nil
		}
		last = err
		x.triedBackends = append(x.triedBackends, b.ID)
		e := verdict.From(err)
		klog.InfoS("backend server failed a request", "request", x.ID, "backend", b.ID, "address", b.Address,
			"verdict", e.Verdict.String(), "cause", e.Detail, "sends", x.sends, "left_ms", x.remaining().Milliseconds())
		if ctx.Err() != nil || !e.Verdict.RetrySafe(repeatable) {
			return nil, x.finalError(err)
		}
		x.metrics.retries.WithLabelValues(string(e.Reason)).Inc()
	}
	return nil, x.finalError(last)
}

// noBackendError is the refusal of a request for which there is no backend server.
func (x *exchange) noBackendError(d *ratelimit.Denial) error {
	switch {
	case d != nil:
		return limitedError(d)
	case x.fleet.AllEvacuated(x.criteria()):
		return x.evacuatedError()
	default:
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackend, retryAfterTransient,
			"no backend server can be used")
	}
}

// criteria returns those that hold for every pick of a backend server for the request.
func (x *exchange) criteria() fleet.Criteria {
	c := fleet.Criteria{Service: x.service, Work: x.work(), CacheTokens: x.cacheTokens()}
	if x.homes.IsRestricted() {
		c.InDataCentre = func(dataCentre string) bool { return x.homes.Allows(x.regionOf[dataCentre]) }
	}
	return c
}

// attempt sends the request to one backend server. An error is a *verdict.Error.
func (x *exchange) attempt(ctx context.Context, b *fleet.Backend, body []byte) (*backendResponse, error) {
	sent := x.now()
	resp, err := x.servers.Do(ctx, b.Address, upstream.Request{
		ID: x.ID, Method: x.r.Method, Target: x.target, Host: x.r.Host, Body: body,
		Check: func() error { return x.maySend(b, sent) },
		Header: func() http.Header {
			return platform.ForwardHeaders(x.r.Header, platform.ForwardOptions{
				Backend: b.ID, Account: x.account.Name, Deadline: x.remaining(), LastEventID: x.resumeAfter,
			})
		},
	})
	if err != nil {
		var ue *upstream.Error
		if !errors.As(err, &ue) {
			release(x.fleet, b, false, ctx.Err() == nil)
			return nil, err
		}
		var refused *verdict.Error
		if errors.As(ue.Err, &refused) {
			x.fleet.Cancel(b)
			return nil, refused
		}
		release(x.fleet, b, false, ctx.Err() == nil && !ue.PathLost)
		if ue.Verdict != verdict.NotRun {
			x.sends++
			x.backend, x.mayHaveRun = b.ID, true
			if ctx.Err() == nil && !ue.PathLost {
				x.brokenOff(b, sent, ue)
			}
		}
		return nil, &verdict.Error{
			Verdict: ue.Verdict, Reason: verdict.ReasonBackendFailed, Status: http.StatusBadGateway, Detail: ue.Error(),
		}
	}
	x.sends++
	x.backend, x.via = b.ID, resp.Via
	if resp.Leaving {
		x.markLeaving(b)
		resp.ServerLeaving(b.ID, b.Incarnation)
	}
	x.observeLimit(b, resp, sent)
	backendResp := &backendResponse{Response: resp, backend: b, fleet: x.fleet, sent: sent}
	if !resp.NotRun {
		x.mayHaveRun = true
		return backendResp, nil
	}
	status := resp.Status
	resp.Close(discard(resp))
	x.fleet.Abandon(b)
	return nil, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackend, retryAfterTransient,
		"backend server %s did not run the request: status %d", b.ID, status)
}

// brokenOff records that a backend server ended a request without a complete response.
func (x *exchange) brokenOff(b *fleet.Backend, sent time.Time, cause error) {
	klog.InfoS("request was broken off by its backend server", "request", x.ID, "fingerprint", x.identity.String(),
		"account", x.account.Name, "previous", x.PreviousTurn, "input_bytes", len(x.body), "backend", b.ID, "born", b.Incarnation,
		"in_progress_ms", x.now().Sub(sent).Milliseconds(), "cause", cause.Error())
	x.quarantine.BrokenOff(x.identity, quarantine.Run{
		Server: quarantine.Server{ID: b.ID, Incarnation: b.Incarnation}, Address: b.Address, Sent: sent,
	})
}

func (x *exchange) markLeaving(b *fleet.Backend) {
	if !x.fleet.IsLeaving(b) {
		klog.InfoS("backend server announced that it is leaving", "request", x.ID, "backend", b.ID, "address", b.Address,
			"born", b.Incarnation)
	}
	x.fleet.MarkLeaving(b)
}

// discard reads the rest of a short body and reports whether it reached the end.
func discard(r *upstream.Response) bool {
	const limit = 64 << 10
	_, err := readAll(r.Body, r.Length, limit)
	return err == nil
}

// finalError converts the error of the last attempt to the one that is reported to the client.
func (x *exchange) finalError(err error) error {
	if err == nil {
		err = verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackend, retryAfterTransient,
			"no backend server can be used")
	}
	e := *verdict.From(err)
	if x.mayHaveRun && e.Verdict == verdict.NotRun {
		e.Verdict = verdict.MayHaveRun
	}
	switch {
	case e.Verdict == verdict.NotRun:
		e.Status, e.RetryAfter = http.StatusServiceUnavailable, max(e.RetryAfter, retryAfterTransient)
	case x.remaining() <= 0:
		e.Status, e.Reason = http.StatusGatewayTimeout, verdict.ReasonDeadline
	default:
		e.Status = http.StatusBadGateway
	}
	return &e
}

// pickService picks one of a route's services at random, in proportion to their weights.
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
