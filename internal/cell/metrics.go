package cell

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	claims          *prometheus.CounterVec
	exchanges       *prometheus.CounterVec
	withdrawals     *prometheus.CounterVec
	heldChanges     prometheus.Counter
	rejectedSenders prometheus.Counter
	droppedNotes    prometheus.Counter
	held            prometheus.Gauge
}

func newMetrics() *metrics {
	return &metrics{
		claims:          counterVec("claims_total", "Claims by result.", "result"),
		exchanges:       counterVec("heartbeats_total", "Heartbeats to other slots by result.", "result"),
		withdrawals:     counterVec("withdrawals_total", "Withdrawals of votes by result.", "result"),
		heldChanges:     counter("held_changes_total", "Changes of the set of held parts."),
		rejectedSenders: counter("refused_senders_total", "Messages of senders that are not the present occupant of a slot."),
		droppedNotes:    counter("dropped_notes_total", "Notes about claims that were dropped from a full queue."),
		held:            prometheus.NewGauge(prometheus.GaugeOpts{Name: "berylpond_cell_held_parts", Help: "Parts held now."}),
	}
}

func counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "berylpond_cell_" + name, Help: help}, labels)
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: "berylpond_cell_" + name, Help: help})
}

// Collectors returns the metrics of the Controller.
func (c *Controller) Collectors() []prometheus.Collector {
	m := c.metrics
	return []prometheus.Collector{m.claims, m.exchanges, m.withdrawals, m.heldChanges, m.rejectedSenders,
		m.droppedNotes, m.held}
}
