package cache

import (
	"sort"
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

const (
	// leaseThinkTimes is the length of a lease, in multiples of the program's mean think time.
	leaseThinkTimes = 4
	// maxLeaseFactor bounds a lease, in multiples of Settings.LeaseTime.
	maxLeaseFactor = 4
	// sweepInterval is the minimum time between two scans of all leases.
	sweepInterval = 250 * time.Millisecond
	// releaseRetryInterval is the time after which a release order is repeated for a prefix that is still cached.
	releaseRetryInterval = 5 * time.Second
	// releaseTargetPressure is the fraction of an engine's KV memory in use that releases under memory pressure aim
	// for.
	releaseTargetPressure = 0.85
	// highPressure is the fraction of an engine's KV memory in use above which idle prefixes are released before their
	// leases expire.
	highPressure = 0.95
)

// Memory is the state of an engine's KV memory.
type Memory struct {
	Engine   string
	Capacity int64
	// Pressure is the fraction in use, from 0 to 1.
	Pressure float64
}

// DueReleases returns the prefixes that engines should release now: those of ended programs, those whose lease has
// expired, outdated copies on engines that a program has left, and, under memory pressure, those least likely to be
// used again soon.
func (x *Index) DueReleases(now time.Time, memories []Memory) []framework.ReleaseOrder {
	if !x.settings.Retention || now.Sub(x.lastSweep) < sweepInterval {
		return nil
	}
	x.lastSweep = now
	x.removeStale(now)
	latest := x.latestUpdates()
	var out []framework.ReleaseOrder
	for _, m := range memories {
		keys := x.dueKeys(now, m, latest)
		if len(keys) == 0 {
			continue
		}
		for _, k := range keys {
			x.engines[m.Engine][k].releaseOrdered = now
		}
		sort.Strings(keys)
		out = append(out, framework.ReleaseOrder{Engine: m.Engine, Keys: keys})
	}
	return out
}

// latestUpdates returns, for each prefix, the most recent update among its copies on all engines.
func (x *Index) latestUpdates() map[string]time.Time {
	latest := map[string]time.Time{}
	for _, keys := range x.engines {
		for key, e := range keys {
			if e.updated.After(latest[key]) {
				latest[key] = e.updated
			}
		}
	}
	return latest
}

type candidate struct {
	key       string
	entry     *entry
	reuseRate float64
}

func (x *Index) dueKeys(now time.Time, m Memory, latest map[string]time.Time) []string {
	var keys []string
	var candidates []candidate
	freed := int64(0)
	for key, e := range x.engines[m.Engine] {
		p := x.programs[key]
		if p != nil && p.activeCalls > 0 {
			continue
		}
		if x.expired(now, key, e, p) || latest[key].After(e.updated) {
			freed += e.tokens
			if now.Sub(e.releaseOrdered) >= releaseRetryInterval {
				keys = append(keys, key)
			}
			continue
		}
		if p != nil {
			candidates = append(candidates, candidate{key, e, reuseRate(now, p)})
		}
	}
	return append(keys, underPressure(now, m, candidates, freed)...)
}

// expired reports whether the prefix has outlived its program or its lease.
func (x *Index) expired(now time.Time, key string, e *entry, p *program) bool {
	if _, ended := x.ended[key]; ended {
		return true
	}
	if p == nil {
		// May belong to a program that an earlier keeper served: keep it for one lease time in case it is used.
		return now.Sub(e.updated) > x.settings.LeaseTime
	}
	return now.Sub(p.lastUse) > x.leaseTime(p)
}

// leaseTime returns how long a program's prefix is kept without use. Leases are long because unused memory costs
// nothing; under memory pressure prefixes are released before their leases expire.
func (x *Index) leaseTime(p *program) time.Duration {
	lease := time.Duration(leaseThinkTimes * p.thinkTime * float64(time.Second))
	return min(maxLeaseFactor*x.settings.LeaseTime, max(x.settings.LeaseTime, lease))
}

// reuseRate estimates how often the prefix is used, per second. It is not weighted by size: the tokens that a use saves
// and the memory that the prefix occupies are both proportional to its length. The longer a program has been idle
// beyond its usual think time, the lower the rate.
func reuseRate(now time.Time, p *program) float64 {
	idle := now.Sub(p.lastUse).Seconds()
	expected := p.thinkTime
	if expected == 0 {
		expected = idle
	}
	return 1 / (max(expected, idle) + 1e-3)
}

// underPressure returns the prefixes with the lowest reuse rate whose release brings memory use down to
// releaseTargetPressure.
func underPressure(now time.Time, m Memory, candidates []candidate, freed int64) []string {
	if m.Pressure < highPressure || m.Capacity == 0 {
		return nil
	}
	toFree := int64((m.Pressure-releaseTargetPressure)*float64(m.Capacity)) - freed
	sort.Slice(candidates, func(a, b int) bool {
		if candidates[a].reuseRate != candidates[b].reuseRate {
			return candidates[a].reuseRate < candidates[b].reuseRate
		}
		return candidates[a].key < candidates[b].key
	})
	var keys []string
	for _, k := range candidates {
		if toFree <= 0 {
			break
		}
		toFree -= k.entry.tokens
		if now.Sub(k.entry.releaseOrdered) >= releaseRetryInterval {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// removeStale removes programs that have had no calls for twice their lease, and records of ended programs whose
// prefixes no engine can still cache.
func (x *Index) removeStale(now time.Time) {
	for name, p := range x.programs {
		if p.activeCalls == 0 && now.Sub(p.lastUse) > 2*x.leaseTime(p) && !x.hasChildren(p) {
			delete(x.programs, name)
		}
	}
	for name, at := range x.ended {
		if now.Sub(at) > 2*x.settings.LeaseTime {
			delete(x.ended, name)
		}
	}
}

// hasChildren reports whether any sub-agent of the program is still tracked.
func (x *Index) hasChildren(p *program) bool {
	for _, child := range p.children {
		if x.programs[child] != nil {
			return true
		}
	}
	return false
}
