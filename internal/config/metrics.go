package config

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	version       *prometheus.GaugeVec
	edits         *prometheus.CounterVec
	unreadable    prometheus.Counter
	pushes        *prometheus.CounterVec
	pushesDropped prometheus.Counter
	reconciles    *prometheus.CounterVec
	bytes         *prometheus.CounterVec
	logErrors     *prometheus.CounterVec
	appendRetries prometheus.Counter
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: "berylpond_config_" + name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "berylpond_config_" + name, Help: help}, labels)
}

func newMetrics() *metrics {
	return &metrics{
		version: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "berylpond_config_version", Help: "Version of the document in force, by team.",
		}, []string{"team"}),
		edits:         counters("edits_total", "Edits that operators handed to this instance, by result.", "result"),
		unreadable:    counter("unreadable_documents_total", "Documents of the log that were not valid."),
		pushes:        counters("pushes_total", "Changes pushed to other instances, by result.", "result"),
		pushesDropped: counter("pushes_dropped_total", "Changes left to reconciling because too many waited."),
		reconciles:    counters("reconciles_total", "Comparisons with other instances, by result.", "result"),
		bytes:         counters("sent_bytes_total", "Message bytes sent to other instances, by call.", "call"),
		logErrors:     counters("log_errors_total", "Failed calls to the platform's log, by call.", "call"),
		appendRetries: counter("append_retries_total", "Appends sent again because no answer came."),
	}
}

// Collectors returns the metrics of the controller.
func (c *Controller) Collectors() []prometheus.Collector {
	m := c.metrics
	return []prometheus.Collector{
		m.version, m.edits, m.unreadable, m.pushes, m.pushesDropped, m.reconciles, m.bytes, m.logErrors, m.appendRetries,
	}
}
