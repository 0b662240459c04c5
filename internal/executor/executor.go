// Package executor runs the calls of package daemon's callers: model calls, with the history of their program, and calls
// to plain services. No other package of the daemon sends them to backend servers.
package executor

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	journalv1 "github.com/berylpond/berylpond/api/journal/v1"
	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	"github.com/berylpond/berylpond/internal/cell"
	"github.com/berylpond/berylpond/internal/config"
	"github.com/berylpond/berylpond/internal/engine"
	"github.com/berylpond/berylpond/internal/intent"
	"github.com/berylpond/berylpond/internal/journal"
	"github.com/berylpond/berylpond/internal/keeper"
	"github.com/berylpond/berylpond/internal/program"
	"github.com/berylpond/berylpond/internal/verdict"
)

// Values of CallRequest.Kind.
const (
	KindModel   = "model"
	KindService = "service"
)

// retryAfterUnavailable is the Retry-After of refusals whose cause usually passes soon: no configuration (an instance
// usually has one after this time), no claim, or no backend server.
const retryAfterUnavailable = time.Second

// Admitter grants permits to call engines.
type Admitter interface {
	Admit(ctx context.Context, call keeper.Call) (*keeper.Permit, error)
}

// Claimer grants the exclusive right to run a request that must not be repeated.
type Claimer interface {
	Claim(ctx context.Context, id string) (*cell.Claim, error)
}

// IntentLog writes to the stream of intents.
type IntentLog interface {
	Append(ctx context.Context, rec *journalv1.Record) (journal.Position, error)
	Enqueue(rec *journalv1.Record) error
}

// Backends lists the addresses of a service's backend servers that accept new work.
type Backends interface {
	ServiceAddresses(team, name string) []string
}

// EmitFunc sends one event of the response towards the caller.
type EmitFunc func(*peerv1.CallEvent) error

// Deps holds the dependencies of an Executor.
type Deps struct {
	Snapshot      func() *config.Snapshot
	Programs      *program.Controller
	Admitter      Admitter
	BackendClient *engine.Client
	Claimer       Claimer
	Intents       *intent.Index
	IntentLog     IntentLog
	Backends      Backends
}

// Executor is safe for concurrent use.
type Executor struct {
	deps     Deps
	balancer *balancer
	retries  *prometheus.CounterVec
	phases   *prometheus.HistogramVec
	attempts prometheus.Counter
}

// New returns an executor.
func New(deps Deps) *Executor {
	return &Executor{
		deps:     deps,
		balancer: newBalancer(),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylpond_retries_total", Help: "Calls sent to a second backend server, by the reason of the first failure.",
		}, []string{"reason"}),
		phases: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "berylpond_phase_seconds", Help: "Time spent in each phase of a call, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18),
		}, []string{"phase"}),
		attempts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "berylpond_backend_attempts_total", Help: "Requests sent to backend servers.",
		}),
	}
}

// Collectors returns the executor's metrics.
func (x *Executor) Collectors() []prometheus.Collector {
	return []prometheus.Collector{x.retries, x.phases, x.attempts}
}

// Execute runs one call and emits its response. An error is the call's final failure; no End event was emitted in that
// case.
func (x *Executor) Execute(ctx context.Context, r *peerv1.CallRequest, emit EmitFunc) error {
	snap := x.deps.Snapshot()
	if snap == nil {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoConfiguration, retryAfterUnavailable,
			"this instance has no configuration yet")
	}
	switch r.Kind {
	case KindModel:
		return x.callModel(ctx, snap, r, emit)
	case KindService:
		return x.callService(ctx, snap, r, emit)
	}
	return verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0, "unknown kind of call %q", r.Kind)
}

func (x *Executor) observe(phase string, since time.Time) {
	x.phases.WithLabelValues(phase).Observe(time.Since(since).Seconds())
}

func startEvent(status int32, contentType, model string) *peerv1.CallEvent {
	return &peerv1.CallEvent{Event: &peerv1.CallEvent_Start{Start: &peerv1.Start{
		Status: status, ContentType: contentType, Model: model,
	}}}
}

func deltaEvent(b []byte) *peerv1.CallEvent {
	return &peerv1.CallEvent{Event: &peerv1.CallEvent_Delta{Delta: &peerv1.Delta{Data: b}}}
}

func endEvent(e *peerv1.End) *peerv1.CallEvent {
	return &peerv1.CallEvent{Event: &peerv1.CallEvent_End{End: e}}
}
