// Package gateway is the HTTP entry point for clients: it admits their requests, forwards each to a backend server and
// relays the response.
//
// Every failure carries a verdict. A refusal with status 402, 404, 429 or 503 guarantees that the request has not run
// and never will; 502, 504 and a closed connection guarantee nothing.
package gateway

import (
	"context"
	"io"
	"math"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/backendlimit"
	"github.com/berylpond/berylpond/internal/clientconn"
	"github.com/berylpond/berylpond/internal/feature"
	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/internal/homes"
	"github.com/berylpond/berylpond/internal/memory"
	"github.com/berylpond/berylpond/internal/quarantine"
	"github.com/berylpond/berylpond/internal/ratelimit"
	"github.com/berylpond/berylpond/internal/routing"
	"github.com/berylpond/berylpond/internal/upstream"
	"github.com/berylpond/berylpond/internal/verdict"
	"github.com/berylpond/berylpond/platform"
)

const (
	// defaultTimeout applies to routes without a timeout of their own.
	defaultTimeout = 30 * time.Second
	// responseMargin is the part of a request's timeout that is reserved for writing the timeout response to the client.
	responseMargin = 30 * time.Millisecond
	// isolatedTokenTimeout bounds the wait for a rate-limit token at an isolated instance, which has few tokens of its
	// own.
	isolatedTokenTimeout = 100 * time.Millisecond
	// retryAfterTransient is the Retry-After for conditions that pass quickly.
	retryAfterTransient = 200 * time.Millisecond
	// retryAfterUnavailable is the Retry-After while this instance can't serve; the next attempt reaches another
	// instance.
	retryAfterUnavailable = 400 * time.Millisecond
	// retryAfterIsolated is the Retry-After of an isolated instance: the load balancer takes an instance out after two
	// failed health checks, of which on average one has already failed.
	retryAfterIsolated = 1200 * time.Millisecond
)

// TurnClient reports the beginning and the end of turns to the owners of their programs.
type TurnClient interface {
	Begin(ctx context.Context, r *turnv1.BeginRequest) (*turnv1.BeginResponse, error)
	End(ctx context.Context, r *turnv1.EndRequest) error
}

// RateLimiter enforces the rate limits of client accounts and those that backend servers announce.
type RateLimiter interface {
	Admit(ctx context.Context, a routing.Account, first bool) *ratelimit.Denial
	// DenyProgram returns why no program of the account may begin now, for a request that turned out to be the first of one.
	DenyProgram(a routing.Account) *ratelimit.Denial
	// Refund returns the token of an admitted request that has not run and never will.
	Refund(a routing.Account)
	// TakeForServer takes a token that this instance holds for one request to a backend server. AskForServer asks the holder
	// for one as well, and AwaitServer waits until there is one.
	TakeForServer(l ratelimit.ServerLimit) bool
	AskForServer(ctx context.Context, l ratelimit.ServerLimit) bool
	AwaitServer(ctx context.Context, l ratelimit.ServerLimit) *ratelimit.Denial
	// ReportServer tells the other instances of a change of a backend server's limit.
	ReportServer(server backendlimit.Server, s backendlimit.State)
}

// Quarantine keeps requests that make backend servers crash from being sent on.
type Quarantine interface {
	// Until returns the end of the quarantine of a request. It is zero if the request may be sent.
	Until(id quarantine.Identity) time.Time
	// BrokenOff records that a backend server ended a run without a whole response, Completed that one ended with a whole
	// response.
	BrokenOff(id quarantine.Identity, r quarantine.Run)
	Completed(id quarantine.Identity)
}

// Gateway is the HTTP handler of client requests.
type Gateway struct {
	configuration func() *routing.Configuration
	fleet         *fleet.Fleet
	servers       *upstream.Pool
	turnClient    TurnClient
	rateLimiter   RateLimiter
	quarantine    Quarantine
	historyCache  *historyCache
	memory        *memory.Account
	rooms         *rooms
	metrics       *Metrics
	now           func() time.Time
	// coldReturns holds when the clients of each service come back that were refused since its servers are cold.
	coldReturns returnQueues
	// reports counts the reports of ended turns that are under way in the background.
	reports sync.WaitGroup
	// draining reports whether the instance closes client connections after their next response, isolated whether it
	// reaches neither the store nor a peer that does.
	draining, isolated func() bool
	stop               *stopState
	features           feature.Set
	// viewUsable reports whether this instance knows which data centres are evacuated, recently enough to send requests.
	viewUsable func() bool
	// evacuationPeriod is the time within which instances learn that a data centre is evacuated or taken back.
	evacuationPeriod time.Duration
	// regionOf is the region of each data centre.
	regionOf map[string]string
}

