// Package gateway answers clients: it admits their requests, sends each to a backend server, and passes the answer on.
//
// Every failure carries a verdict. A refusal with status 402, 404, 429 or 503 promises that the request has not run and
// never will; 502, 504 and a connection that is closed promise nothing.
package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/internal/rates"
	"github.com/berylpond/berylpond/internal/routing"
	"github.com/berylpond/berylpond/internal/upstream"
	"github.com/berylpond/berylpond/internal/verdict"
	"github.com/berylpond/berylpond/platform"
)

const (
	// defaultTimeout bounds a request whose route names no timeout.
	defaultTimeout = 30 * time.Second
	// answerMargin is the part of a request's time that is kept for telling the client that it is over.
	answerMargin = 30 * time.Millisecond
	// isolatedTokenLimit is how long a request waits for a token at an instance that is cut off, which has few of its own.
	isolatedTokenLimit = 100 * time.Millisecond
	// retrySoon is told to clients whose request was refused for a condition that passes quickly.
	retrySoon = 200 * time.Millisecond
	// retryLater is told to clients while this instance can't serve; another attempt reaches another instance.
	retryLater = 400 * time.Millisecond
	// retryElsewhere is told to clients of an instance that is cut off: the balancer needs two missed checks to send
	// them to another, of which one has passed on average.
	retryElsewhere = 1200 * time.Millisecond
)

// Turns reaches the owners of programs.
type Turns interface {
	Begin(ctx context.Context, r *turnv1.BeginRequest) (*turnv1.BeginResponse, error)
	End(ctx context.Context, r *turnv1.EndRequest) error
}

// Admitter keeps accounts within their rates.
type Admitter interface {
	Admit(ctx context.Context, a routing.Account, first bool) *rates.Denial
}

// Gateway is the handler of client requests.
type Gateway struct {
	configuration func() *routing.Configuration
	fleet         *fleet.Fleet
	servers       *upstream.Pool
	turns         Turns
	rates         Admitter
	histories     *histories
	metrics       *Metrics
	now           func() time.Time
	// closing reports whether connections should end with their next answer, isolated whether the instance reaches
	// neither the store nor one that does.
	closing, isolated func() bool
}

// Options are what a Gateway works with.
type Options struct {
	Configuration func() *routing.Configuration
	Fleet         *fleet.Fleet
	Servers       *upstream.Pool
	Turns         Turns
	Rates         Admitter
	Metrics       *Metrics
	Closing       func() bool
	Isolated      func() bool
}

// New returns a gateway.
func New(o Options) *Gateway {
	return &Gateway{
		configuration: o.Configuration, fleet: o.Fleet, servers: o.Servers, turns: o.Turns, rates: o.Rates,
		histories: newHistories(), metrics: o.Metrics, now: time.Now, closing: o.Closing, isolated: o.Isolated,
	}
}

// exchange is one client request on its way.
type exchange struct {
	*Gateway
	w http.ResponseWriter
	r *http.Request
	platform.Request
	configuration *routing.Configuration
	route         *routing.Route
	account       routing.Account
	body          []byte
	// target is the path and query as the client sent them.
	target  string
	started time.Time
	// until is when the client must have its answer.
	until time.Time
	// sends counts the backend servers that the request was written to.
	sends int
	tried []string
	// answered is set once a status went to the client.
	answered bool
	// service and backend are where the request was sent last.
	service, backend string
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{Gateway: g, w: w, r: r, Request: platform.DecodeRequest(r.Header), started: g.now()}
	x.keepClosing(w.Header())
	err := x.admit()
	if err == nil {
		ctx, cancel := context.WithDeadline(r.Context(), x.until)
		defer cancel()
		if x.route.KeepsHistory {
			err = x.serveTurn(ctx)
		} else {
			err = x.serveCall(ctx)
		}
	}
	x.finish(err)
}

// admit decides whether the request may run at all, and reads its body.
func (x *exchange) admit() error {
	x.configuration = x.Gateway.configuration()
	if x.configuration == nil {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoConfiguration, retryLater, "no configuration yet")
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
	if x.ID == "" {
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0, "the request has no id")
	}
	if err := x.authenticate(); err != nil {
		return err
	}
	x.setDeadline()
	if err := x.readBody(); err != nil {
		return err
	}
	if d := x.takeToken(); d != nil {
		if !d.OverRate {
			return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonRateLimited, x.comeBack(), "the account's rate can't be checked")
		}
		return verdict.Refuse(http.StatusTooManyRequests, verdict.ReasonRateLimited, max(d.RetryAfter, retrySoon),
			"the account is over its rate")
	}
	return nil
}

