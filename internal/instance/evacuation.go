package instance

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/internal/storewatch"
)

// applyEvacuations puts a changed set of evacuated data centres into force.
func (i *Instance) applyEvacuations(dataCentres []string) {
	age := time.Since(i.viewFreshness().Confirmed)
	for _, c := range i.fleet.SetEvacuated(dataCentres) {
		message := "evacuation of a data centre ended"
		if c.Evacuated {
			message = "data centre evacuated"
		}
		klog.InfoS(message, "data_centre", c.DataCentre, "servers", c.Servers, "former_view_age_ms", age.Milliseconds(),
			"from_feed", i.usesFeedOfEvacuations())
	}
	i.feedServer.NotifyChanged()
}

// usesFeedOfEvacuations reports whether this instance learns of evacuations from a peer. Peers of an older build do not
// know of any, so that it reads the operator's topic itself.
func (i *Instance) usesFeedOfEvacuations() bool {
	return i.usesFeed() && i.feedClient.EvacuationsConfirmedWithin(feedTTL)
}

func (i *Instance) viewFreshness() storewatch.Freshness {
	f := i.config.Freshness()
	if confirmed := i.feedClient.EvacuationsConfirmed(); confirmed.After(f.Confirmed) {
		f.Confirmed = confirmed
	}
	return f
}

// viewUsable reports whether this instance knows which data centres are evacuated, recently enough to send requests.
func (i *Instance) viewUsable() bool {
	return i.viewFreshness().IsUsable(time.Now(), i.settings.EvacuationPeriod)
}

// returnPeriod returns over what time the servers of a service get their share of requests back after an evacuation: while
// they may be cold, and until every instance has learned that they are back.
func (i *Instance) returnPeriod(service string) time.Duration {
	period := i.settings.EvacuationPeriod
	if c := i.config.Current(); c != nil {
		period = max(period, c.Services[service].ColdPeriod)
	}
	return period
}

func registerEvacuationMetric(r prometheus.Registerer, f *fleet.Fleet) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "berylpond_evacuated_data_centres", Help: "Data centres whose backend servers get nothing new.",
	}, func() float64 { return float64(f.EvacuatedCount()) }))
}