// Options holds the dependencies of a Gateway.
type Options struct {
	Configuration func() *routing.Configuration
	Fleet         *fleet.Fleet
	Upstream      *upstream.Pool
	TurnClient    TurnClient
	RateLimiter   RateLimiter
	Quarantine    Quarantine
	Metrics       *Metrics
	// HeldBytes bounds the memory that requests and caches may hold, in bytes.
	HeldBytes int64
	// TotalBytes bounds the same together with what is kept of programs, in bytes; zero for no bound.
	TotalBytes int64
	Draining   func() bool
	Isolated   func() bool
	Features   feature.Set
	// ViewUsable reports whether this instance knows which data centres are evacuated, recently enough to send requests.
	ViewUsable       func() bool
	EvacuationPeriod time.Duration
	// RegionOf is the region of each data centre.
	RegionOf map[string]string
}

// New returns a gateway.
func New(o Options) *Gateway {
	g := &Gateway{
		configuration: o.Configuration, fleet: o.Fleet, servers: o.Upstream, turnClient: o.TurnClient,
		rateLimiter: o.RateLimiter, quarantine: o.Quarantine, rooms: newRooms(), metrics: o.Metrics, now: time.Now,
		draining: o.Draining, isolated: o.Isolated, features: o.Features, stop: newStopState(),
		viewUsable: o.ViewUsable, evacuationPeriod: o.EvacuationPeriod, regionOf: o.RegionOf,
	}
	limit, total := o.HeldBytes, o.TotalBytes
	if !o.Features.Enabled(feature.MemoryLimit) {
		limit, total = math.MaxInt64/2, 0
	}
	g.historyCache = &historyCache{}
	g.memory = memory.New(limit, g.historyCache.shrink)
	g.memory.SetTotal(total)
	g.historyCache.open(g.memory)
	o.Metrics.observeMemory(g.memory)
	return g
}

// Memory returns the account of the memory that requests and caches hold.
func (g *Gateway) Memory() *memory.Account { return g.memory }

// WaitForReports waits until the owners of programs know of the ended turns, for reportTimeout at most. It must be
// called after the last request has ended.
func (g *Gateway) WaitForReports() { g.reports.Wait() }

// exchange is the state of one client request.
type exchange struct {
	*Gateway
	w http.ResponseWriter
	r *http.Request
	// conn is the client's connection; nil if it is not bounded.
	conn *clientconn.Conn
	platform.Request
	configuration *routing.Configuration
	route         *routing.Route
	account       routing.Account
	// homes are the regions in which the request may be handled.
	homes homes.Set
	body  []byte
	// identity identifies the request whatever its id.
	identity quarantine.Identity
	// target is the path and query exactly as the client sent them.
	target  string
	started time.Time
	// respondBy is the time by which the client must have its response.
	respondBy time.Time
	// sends counts the backend servers to which the request was written.
	sends int
	// uncounted is the number of sends that do not count toward the route's limit, since their servers have ended.
	uncounted int
	// resumeAfter is the id of the event after which the next backend server goes on; empty if it is to run the request as
	// the client sent it.
	resumeAfter string
	// mayHaveRun is set once a backend server may have run the request, even if a later attempt was refused.
	mayHaveRun    bool
	triedBackends []string
	// isFirstTurn is set if the request begins a program.
	isFirstTurn bool
	// room is the request's place at the backend servers; nil until it is admitted to one.
	room *room
	// admitted is set once a token of the account's rate was taken.
	admitted bool
	// held is the number of bytes that the request holds in the memory account.
	held int64
	// headersSent is set once a status was written to the client.
	headersSent bool
	// outliveStop lets the request go on after the end of a planned stop.
	outliveStop func() bool
	// service and backend name the service and the backend server of the last attempt.
	service, backend string
	// via is the peer address of the instance through which the last response came; empty if it came directly.
	via string
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		Gateway: g, w: w, r: r, conn: clientconn.FromContext(r.Context()), Request: platform.DecodeRequest(r.Header), started: g.now(),
	}
	defer func() { x.memory.Release(x.held) }()
	x.setConnectionClose(w.Header())
	defer func() { x.room.leave(x.now()) }()
	err := x.admit()
	if err == nil {
		ctx, cancel := context.WithDeadline(homes.NewContext(r.Context(), x.homes), x.respondBy)
		defer cancel()
		ctx, cancel = x.untilStopped(ctx)
		defer cancel()
		switch {
		case x.route.StoresHistory:
			err = x.serveTurn(ctx)
		case x.route.Kind == routing.Streaming && x.HasBudget && x.Program != "":
			err = x.serveUnstoredTurn(ctx)
		default:
			err = x.serveCall(ctx)
		}
	}
	x.finish(err)
}

