package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/berylpond/berylpond/internal/verdict"
)

// Metrics holds the metrics of client requests.
type Metrics struct {
	requests          *prometheus.CounterVec
	refusals          *prometheus.CounterVec
	retries           *prometheus.CounterVec
	limited           *prometheus.CounterVec
	resumptions       *prometheus.CounterVec
	latency           *prometheus.HistogramVec
	firstEventSeconds *prometheus.HistogramVec
}

// NewMetrics creates the metrics and registers them.
func NewMetrics(r prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 12)
	m := &Metrics{
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
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "berylpond_gateway_request_seconds", Help: "From the headers of a request to the end of its answer.",
			Buckets: buckets,
		}, []string{"kind"}),
		firstEventSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "berylpond_gateway_first_event_seconds",
			Help: "From the headers of a request to its first event.", Buckets: buckets,
		}, []string{"kind"}),
	}
	r.MustRegister(m.requests, m.refusals, m.retries, m.limited, m.resumptions, m.latency, m.firstEventSeconds)
	return m
}

func (x *exchange) kindLabel() string {
	if x.route == nil {
		return "none"
	}
	return x.route.Kind.String()
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
