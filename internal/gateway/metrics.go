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
	latency           *prometheus.HistogramVec
	firstEventSeconds *prometheus.HistogramVec
}

// NewMetrics creates the metrics and registers them.
func NewMetrics(r prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 12)
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylpond_gateway_requests_total", Help: "Client requests, by kind of route and outcome.",
		}, []string{"kind", "outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylpond_gateway_refusals_total",
			Help: "Client requests that failed or were refused, by reason and verdict.",
		}, []string{"reason", "verdict"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylpond_gateway_retries_total", Help: "Requests retried on another backend server, by reason.",
		}, []string{"reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "berylpond_gateway_request_seconds", Help: "Time from the headers of a request to the end of its response.",
			Buckets: buckets,
		}, []string{"kind"}),
		firstEventSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "berylpond_gateway_first_event_seconds",
			Help: "Time from the headers of a request to the first event of its response.", Buckets: buckets,
		}, []string{"kind"}),
	}
	r.MustRegister(m.requests, m.refusals, m.retries, m.latency, m.firstEventSeconds)
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
