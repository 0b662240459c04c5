package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/berylpond/berylpond/internal/backendlimit"
	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/internal/ratelimit"
	"github.com/berylpond/berylpond/internal/upstream"
	"github.com/berylpond/berylpond/internal/verdict"
)

const (
	// maxAsked is for how many servers at their limit a request asks for a token before it takes another server.
	maxAsked = 2
	// maxAskedCold is the same once one of them is cold: a request does not wait for a token of a cold server.
	maxAskedCold = 4
)

// acquireBackend picks a backend server. If the best one limits its requests, a token is asked for; servers without one are
// passed over. If that leaves none, the request waits for the best of them, and a denial tells that it waited in vain.
//
// Once a server has had no token, those of all data centres are compared alike. Load pattern: most servers of one data
// centre are limited, and the load of the others there, of which this instance sees only its own part, would grow far
// beyond that of the servers elsewhere.
func (x *exchange) acquireBackend(ctx context.Context, preferred string) (*fleet.Backend, *ratelimit.Denial) {
	c := x.criteria()
	c.Preferred, c.Exclude = preferred, slices.Clone(x.triedBackends)
	var atLimit []ratelimit.ServerLimit
	for most := maxAsked; len(atLimit) < most; {
		b, limit := x.pickBackend(c)
		if b == nil {
			break
		}
		if limit == nil {
			return b, nil
		}
		if x.rateLimiter.AskForServer(ctx, *limit) {
			x.metrics.limited.WithLabelValues("granted").Inc()
			x.fleet.Sent(b)
			return b, nil
		}
		x.metrics.limited.WithLabelValues("passed_over").Inc()
		x.fleet.Cancel(b)
		atLimit = append(atLimit, *limit)
		if limit.Cold {
			most = maxAskedCold
		}
		c.Exclude, c.AnyDataCentre = append(c.Exclude, b.ID), true
	}
	if len(atLimit) == 0 {
		return nil, nil
	}
	// Instances rarely hold tokens of cold servers, and there may be many of these.
	c.WarmOnly = atLimit[len(atLimit)-1].Cold
	c.Permit = func(server backendlimit.Server, l backendlimit.Limit) bool {
		return x.rateLimiter.TakeForServer(ratelimit.LimitFor(server, l))
	}
	if b := x.fleet.Acquire(c); b != nil {
		return b, nil
	}
	awaited := awaitedLimit(atLimit)
	if awaited.Cold {
		x.metrics.limited.WithLabelValues("refused_cold").Inc()
		return nil, x.denyCold()
	}
	if d := x.rateLimiter.AwaitServer(ctx, awaited); d != nil {
		x.metrics.limited.WithLabelValues("refused").Inc()
		return nil, d
	}
	x.metrics.limited.WithLabelValues("awaited").Inc()
	c.Exclude = x.triedBackends
	c.Permit = func(server backendlimit.Server, l backendlimit.Limit) bool {
		return server == awaited.Server && !l.Cold
	}
	return x.fleet.Acquire(c), nil
}

// awaitedLimit returns the server whose token a request waits for: the best warm one, since those of cold servers are not
// waited for.
func awaitedLimit(atLimit []ratelimit.ServerLimit) ratelimit.ServerLimit {
	for _, l := range atLimit {
		if !l.Cold {
			return l
		}
	}
	return atLimit[0]
}

// pickBackend picks the best backend server. If that one limits its requests and this instance holds no token for it, the
// limit is returned too.
func (x *exchange) pickBackend(c fleet.Criteria) (b *fleet.Backend, needed *ratelimit.ServerLimit) {
	c.Permit = func(server backendlimit.Server, l backendlimit.Limit) bool {
		if limit := ratelimit.LimitFor(server, l); !x.rateLimiter.TakeForServer(limit) {
			needed = &limit
		}
		return true
	}
	return x.fleet.Acquire(c), needed
}

// limitedError is the refusal of a request for which every backend server is at its limit.
func limitedError(d *ratelimit.Denial) *verdict.Error {
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackend, max(d.RetryAfter, retryAfterTransient),
		"every backend server is at its limit")
}

// observeLimit records the request limit that the server announces, and tells the other instances if it changed. Only the
// result of running a request tells that there is none, since refusals may come from an overloaded listener.
func (x *exchange) observeLimit(b *fleet.Backend, resp *upstream.Response, sent time.Time) {
	if !resp.HasRateLimit && !resp.Stamped {
		return
	}
	server := backendlimit.Server{ID: b.ID, Incarnation: b.Incarnation}
	s := backendlimit.Observed(backendlimit.Limit{Announced: resp.HasRateLimit, RequestsPerSecond: resp.RateLimit}, sent, x.now())
	change, changed := x.fleet.UpdateLimit(server, s)
	if !changed {
		return
	}
	x.rateLimiter.ReportServer(server, s)
	fleet.LogLimitChange(b.ID, change, "request", x.ID)
}
