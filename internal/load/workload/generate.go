package workload

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// probes is the number of programs of each account from which mean costs are taken.
const probes = 2000

// probeSeed is the seed of the probes: rates of accounts do not change with the seed of a run.
const probeSeed = 1

// Options choose one workload of a profile.
type Options struct {
	Seed     uint64
	Duration time.Duration
	// Load is the engines' work over their capacity.
	Load float64
	// Cached is the share of the history that counts as cached where capacity is worked out: 1 means that each prompt
	// token is computed once, 0 that each call computes its whole prompt.
	Cached float64
	// Flood makes accounts send this many times their rate; 0 makes them send nothing.
	Flood map[string]float64
}

// Workload is what callers do in one run.
type Workload struct {
	Programs []*Program
	Limits   []Limit
	// LoadCached and LoadUncached are the engines' work over their capacity, without floods, where every prefix is
	// found in a cache and where none is.
	LoadCached   float64
	LoadUncached float64
}

// Limit is the rate of a client account.
type Limit struct {
	Account string
	// Rate is in calls per second of clock time.
	Rate   float64
	Burst  int
	Weight float64
}

// mean holds the mean figures of an account's programs.
type mean struct {
	cost, cached, uncached, calls float64
}

// Generate draws a workload. The same options give the same one.
func Generate(p *Profile, o Options) *Workload {
	var shares float64
	for _, a := range p.Accounts {
		shares += a.Share
	}
	means := make([]mean, len(p.Accounts))
	var all mean
	for i, a := range p.Accounts {
		means[i] = probe(p, a, o.Cached)
		all.cost += means[i].cost * a.Share / shares
		all.cached += means[i].cached * a.Share / shares
		all.uncached += means[i].uncached * a.Share / shares
	}
	capacity := float64(p.Engines()) * p.Scale
	total := o.Load * capacity / all.cost
	w := &Workload{LoadCached: total * all.cached / capacity, LoadUncached: total * all.uncached / capacity}
	for i, a := range p.Accounts {
		rate := total * a.Share / shares
		limit := Limit{Account: a.Name, Rate: rate * means[i].calls * a.Headroom, Burst: a.Burst, Weight: a.Weight}
		w.Limits = append(w.Limits, limit)
		if flood, ok := o.Flood[a.Name]; ok {
			rate = flood * limit.Rate / means[i].calls
		}
		w.Programs = append(w.Programs, arrivals(p, a, rate, o)...)
	}
	slices.SortStableFunc(w.Programs, func(a, b *Program) int { return int(a.At - b.At) })
	return w
}

func newDrawer(p *Profile, account string, seed uint64) drawer {
	h := fnv.New64a()
	h.Write([]byte(account))
	return drawer{p: p, r: rand.New(rand.NewPCG(seed, h.Sum64()))}
}

func probe(p *Profile, a Account, cached float64) mean {
	s, _ := p.shape(a.Shape)
	d := newDrawer(p, a.Name, probeSeed)
	var m mean
	for range probes {
		x := d.program("probe", a, s, true)
		m.cost += x.Cost(p.Engine, cached) / probes
		m.cached += x.Cost(p.Engine, 1) / probes
		m.uncached += x.Cost(p.Engine, 0) / probes
		m.calls += float64(x.Calls()) / probes
	}
	return m
}

// arrivals draws the account's programs as a Poisson process with the given programs per second of clock time.
func arrivals(p *Profile, a Account, rate float64, o Options) []*Program {
	s, _ := p.shape(a.Shape)
	d := newDrawer(p, a.Name, o.Seed)
	var out []*Program
	for at := d.r.ExpFloat64() / rate; at < o.Duration.Seconds(); at += d.r.ExpFloat64() / rate {
		x := d.program(fmt.Sprintf("%s-%d-%d", a.Name, o.Seed, len(out)), a, s, true)
		x.At = time.Duration(at * float64(time.Second))
		out = append(out, x)
	}
	return out
}
