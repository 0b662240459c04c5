package quarantine

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of a Quarantine.
type Metrics struct {
	crashes  prometheus.Counter
	requests prometheus.Gauge
}

// NewMetrics creates the metrics and registers them.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "berylpond_quarantine_crash_reports_total",
			Help: "Reports of requests that were in progress at a backend server that crashed.",
		}),
		requests: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "berylpond_quarantine_requests", Help: "Requests that are not sent to backend servers, since they crash them.",
		}),
	}
	r.MustRegister(m.crashes, m.requests)
	return m
}
