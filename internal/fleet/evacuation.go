package fleet

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// evacuations is what a fleet knows of data centres whose servers must get nothing new.
type evacuations struct {
	// current holds the evacuated data centres, returned when others were taken back.
	current  map[string]bool
	returned map[string]time.Time
}

// EvacuationChange describes a data centre whose evacuation began or ended.
type EvacuationChange struct {
	DataCentre string
	Evacuated  bool
	// Servers is the number of its registered servers.
	Servers int
}

// SetEvacuated replaces the data centres whose servers get nothing new, and returns what changed. Requests in progress go
// on. A server of a data centre that is taken back gets its share of new requests step by step, and counts as cold until
// its entry says otherwise.
func (f *Fleet) SetEvacuated(dataCentres []string) []EvacuationChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := map[string]bool{}
	for _, n := range dataCentres {
		next[n] = true
	}
	var changes []EvacuationChange
	for _, n := range slices.Sorted(maps.Keys(f.evacuations.current)) {
		if !next[n] {
			f.evacuations.returned[n] = f.now()
			f.assumeCold(n, f.now())
			changes = append(changes, EvacuationChange{DataCentre: n, Servers: f.serversIn(n)})
		}
	}
	for _, n := range slices.Sorted(maps.Keys(next)) {
		if !f.evacuations.current[n] {
			delete(f.evacuations.returned, n)
			changes = append(changes, EvacuationChange{DataCentre: n, Evacuated: true, Servers: f.serversIn(n)})
		}
	}
	f.evacuations.current = next
	return changes
}

func (f *Fleet) serversIn(dataCentre string) int {
	n := 0
	for _, b := range f.byID {
		if b.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// EvacuatedCount returns the number of evacuated data centres.
func (f *Fleet) EvacuatedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.evacuations.current)
}

// IsEvacuated reports whether the server's data centre is evacuated. It may have become so since the server was picked.
func (f *Fleet) IsEvacuated(b *Backend) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuations.current[f.announcer(b).DataCentre]
}

// AllEvacuated reports whether there are servers of the service in data centres that the criteria allow, and all of them are
// evacuated.
func (f *Fleet) AllEvacuated(c Criteria) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := false
	for _, b := range f.byService[c.Service] {
		if !c.allows(b) {
			continue
		}
		if !f.evacuations.current[b.DataCentre] {
			return false
		}
		found = true
	}
	return found
}

// returning returns the extra load of the servers of each data centre that was taken back, for one pick.
func (f *Fleet) returning(service string, now time.Time) map[string]float64 {
	if len(f.evacuations.returned) == 0 || f.ReturnPeriod == nil {
		return nil
	}
	period := f.ReturnPeriod(service)
	var extra map[string]float64
	var draw float64
	for dataCentre, at := range f.evacuations.returned {
		since := now.Sub(at)
		if since >= period {
			continue
		}
		if extra == nil {
			extra, draw = map[string]float64{}, rand.Float64()
		}
		extra[dataCentre] = slowStartLoad(since, period, draw)
	}
	return extra
}

// slowStartLoad returns the load that is added to that of a server that became usable again some time ago, for one pick. It
// counts as full for a share of the picks that falls evenly over the period. draw is a random number of the pick from 0
// to 1.
//
// Load pattern: a data centre is taken back, and all its servers are idle with empty caches. Each instance sees few requests
// in progress at any server, so that a smaller extra load would keep every request away until it ends, and then all of them
// would come at once.
func slowStartLoad(since, period time.Duration, draw float64) float64 {
	if since >= period || draw < since.Seconds()/period.Seconds() {
		return 0
	}
	return 1
}
