package turnlog

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the counters and histograms of the partitions that an instance owns.
type Metrics struct {
	takeovers    prometheus.Histogram
	commits      prometheus.Histogram
	batch        prometheus.Histogram
	storeRetries *prometheus.CounterVec
	begins       *prometheus.CounterVec
	ends         *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		takeovers: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "berylpond_turnlog_takeover_seconds", Help: "From being dealt a partition to owning it.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
		commits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "berylpond_turnlog_commit_seconds", Help: "Appends until their outcome was known.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
		}),
		batch: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "berylpond_turnlog_batch_records", Help: "Records of an append.", Buckets: prometheus.ExponentialBuckets(1, 2, 8),
		}),
		storeRetries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylpond_turnlog_store_retries_total", Help: "Calls to the store that were repeated, by call.",
		}, []string{"call"}),
		begins: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylpond_turnlog_begins_total", Help: "Turns that asked to begin, by outcome.",
		}, []string{"outcome"}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylpond_turnlog_ends_total", Help: "Turns that ended, by outcome.",
		}, []string{"outcome"}),
	}
	r.MustRegister(m.takeovers, m.commits, m.batch, m.storeRetries, m.begins, m.ends)
	return m
}
