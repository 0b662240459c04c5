package journal

import (
	"github.com/prometheus/client_golang/prometheus"
)

const (
	batchBuckets   = 12
	latencyBuckets = 14
	minLatency     = 0.0005
)

// Metrics holds the metrics of writers and readers, by stream.
type Metrics struct {
	batchRecords *prometheus.HistogramVec
	latency      *prometheus.HistogramVec
	retries      *prometheus.CounterVec
	refusals     *prometheus.CounterVec
	pending      *prometheus.GaugeVec
	lag          *prometheus.GaugeVec
	applied      *prometheus.CounterVec
	duplicates   *prometheus.CounterVec
	gaps         *prometheus.CounterVec
	sequenceGaps *prometheus.CounterVec
	undecodable  *prometheus.CounterVec
	readRetries  *prometheus.CounterVec
	readLag      *prometheus.GaugeVec
}

// NewMetrics returns unregistered metrics.
func NewMetrics() *Metrics {
	stream := []string{"stream"}
	reason := []string{"stream", "reason"}
	counter := func(name, help string, labels []string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "berylpond_journal_" + name, Help: help}, labels)
	}
	gauge := func(name, help string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "berylpond_journal_" + name, Help: help}, stream)
	}
	return &Metrics{
		batchRecords: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "berylpond_journal_batch_records", Help: "Records of a batch.",
			Buckets: prometheus.ExponentialBuckets(1, 2, batchBuckets),
		}, stream),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "berylpond_journal_commit_seconds", Help: "Time from queueing a record to knowing that it is durable.",
			Buckets: prometheus.ExponentialBuckets(minLatency, 2, latencyBuckets),
		}, stream),
		retries:      counter("append_retries_total", "Repeated appends, by reason.", reason),
		refusals:     counter("refusals_total", "Records that were not queued or rejected, by reason.", reason),
		pending:      gauge("pending_records", "Records that wait for the log."),
		lag:          gauge("oldest_pending_seconds", "Age of the oldest record that waits, at the last attempt."),
		applied:      counter("applied_records_total", "Records that were read and applied.", stream),
		duplicates:   counter("repeated_batches_total", "Repeated batches that were dropped.", stream),
		gaps:         counter("gaps_total", "Gaps of expired offsets.", stream),
		sequenceGaps: counter("sequence_jumps_total", "Batches that did not follow the previous of their writer.", stream),
		undecodable:  counter("undecodable_total", "Records of the log that are no batch.", stream),
		readRetries:  counter("read_retries_total", "Repeated reads, by reason.", reason),
		readLag:      gauge("read_lag_offsets", "Offsets between the reader and the end of the stream."),
	}
}

// Collectors returns the metrics for registration.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{
		m.batchRecords, m.latency, m.retries, m.refusals, m.pending, m.lag, m.applied, m.duplicates, m.gaps, m.sequenceGaps,
		m.undecodable, m.readRetries, m.readLag,
	}
}
