package executor

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	"github.com/berylpond/berylpond/internal/config"
	"github.com/berylpond/berylpond/internal/document"
	"github.com/berylpond/berylpond/internal/engine"
	"github.com/berylpond/berylpond/internal/verdict"
)

const (
	// maxServiceAttempts bounds the number of backend servers to which one repeatable call is sent.
	maxServiceAttempts = 2
	// maxServiceResponseBytes bounds the body of a service's response.
	maxServiceResponseBytes = 8 << 20
)

func (x *Executor) callService(ctx context.Context, snap *config.Snapshot, r *peerv1.CallRequest, emit EmitFunc) error {
	team := r.Account.Team
	route, ok := snap.TeamRoute(team, r.Method, r.Path)
	if !ok {
		return verdict.Refuse(http.StatusNotFound, verdict.ReasonUnknownRoute, 0, "no route for %s %s", r.Method, r.Path)
	}
	if !route.Open && !allowed(route.Accounts, r.Account.Name) {
		return verdict.Refuse(http.StatusForbidden, verdict.ReasonForbidden, 0, "this account may not call %s", r.Path)
	}
	if int64(len(r.Body)) > route.MaxBody {
		return verdict.Refuse(http.StatusRequestEntityTooLarge, verdict.ReasonTooLarge, 0, "body is larger than %d bytes", route.MaxBody)
	}
	call := func(ctx context.Context, emit EmitFunc) error {
		return x.runServiceWithRetries(ctx, team, route, r, emit)
	}
	if route.Repeatable && r.IdempotencyKey == "" {
		return call(ctx, emit)
	}
	if r.IdempotencyKey == "" {
		// Requests without a key are all distinct, but each is still sent at most once.
		r.IdempotencyKey = "generated-" + r.RequestId
	}
	return x.runAtMostOnce(ctx, r, emit, call)
}

func (x *Executor) runServiceWithRetries(ctx context.Context, team string, route document.Route, r *peerv1.CallRequest, emit EmitFunc) error {
	var failedBackends []string
	written := false
	for n := 1; ; n++ {
		addr, ok := x.balancer.pick(x.deps.Backends.ServiceAddresses(team, route.Service), failedBackends)
		if !ok {
			return verdictAfterWrite(written, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackend,
				retryAfterUnavailable, "service %q has no backend server to send this to", route.Service))
		}
		resp, err := x.attemptService(ctx, addr, route, r)
		if err == nil {
			return emitServiceResponse(resp, emit)
		}
		e := verdict.From(err)
		written = written || e.Verdict != verdict.NotRun
		if n == maxServiceAttempts || ctx.Err() != nil || !e.Verdict.RetrySafe(route.Repeatable) {
			return verdictAfterWrite(written, e)
		}
		x.retries.WithLabelValues(string(e.Reason)).Inc()
		failedBackends = append(failedBackends, addr)
	}
}

func (x *Executor) attemptService(ctx context.Context, addr string, route document.Route, r *peerv1.CallRequest) (engine.ServiceResponse, error) {
	started := time.Now()
	x.attempts.Inc()
	done := x.balancer.begin(addr)
	resp, err := x.deps.BackendClient.CallService(ctx, addr, engine.ServiceRequest{
		RequestID: uuid.NewString(), Method: r.Method, Path: r.Path, Query: r.Query, ContentType: r.ContentType,
		Body: r.Body, Timeout: route.Timeout, MaxResponseBytes: maxServiceResponseBytes,
	})
	done(err)
	x.observe("service", started)
	return resp, err
}

func emitServiceResponse(resp engine.ServiceResponse, emit EmitFunc) error {
	if err := emit(startEvent(int32(resp.Status), resp.ContentType, "")); err != nil {
		return err
	}
	if err := emit(deltaEvent(resp.Body)); err != nil {
		return err
	}
	return emit(endEvent(&peerv1.End{}))
}

// verdictAfterWrite converts the error of the last attempt to that of the whole call: once any attempt has written to a
// backend server, the call is not NotRun.
func verdictAfterWrite(written bool, e *verdict.Error) *verdict.Error {
	if !written || e.Verdict != verdict.NotRun {
		return e
	}
	c := *e
	c.Verdict = verdict.MayHaveRun
	return &c
}
