package quotactl

import "github.com/prometheus/client_golang/prometheus"

var (
	shareRate = prometheus.NewDesc("berylpond_quota_share_requests_per_second",
		"Rate that the accounts held here have at this instance, borrowed rate included.", []string{"account"}, nil)
	shareTokens = prometheus.NewDesc("berylpond_quota_tokens",
		"Tokens that the accounts held here have at this instance.", []string{"account"}, nil)
	shareDemand = prometheus.NewDesc("berylpond_quota_demand_requests_per_second",
		"Demand that the holder of an account sees.", []string{"account"}, nil)
)

// shareCollector exports the accounts that a Controller holds as gauges.
type shareCollector struct{ c *Controller }

// Describe implements prometheus.Collector.
func (s shareCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- shareRate
	ch <- shareTokens
	ch <- shareDemand
}

// Collect implements prometheus.Collector.
func (s shareCollector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, account string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, account)
	}
	for _, a := range s.c.Shares() {
		gauge(shareRate, a.Capacity.Rate, a.Account)
		gauge(shareTokens, a.Level, a.Account)
		gauge(shareDemand, a.Demand, a.Account)
	}
}
