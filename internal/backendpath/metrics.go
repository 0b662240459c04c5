package backendpath

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of a Dialer.
type Metrics struct {
	lost    prometheus.Gauge
	relayed *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		lost: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "berylpond_backend_path_lost", Help: "1 while this instance reaches no backend server directly.",
		}),
		relayed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylpond_backend_relayed_connections_total",
			Help: "Connections to backend servers that were tried through another instance, by outcome.",
		}, []string{"outcome"}),
	}
	r.MustRegister(m.lost, m.relayed)
	return m
}

func (m *Metrics) observeRelay(err error) {
	outcome := "opened"
	if err != nil {
		outcome = "failed"
	}
	m.relayed.WithLabelValues(outcome).Inc()
}
