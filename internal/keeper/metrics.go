package keeper

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
	"github.com/berylpond/berylpond/internal/verdict"
)

type metrics struct {
	grants       *prometheus.CounterVec
	refusals     *prometheus.CounterVec
	outcomes     *prometheus.CounterVec
	retries      *prometheus.CounterVec
	pollFailures *prometheus.CounterVec
	released     prometheus.Counter
	queueWait    prometheus.Histogram
}

func newMetrics() *metrics {
	return &metrics{
		grants:       counter("berylpond_keeper_grants_total", "Permits granted, by way: local, remote or degraded.", "way"),
		refusals:     counter("berylpond_keeper_refusals_total", "Calls refused a permit, by reason.", "reason"),
		outcomes:     counter("berylpond_keeper_outcomes_total", "Ends of granted calls, by outcome.", "outcome"),
		retries:      counter("berylpond_keeper_retries_total", "Calls offered again, by reason.", "reason"),
		pollFailures: counter("berylpond_keeper_poll_failures_total", "Polls of engines that failed, by kind.", "kind"),
		released: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "berylpond_keeper_released_prefixes_total",
			Help: "Prefixes that engines were told to free.",
		}),
		queueWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "berylpond_keeper_queue_wait_seconds",
			Help:    "Time that granted calls were queued.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}),
	}
}

func counter(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
}

func (m *metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.grants, m.refusals, m.outcomes, m.retries, m.pollFailures, m.released, m.queueWait}
}

func (m *metrics) outcome(k framework.OutcomeKind) { m.outcomes.WithLabelValues(k.String()).Inc() }

func (m *metrics) refused(e *verdict.Error) { m.refusals.WithLabelValues(string(e.Reason)).Inc() }
