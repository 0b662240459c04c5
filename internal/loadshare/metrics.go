package loadshare

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of the exchange of loads.
type Metrics struct {
	reports *prometheus.CounterVec
	sums    prometheus.Counter
}

// NewMetrics creates the metrics and registers them.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylpond_loadshare_reports_total",
			Help: "Reports of the loads of backend servers to the holder, by whether they were sent or lost.",
		}, []string{"outcome"}),
		sums: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "berylpond_loadshare_sums_total", Help: "Sums of the loads of all instances that came from the holder.",
		}),
	}
	r.MustRegister(m.reports, m.sums)
	return m
}
