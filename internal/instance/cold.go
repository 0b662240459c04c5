package instance

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/internal/ratelimit"
)

// coldLimit returns what the configuration and the settings allow for the cold servers of a service.
func (i *Instance) coldLimit(service string) fleet.ColdLimit {
	c := i.config.Current()
	if c == nil {
		return fleet.ColdLimit{}
	}
	s := c.Services[service]
	if s.ColdRequestsPerSecond <= 0 {
		return fleet.ColdLimit{}
	}
	rate, burst := ratelimit.ColdBucket(s.ColdRequestsPerSecond, i.settings.ColdExcess, i.settings.ColdBurst)
	return fleet.ColdLimit{
		Limited: true, RequestsPerSecond: rate, Burst: burst, Period: s.ColdPeriod, Instances: i.limiter.Instances(),
	}
}

// registerColdMetrics registers the metrics of cold backend servers.
func registerColdMetrics(r prometheus.Registerer, f *fleet.Fleet) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "berylpond_fleet_cold_servers", Help: "Backend servers that are cold, as far as this instance knows.",
	}, func() float64 {
		cold, _ := f.ColdServers()
		return float64(cold)
	}), prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "berylpond_fleet_cold_spells_total", Help: "Times that a backend server turned cold.",
	}, func() float64 {
		_, spells := f.ColdServers()
		return float64(spells)
	}))
}
