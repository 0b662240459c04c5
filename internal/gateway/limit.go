package gateway

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/internal/ratelimit"
	"github.com/berylpond/berylpond/internal/upstream"
	"github.com/berylpond/berylpond/internal/verdict"
)

// acquireBackend picks a backend server. Servers at their announced limit are passed over; if that leaves none, the request
// waits for the least loaded of them. A denial tells that it waited in vain.
func (x *exchange) acquireBackend(ctx context.Context, preferred string) (*fleet.Backend, *ratelimit.Denial) {
	c := fleet.Criteria{Service: x.service, Preferred: preferred, Exclude: x.triedBackends}
	var atLimit []ratelimit.ServerLimit
	c.Permit = func(e fleet.Entry, l fleet.RateLimit) bool {
		limit := serverLimit(e, l)
		if x.rateLimiter.TakeForServer(limit) {
			return true
		}
		atLimit = append(atLimit, limit)
		return false
	}
	if b := x.fleet.Acquire(c); b != nil || len(atLimit) == 0 {
		return b, nil
	}
	awaited := atLimit[0]
	if d := x.rateLimiter.AwaitServer(ctx, awaited); d != nil {
		return nil, d
	}
	c.Permit = func(e fleet.Entry, l fleet.RateLimit) bool { return serverLimit(e, l).Server == awaited.Server }
	return x.fleet.Acquire(c), nil
}

func serverLimit(e fleet.Entry, l fleet.RateLimit) ratelimit.ServerLimit {
	return ratelimit.ServerLimit{
		Server: ratelimit.Server{ID: e.ID, Incarnation: e.Incarnation}, RequestsPerSecond: l.RequestsPerSecond,
	}
}

// limitedError is the refusal of a request for which every backend server is at its limit.
func limitedError(d *ratelimit.Denial) *verdict.Error {
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackend, max(d.RetryAfter, retryAfterTransient),
		"every backend server is at its announced limit")
}

// observeLimit records the request limit that the server announces. Only the result of running a request tells that it
// announces none, since refusals may come from an overloaded listener.
func (x *exchange) observeLimit(b *fleet.Backend, resp *upstream.Response, sent time.Time) {
	if !resp.HasRateLimit && !resp.Stamped {
		return
	}
	l := fleet.RateLimit{Announced: resp.HasRateLimit, RequestsPerSecond: resp.RateLimit}
	change, changed := x.fleet.ObserveLimit(b, l, sent)
	if !changed {
		return
	}
	klog.InfoS("backend server changed its request limit", "request", x.ID, "backend", b.ID, "address", b.Address,
		"limited", change.After.Announced, "per_second", change.After.RequestsPerSecond, "limited_before",
		change.Before.Announced, "per_second_before", change.Before.RequestsPerSecond, "limited_ms", change.For.Milliseconds(),
		"sent", change.Sent)
}