// takeToken asks for the account's token. A cut-off instance does not wait for the holder: the client is better off at
// another instance.
func (x *exchange) takeToken() *rates.Denial {
	ctx := x.r.Context()
	if x.isolated() {
		limited, cancel := context.WithTimeout(ctx, isolatedTokenLimit)
		defer cancel()
		ctx = limited
	}
	return x.rates.Admit(ctx, x.account, x.startsProgram())
}

// startsProgram reports whether the request is the first turn of a program.
func (x *exchange) startsProgram() bool { return x.route.KeepsHistory && x.Previous == "" }

// comeBack is when a client that can't be served here should try again.
func (x *exchange) comeBack() time.Duration {
	if x.isolated() {
		return retryElsewhere
	}
	return retryLater
}

func (x *exchange) authenticate() error {
	if x.route.Public || !x.configuration.RequiresKeys() {
		return nil
	}
	account, ok := x.configuration.AccountOf(x.Key)
	if !ok {
		return verdict.Refuse(http.StatusUnauthorized, verdict.ReasonBadKey, 0, "the key is not known")
	}
	x.account = account
	return nil
}

// setDeadline gives the request the shorter of its route's time and the client's.
func (x *exchange) setDeadline() {
	limit := x.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if x.Deadline > 0 {
		limit = min(limit, x.Deadline)
	}
	x.until = x.started.Add(limit - min(answerMargin, limit/10))
}

func (x *exchange) readBody() error {
	limit := x.configuration.Limits.BodyBytes
	if limit <= 0 {
		limit = 1 << 20
	}
	if x.r.ContentLength > limit {
		return verdict.Refuse(http.StatusRequestEntityTooLarge, verdict.ReasonTooLarge, 0, "the body is over %d bytes", limit)
	}
	var err error
	x.body, err = readAll(x.r.Body, x.r.ContentLength, limit)
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		return verdict.Refuse(http.StatusRequestEntityTooLarge, verdict.ReasonTooLarge, 0, "the body is over %d bytes", limit)
	case err != nil:
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0, "the body ended early: %v", err)
	}
	return nil
}

// readAll reads a body of a known length without growing its buffer; length is -1 where it is not known.
func readAll(r io.Reader, length, limit int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	if length > 0 {
		b := make([]byte, length)
		_, err := io.ReadFull(r, b)
		return b, err
	}
	return io.ReadAll(http.MaxBytesReader(nil, io.NopCloser(r), limit))
}

// left is the time until the client must have its answer.
func (x *exchange) left() time.Duration { return x.until.Sub(x.now()) }

// finish gives the client its refusal, if there is one, and logs the outcome.
func (x *exchange) finish(err error) {
	took := x.now().Sub(x.started)
	if err == nil {
		x.metrics.served(x, took)
		klog.V(1).InfoS("served", x.fields(took)...)
		return
	}
	e := verdict.From(err)
	gone := x.r.Context().Err() != nil
	x.metrics.failed(x, e, gone, took)
	klog.InfoS("not served", append(x.fields(took), "status", e.Status, "verdict", e.Verdict.String(),
		"reason", string(e.Reason), "cause", e.Detail, "retry_after_ms", e.RetryAfter.Milliseconds(), "client_gone", gone,
		"cut", x.answered)...)
	if x.answered {
		// The client must not take what it has for a whole answer.
		panic(http.ErrAbortHandler)
	}
	if gone {
		return
	}
	refuse(x.w, x.ID, e)
}

func (x *exchange) fields(took time.Duration) []any {
	f := []any{"request", x.ID, "took_ms", took.Milliseconds(), "sends", x.sends, "backend", x.backend}
	if x.configuration != nil {
		f = append(f, "configuration", x.configuration.Version)
	}
	if x.route != nil {
		f = append(f, "route", x.route.Name, "account", x.account.Name)
	}
	if x.Program != "" {
		f = append(f, "program", x.Program)
	}
	return f
}

// refuse writes an answer of the gateway's own.
func refuse(w http.ResponseWriter, id string, e *verdict.Error) {
	h := w.Header()
	platform.SetRequestID(h, id)
	if e.RetryAfter > 0 {
		platform.SetRetryAfter(h, e.RetryAfter)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(e.Status)
	if _, err := io.WriteString(w, e.Error()+"\n"); err != nil {
		klog.V(1).InfoS("refusal not delivered", "request", id, "cause", err.Error())
	}
}
