package storewatch

import "github.com/prometheus/client_golang/prometheus"

// Reasons for which a configuration is ignored.
const (
	ignoredUndecodable = "undecodable"
	ignoredInvalid     = "invalid"
)

// Metrics counts what was read from the store and not used.
type Metrics struct{ configurations *prometheus.CounterVec }

// NewMetrics creates the metrics and registers them.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{configurations: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "berylpond_config_ignored_total", Help: "Configurations that were not put into force since they are wrong.",
	}, []string{"reason"})}
	m.configurations.WithLabelValues(ignoredUndecodable)
	m.configurations.WithLabelValues(ignoredInvalid)
	r.MustRegister(m.configurations)
	return m
}

func (m *Metrics) ignored(reason string) {
	if m != nil {
		m.configurations.WithLabelValues(reason).Inc()
	}
}