// admit resolves the route, authenticates the client, reads the body and applies the rate limit.
func (x *exchange) admit() error {
	x.configuration = x.Gateway.configuration()
	if x.configuration == nil {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoConfiguration, retryAfterUnavailable,
			"no configuration yet")
	}
	x.target = x.r.RequestURI
	if !strings.HasPrefix(x.target, "/") {
		x.target = x.r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(x.target, "?")
	x.route = x.configuration.RouteFor(x.r.Host, path)
	if x.route == nil {
		return verdict.Refuse(http.StatusNotFound, verdict.ReasonUnknownRoute, 0, "no route for %s%s", x.r.Host, path)
	}
	if err := x.checkIDs(); err != nil {
		return err
	}
	if err := x.authenticate(); err != nil {
		return err
	}
	x.homes = homes.Of(x.route.HomeRegions, x.account.HomeRegions)
	if !x.homes.AllowsAny(x.regionOf) {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoHome, retryAfterUnavailable,
			"no region of this site is a home of the request: route %v, account %v", x.route.HomeRegions, x.account.HomeRegions)
	}
	x.setDeadline()
	if err := x.readBody(); err != nil {
		return err
	}
	if err := x.admitWhileStopping(); err != nil {
		return err
	}
	x.identity = quarantine.IdentityOf(x.account.Name, x.r.Method, x.r.Host, x.target, x.body)
	if err := x.checkQuarantine(); err != nil {
		return err
	}
	if d := x.acquireToken(); d != nil {
		return x.rateError(d)
	}
	x.admitted = true
	return nil
}

// checkIDs refuses requests whose ids can't be sent to other instances or recorded, as messages hold valid UTF-8 only.
func (x *exchange) checkIDs() error {
	if x.ID == "" {
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0, "the request has no id")
	}
	for _, id := range []string{x.ID, x.Program, x.Session, x.PreviousTurn} {
		if !utf8.ValidString(id) {
			return verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0, "the id %.80q is not valid UTF-8", id)
		}
	}
	return nil
}

// rateError is the refusal of a request that the account's rate has no room for.
func (x *exchange) rateError(d *ratelimit.Denial) error {
	if !d.OverRate {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonRateLimited, x.retryDelay(),
			"the account's rate can't be checked")
	}
	return verdict.Refuse(http.StatusTooManyRequests, verdict.ReasonRateLimited, max(d.RetryAfter, retryAfterTransient),
		"the account is over its rate")
}

// checkQuarantine refuses a request that makes backend servers crash.
func (x *exchange) checkQuarantine() error {
	until := x.quarantine.Until(x.identity)
	if until.IsZero() {
		return nil
	}
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonQuarantined, max(until.Sub(x.now()), retryAfterTransient),
		"backend servers crashed when they ran requests like this one (%s)", x.identity)
}

// acquireToken takes a rate-limit token of the account. An isolated instance waits only briefly for the holder of the
// account's tokens, since the client is served faster by another instance.
func (x *exchange) acquireToken() *ratelimit.Denial {
	ctx := x.r.Context()
	if x.isolated() {
		limited, cancel := context.WithTimeout(ctx, isolatedTokenTimeout)
		defer cancel()
		ctx = limited
	}
	return x.rateLimiter.Admit(ctx, x.account, x.startsProgram())
}

// startsProgram reports whether the request is the first turn of a program.
func (x *exchange) startsProgram() bool { return x.route.StoresHistory && x.PreviousTurn == "" }

// retryDelay is the Retry-After for a client that this instance can't serve.
func (x *exchange) retryDelay() time.Duration {
	if x.isolated() {
		return retryAfterIsolated
	}
	return retryAfterUnavailable
}

func (x *exchange) authenticate() error {
	if x.route.Public || !x.configuration.RequiresKeys() {
		return nil
	}
	account, ok := x.configuration.AccountForKey(x.Key)
	if !ok {
		return verdict.Refuse(http.StatusUnauthorized, verdict.ReasonBadKey, 0, "the key is not known")
	}
	x.account = account
	return nil
}

// setDeadline applies the shorter of the route's and the client's timeout.
func (x *exchange) setDeadline() {
	limit := x.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if x.Deadline > 0 {
		limit = min(limit, x.Deadline)
	}
	x.respondBy = x.started.Add(limit - min(responseMargin, limit/10))
}

