package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/berylpond/berylpond/internal/verdict"
)

// Metrics are the counters and histograms of client requests.
type Metrics struct {
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	retries  *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	first    *prometheus.HistogramVec
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 12)
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylpond_gateway_requests_total", Help: "Requests by kind of route and whether they were served.",
		}, []string{"kind", "outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylpond_gateway_refusals_total", Help: "Requests without the answer of a backend server, by reason and verdict.",
		}, []string{"reason", "verdict"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylpond_gateway_retries_total", Help: "Requests sent to another backend server, by reason.",
		}, []string{"reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "berylpond_gateway_request_seconds", Help: "From the headers of a request to the end of its answer.", Buckets: buckets,
		}, []string{"kind"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "berylpond_gateway_first_event_seconds", Help: "From the headers of a request to its first event.", Buckets: buckets,
		}, []string{"kind"}),
	}
	r.MustRegister(m.requests, m.refusals, m.retries, m.latency, m.first)
	return m
}

func (x *exchange) kind() string {
	if x.route == nil {
		return "none"
	}
	return x.route.Kind.String()
}

func (m *Metrics) served(x *exchange, took time.Duration) {
	m.requests.WithLabelValues(x.kind(), "served").Inc()
	m.latency.WithLabelValues(x.kind()).Observe(took.Seconds())
}

func (m *Metrics) failed(x *exchange, e *verdict.Error, gone bool, took time.Duration) {
	outcome := "failed"
	switch {
	case gone:
		outcome = "client_gone"
	case e.Verdict == verdict.NotRun:
		outcome = "refused"
	}
	m.requests.WithLabelValues(x.kind(), outcome).Inc()
	m.refusals.WithLabelValues(string(e.Reason), e.Verdict.String()).Inc()
	m.latency.WithLabelValues(x.kind()).Observe(took.Seconds())
}

func (m *Metrics) firstEvent(x *exchange, after time.Duration) {
	m.first.WithLabelValues(x.kind()).Observe(after.Seconds())
}
