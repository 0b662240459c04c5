package keeper

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/berylpond/berylpond/internal/scheduler"
	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

var (
	groupLabels = []string{"team", "model"}
	queuedCalls = prometheus.NewDesc("berylpond_keeper_queued_calls",
		"Calls that wait for a permit in the groups kept here.", groupLabels, nil)
	inFlightCalls = prometheus.NewDesc("berylpond_keeper_in_flight_calls",
		"Calls with a permit in the groups kept here.", groupLabels, nil)
	heldTokens = prometheus.NewDesc("berylpond_keeper_held_prefix_tokens",
		"Tokens of prefixes that the engines of the groups kept here are believed to hold.", groupLabels, nil)
	enginesByHealth = prometheus.NewDesc("berylpond_keeper_engines",
		"Engines of the groups kept here, by health.", append(groupLabels, "health"), nil)
)

// groupGauges exports gauges for the groups whose keeper this instance is.
type groupGauges struct{ c *Controller }

// Describe implements prometheus.Collector.
func (g groupGauges) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{queuedCalls, inFlightCalls, heldTokens, enginesByHealth} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (g groupGauges) Collect(ch chan<- prometheus.Metric) {
	for _, eg := range g.c.allGroups() {
		if g.c.isKeeper(eg) {
			collectGroup(ch, eg)
		}
	}
}

func collectGroup(ch chan<- prometheus.Metric, eg *engineGroup) {
	queued, inFlight, tokens := 0, 0, int64(0)
	health := map[framework.Health]int{framework.Healthy: 0, framework.Suspect: 0, framework.EngineFailed: 0, framework.Probation: 0}
	eg.primary.observe(func(s *scheduler.Group, now time.Time) {
		queued = s.QueueLength()
		for _, st := range s.Status(now) {
			inFlight += st.InFlight
			tokens += st.CachedTokens
			health[st.Health]++
		}
	})
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		labels = append([]string{eg.key.team, eg.key.model}, labels...)
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	gauge(queuedCalls, float64(queued))
	gauge(inFlightCalls, float64(inFlight))
	gauge(heldTokens, float64(tokens))
	for h, n := range health {
		gauge(enginesByHealth, float64(n), string(h))
	}
}
