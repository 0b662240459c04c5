package cache

import (
	"sort"
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

const (
	// leasePauses is the length of a lease in mean pauses of the program.
	leasePauses = 4
	// maxLeases bounds a lease, in units of the setting.
	maxLeases = 4
	// sweepInterval is the pause between two looks at all leases.
	sweepInterval = 250 * time.Millisecond
	// repeatOrder is the pause before the release of a prefix that is still held is ordered again.
	repeatOrder = 5 * time.Second
	// pressureLow is the use of an engine's memory that releases under pressure aim for.
	pressureLow = 0.85
	// PressureHigh is the use of an engine's memory above which idle prefixes are released before their leases end.
	PressureHigh = 0.95
)

// Memory is the state of an engine's KV memory.
type Memory struct {
	Engine   string
	Capacity int64
	// Pressure is the part in use, from 0 to 1.
	Pressure float64
}

// Releases returns the prefixes that engines shall free now: those of ended programs, those whose lease has run out,
// copies left behind by programs that moved, and, under pressure, those least worth their memory.
func (x *Index) Releases(now time.Time, memories []Memory) []framework.Release {
	if !x.settings.Retention || now.Sub(x.swept) < sweepInterval {
		return nil
	}
	x.swept = now
	x.collect(now)
	newest := x.newest()
	var out []framework.Release
	for _, m := range memories {
		keys := x.due(now, m, newest)
		if len(keys) == 0 {
			continue
		}
		for _, k := range keys {
			x.engines[m.Engine][k].ordered = now
		}
		sort.Strings(keys)
		out = append(out, framework.Release{Engine: m.Engine, Keys: keys})
	}
	return out
}

// newest returns the time of the latest copy of each prefix that more than one engine holds.
func (x *Index) newest() map[string]time.Time {
	seen := map[string]time.Time{}
	for _, keys := range x.engines {
		for key, e := range keys {
			if e.touched.After(seen[key]) {
				seen[key] = e.touched
			}
		}
	}
	return seen
}

type candidate struct {
	key   string
	entry *entry
	worth float64
}

func (x *Index) due(now time.Time, m Memory, newest map[string]time.Time) []string {
	var keys []string
	var kept []candidate
	freed := int64(0)
	for key, e := range x.engines[m.Engine] {
		p := x.programs[key]
		if p != nil && p.active > 0 {
			continue
		}
		if x.expired(now, key, e, p) || newest[key].After(e.touched) {
			freed += e.tokens
			if now.Sub(e.ordered) >= repeatOrder {
				keys = append(keys, key)
			}
			continue
		}
		if p != nil {
			kept = append(kept, candidate{key, e, worth(now, p)})
		}
	}
	return append(keys, underPressure(now, m, kept, freed)...)
}

// expired reports whether nothing keeps the prefix any longer.
func (x *Index) expired(now time.Time, key string, e *entry, p *program) bool {
	if _, ended := x.ended[key]; ended {
		return true
	}
	if p == nil {
		// Perhaps a program of an earlier keeper: it has the time of a lease to show itself.
		return now.Sub(e.touched) > x.settings.LeaseTime
	}
	return now.Sub(p.lastUse) > x.lease(p)
}

// lease is how long a program's prefix is kept without use. Idle memory costs nothing, so a lease is generous; what
// displaces others is released under pressure.
func (x *Index) lease(p *program) time.Duration {
	l := time.Duration(leasePauses * p.pause * float64(time.Second))
	return min(maxLeases*x.settings.LeaseTime, max(x.settings.LeaseTime, l))
}

// worth is the rate at which the prefix is expected to be used, per second: uses per token of memory held, times the
// tokens saved by a use, leaves the rate alone. A program past its usual pause is ever less likely to come back.
func worth(now time.Time, p *program) float64 {
	idle := now.Sub(p.lastUse).Seconds()
	pause := p.pause
	if pause == 0 {
		pause = idle
	}
	return 1 / (max(pause, idle) + 1e-3)
}

// underPressure returns the prefixes least worth their memory, until enough of it is free.
func underPressure(now time.Time, m Memory, kept []candidate, freed int64) []string {
	if m.Pressure < PressureHigh || m.Capacity == 0 {
		return nil
	}
	want := int64((m.Pressure-pressureLow)*float64(m.Capacity)) - freed
	sort.Slice(kept, func(a, b int) bool {
		if kept[a].worth != kept[b].worth {
			return kept[a].worth < kept[b].worth
		}
		return kept[a].key < kept[b].key
	})
	var keys []string
	for _, k := range kept {
		if want <= 0 {
			break
		}
		want -= k.entry.tokens
		if now.Sub(k.entry.ordered) >= repeatOrder {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// collect forgets programs without calls whose lease has run out, and ends that no engine can still hold prefixes of.
func (x *Index) collect(now time.Time) {
	for name, p := range x.programs {
		if p.active == 0 && now.Sub(p.lastUse) > 2*x.lease(p) && !x.hasChildren(p) {
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
