package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/berylpond/berylpond/internal/admission"
	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/internal/memory"
	"github.com/berylpond/berylpond/internal/verdict"
)

// Metrics holds the metrics of client requests.
type Metrics struct {
	requests          *prometheus.CounterVec
	refusals          *prometheus.CounterVec
	retries           *prometheus.CounterVec
	limited           *prometheus.CounterVec
	resumptions       *prometheus.CounterVec
	admissions        *prometheus.CounterVec
	waiting           prometheus.Gauge
	heldSeconds       *prometheus.HistogramVec
	latency           *prometheus.HistogramVec
	firstEventSeconds *prometheus.HistogramVec
	registerer        prometheus.Registerer
	placements        *prometheus.CounterVec
	promptTokens      *prometheus.CounterVec
	placementError    *prometheus.HistogramVec
}

// NewMetrics creates the metrics and registers them.
func NewMetrics(r prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 12)
	m := &Metrics{
		registerer: r,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylpond_gateway_requests_total", Help: "Requests by kind of route and whether they were served.",
		}, []string{"kind", "outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylpond_gateway_refusals_total",
			Help: "Requests without the answer of a backend server, by reason and verdict.",
		}, []string{"reason", "verdict"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylpond_gateway_retries_total", Help: "Requests sent to another backend server, by reason.",
		}, []string{"reason"}),
		limited: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylpond_gateway_limited_servers_total",
			Help: "Picks of a backend server that limits its requests, by what came of them.",
		}, []string{"outcome"}),
		resumptions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylpond_gateway_stream_resumptions_total",
			Help: "Streams of resumable routes that were broken off, by what came of them.",
		}, []string{"outcome"}),
		admissions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylpond_admission_decisions_total",
			Help: "Requests that asked for a place at a backend server, by class, outcome and cause.",
		}, []string{"class", "outcome", "cause"}),
		waiting: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "berylpond_admission_waiting", Help: "Requests that wait for a place at a backend server.",
		}),
		heldSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "berylpond_admission_held_seconds",
			Help: "From the headers of a request to the decision on its place, if it did not get one at once.", Buckets: buckets,
		}, []string{"class"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "berylpond_gateway_request_seconds", Help: "From the headers of a request to the end of its answer.",
			Buckets: buckets,
		}, []string{"kind"}),
		firstEventSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "berylpond_gateway_first_event_seconds",
			Help: "From the headers of a request to its first event.", Buckets: buckets,
		}, []string{"kind"}),
	}
	m.placements = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "berylpond_placement_picks_total", Help: "Picks of backend servers, by reason.",
	}, []string{"reason"})
	m.promptTokens = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "berylpond_placement_prompt_tokens_total",
		Help: "Prompt tokens of requests sent to backend servers, by whether the server is expected to read or to keep them.",
	}, []string{"expected"})
	m.placementError = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "berylpond_placement_first_event_error_seconds",
		Help: "Difference of the time until the first event of a stream from what was expected, by its sign.", Buckets: buckets,
	}, []string{"was"})
	r.MustRegister(m.requests, m.refusals, m.retries, m.limited, m.resumptions, m.admissions, m.waiting, m.heldSeconds,
		m.latency, m.firstEventSeconds, m.placements, m.promptTokens, m.placementError)
	return m
}

// observeMemory registers the gauges of the memory account.
func (m *Metrics) observeMemory(a *memory.Account) {
	m.registerer.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "berylpond_gateway_held_bytes", Help: "Bytes that requests in progress hold.",
		}, func() float64 { return float64(a.Usage().Held) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "berylpond_gateway_cached_bytes", Help: "Bytes of cached histories, which yield to requests.",
		}, func() float64 { return float64(a.Usage().Cached) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "berylpond_gateway_kept_bytes", Help: "Bytes of the turns that this instance keeps as the owner of their programs.",
		}, func() float64 { return float64(a.Usage().Kept) }),
	)
}

func (x *exchange) kindLabel() string {
	if x.route == nil {
		return "none"
	}
	return x.route.Kind.String()
}

func (m *Metrics) observeAdmission(w *admission.Waiter, held time.Duration) {
	d := w.Decision
	m.admissions.WithLabelValues(w.Class.String(), d.Outcome.String(), string(d.Cause)).Inc()
	if d.Expected > 0 {
		m.heldSeconds.WithLabelValues(w.Class.String()).Observe(held.Seconds())
	}
}

func (m *Metrics) observeServed(x *exchange, elapsed time.Duration) {
	m.requests.WithLabelValues(x.kindLabel(), "served").Inc()
	m.latency.WithLabelValues(x.kindLabel()).Observe(elapsed.Seconds())
}

func (m *Metrics) observeFailed(x *exchange, e *verdict.Error, clientGone bool, elapsed time.Duration) {
	outcome := "failed"
	switch {
	case clientGone:
		outcome = "client_gone"
	case e.Verdict == verdict.NotRun:
		outcome = "refused"
	}
	m.requests.WithLabelValues(x.kindLabel(), outcome).Inc()
	m.refusals.WithLabelValues(string(e.Reason), e.Verdict.String()).Inc()
	m.latency.WithLabelValues(x.kindLabel()).Observe(elapsed.Seconds())
}

func (m *Metrics) observeFirstEvent(x *exchange, after time.Duration) {
	m.firstEventSeconds.WithLabelValues(x.kindLabel()).Observe(after.Seconds())
}

func (m *Metrics) observePlacement(d fleet.Decision) {
	m.placements.WithLabelValues(string(d.Reason)).Inc()
	m.promptTokens.WithLabelValues("read").Add(float64(d.Read))
	m.promptTokens.WithLabelValues("kept").Add(float64(d.Kept))
}

// observePlacementError records how far the time until the first event was from what was expected.
func (m *Metrics) observePlacementError(off time.Duration) {
	if off < 0 {
		m.placementError.WithLabelValues("early").Observe(-off.Seconds())
		return
	}
	m.placementError.WithLabelValues("late").Observe(off.Seconds())
}