func (x *exchange) readBody() error {
	limit := x.configuration.Limits.BodyBytes
	if limit <= 0 {
		limit = 1 << 20
	}
	if x.r.ContentLength > limit {
		return verdict.Refuse(http.StatusRequestEntityTooLarge, verdict.ReasonTooLarge, 0, "the body is over %d bytes", limit)
	}
	if err := x.hold(requestBytes); err != nil {
		return err
	}
	body, held, err := x.receiveBody(limit)
	x.body = body
	x.addHeld(held)
	var long *http.MaxBytesError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return verdict.Refuse(http.StatusRequestTimeout, verdict.ReasonDeadline, 0, "the body did not arrive in time")
	case errors.Is(err, memory.ErrFull):
		return x.noMemory(max(x.r.ContentLength, held))
	case errors.As(err, &long):
		return verdict.Refuse(http.StatusRequestEntityTooLarge, verdict.ReasonTooLarge, 0, "the body is over %d bytes", limit)
	case err != nil:
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0, "the body ended early: %v", err)
	}
	return nil
}

// receiveBody reads the client's body until the time at which the client must have its response.
func (x *exchange) receiveBody(limit int64) (body []byte, held int64, err error) {
	if x.r.ContentLength != 0 {
		defer x.conn.AwaitBody()()
		connection := http.NewResponseController(x.w)
		if err := connection.SetReadDeadline(x.respondBy); err != nil {
			return nil, 0, errors.Wrap(err, "setting a deadline")
		}
		// A deadline that passes while the request is in progress would look as if the client had left.
		defer func() {
			if err := connection.SetReadDeadline(time.Time{}); err != nil {
				klog.V(1).InfoS("could not lift the deadline of a body", "request", x.ID, "cause", err.Error())
			}
		}()
	}
	return memory.ReadBody(x.memory, x.r.Body, x.r.ContentLength, limit)
}

// readAll reads a body of at most limit bytes; a length of -1 means unknown. For a known length the buffer is allocated
// once.
func readAll(r io.Reader, length, limit int64) ([]byte, error) {
	switch {
	case length == 0:
		return nil, nil
	case length > limit:
		return nil, &http.MaxBytesError{Limit: limit}
	case length > 0:
		b := make([]byte, length)
		_, err := io.ReadFull(r, b)
		return b, err
	}
	return io.ReadAll(http.MaxBytesReader(nil, io.NopCloser(r), limit))
}

// remaining is the time until the client must have its response.
func (x *exchange) remaining() time.Duration { return x.respondBy.Sub(x.now()) }

// finish records the outcome in the metrics and the log, and writes the refusal to the client if there is one.
func (x *exchange) finish(err error) {
	elapsed := x.now().Sub(x.started)
	if err == nil {
		x.metrics.observeServed(x, elapsed)
		klog.V(1).InfoS("served", x.logFields(elapsed)...)
		return
	}
	e := x.spreadRetryAfter(verdict.From(err))
	if x.admitted && e.Verdict == verdict.NotRun {
		x.rateLimiter.Refund(x.account)
	}
	clientGone := x.r.Context().Err() != nil
	x.metrics.observeFailed(x, e, clientGone, elapsed)
	klog.InfoS("not served", append(x.logFields(elapsed), "status", e.Status, "verdict", e.Verdict.String(),
		"reason", string(e.Reason), "cause", e.Detail, "retry_after_ms", e.RetryAfter.Milliseconds(),
		"client_gone", clientGone, "cut", x.headersSent)...)
	if x.headersSent {
		// Aborts the connection, so that the client can't mistake a partial response for a complete one.
		panic(http.ErrAbortHandler)
	}
	if clientGone {
		return
	}
	writeRefusal(x.w, x.ID, e)
}

func (x *exchange) logFields(elapsed time.Duration) []any {
	f := []any{"request", x.ID, "took_ms", elapsed.Milliseconds(), "sends", x.sends, "backend", x.backend}
	if x.configuration != nil {
		f = append(f, "configuration", x.configuration.Version)
	}
	if x.route != nil {
		f = append(f, "route", x.route.Name, "account", x.account.Name)
	}
	if x.Program != "" {
		f = append(f, "program", x.Program)
	}
	if x.via != "" {
		f = append(f, "via", x.via)
	}
	return f
}

// writeRefusal writes an error response generated by the gateway.
func writeRefusal(w http.ResponseWriter, id string, e *verdict.Error) {
	h := w.Header()
	platform.SetRequestID(h, id)
	if e.RetryAfter > 0 {
		platform.SetRetryAfter(h, e.RetryAfter)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(e.Status)
	if _, err := io.WriteString(w, e.Error()+"\n"); err != nil {
		klog.V(1).InfoS("could not write the refusal to the client", "request", id, "cause", err.Error())
	}
}
