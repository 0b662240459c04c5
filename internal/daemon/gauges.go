package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
)

// gauges returns metrics of state that other packages hold.
func (d *Daemon) gauges() []prometheus.Collector {
	gauge := func(name, help string, f func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "berylpond_" + name, Help: help}, f)
	}
	return []prometheus.Collector{
		gauge("standing", "1 while a majority of the cell answers this instance.", func() float64 { return boolToFloat(d.cell.HasQuorum()) }),
		gauge("platform_reachable", "1 while the platform's instance list answers.", func() float64 { return boolToFloat(d.platformReachable.Load()) }),
		gauge("programs", "Programs in memory, ended ones included.", func() float64 { return float64(d.programs.Len()) }),
		gauge("instances_known", "Instances in the table, this one included.", func() float64 { return float64(len(d.table.All())) }),
		gauge("held_events", "Events kept in memory that were not read from the log yet.", func() float64 {
			n, _ := d.ledger.HeldEvents()
			return float64(n)
		}),
		gauge("held_event_bytes", "Bytes of the events kept in memory that were not read from the log yet.", func() float64 {
			_, n := d.ledger.HeldEvents()
			return float64(n)
		}),
		gauge("journal_pending", "Records queued for the log.", func() float64 {
			return float64(d.journal.events.Pending() + d.journal.intents.Pending())
		}),
		gauge("journal_away", "1 while appends to the log have failed for some time.", func() float64 { return boolToFloat(d.journal.events.Unavailable()) }),
	}
}

func boolToFloat(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
