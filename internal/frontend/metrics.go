package frontend

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	refusals *prometheus.CounterVec
	duration *prometheus.HistogramVec
	inFlight prometheus.Gauge
}

func newMetrics() *metrics {
	return &metrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylpond_refusals_total", Help: "Requests that ended without an answer, by reason and verdict.",
		}, []string{"reason", "verdict"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "berylpond_request_seconds", Help: "Time from a request's arrival to the end of its answer, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 18),
		}, []string{"route"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "berylpond_requests_in_flight", Help: "Requests of callers under way at this instance.",
		}),
	}
}

func (m *metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.refusals, m.duration, m.inFlight}
}
