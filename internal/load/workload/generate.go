package workload

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// sampleSize is the number of programs that are generated for each account to estimate mean costs.
const sampleSize = 2000

// sampleSeed is the seed of the sample. It is fixed so that the rates of accounts do not depend on the seed of a run.
const sampleSeed = 1

// Options configure the workload that is generated from a profile.
type Options struct {
	Seed     uint64
	Duration time.Duration
	// Load is the utilization of the engines: the work of all programs divided by the engines' capacity.
	Load float64
	// CachedFraction is the fraction of the history that is assumed to be cached when Load is converted to a rate of
	// programs: with 1 each prompt token is computed once, with 0 each call computes its whole prompt.
	CachedFraction float64
	// FloodFactors maps accounts to the multiple of their rate that they send; with 0 they send nothing.
	FloodFactors map[string]float64
}

// Workload is the sequence of programs in one run.
type Workload struct {
	Programs []*Program
	Limits   []Limit
	// LoadCached and LoadUncached are the utilization of the engines without flooding, with every prefix cached and with
	// none cached.
	LoadCached   float64
	LoadUncached float64
}

// Limit is the rate limit of a client account.
type Limit struct {
	Account string
	// Rate is in calls per second of clock time.
	Rate   float64
	Burst  int
	Weight float64
}

// programMeans holds the mean costs of an account's programs, in engine seconds, and their mean number of calls.
type programMeans struct {
	cost, cached, uncached, calls float64
}

// Generate generates a workload. It is deterministic: the same profile and options give the same workload.
func Generate(p *Profile, o Options) *Workload {
	var shares float64
	for _, a := range p.Accounts {
		shares += a.Share
	}
	means := make([]programMeans, len(p.Accounts))
	var all programMeans
	for i, a := range p.Accounts {
		means[i] = estimateMeans(p, a, o.CachedFraction)
		all.cost += means[i].cost * a.Share / shares
		all.cached += means[i].cached * a.Share / shares
		all.uncached += means[i].uncached * a.Share / shares
	}
	capacity := float64(p.EngineCount()) * p.TimeScale
	total := o.Load * capacity / all.cost
	w := &Workload{LoadCached: total * all.cached / capacity, LoadUncached: total * all.uncached / capacity}
	for i, a := range p.Accounts {
		rate := total * a.Share / shares
		limit := Limit{Account: a.Name, Rate: rate * means[i].calls * a.Headroom, Burst: a.Burst, Weight: a.Weight}
		w.Limits = append(w.Limits, limit)
		if flood, ok := o.FloodFactors[a.Name]; ok {
			rate = flood * limit.Rate / means[i].calls
		}
		w.Programs = append(w.Programs, arrivals(p, a, rate, o)...)
	}
	slices.SortStableFunc(w.Programs, func(a, b *Program) int { return int(a.StartOffset - b.StartOffset) })
	return w
}

func newSampler(p *Profile, account string, seed uint64) sampler {
	h := fnv.New64a()
	h.Write([]byte(account))
	return sampler{profile: p, rng: rand.New(rand.NewPCG(seed, h.Sum64()))}
}

func estimateMeans(p *Profile, a Account, cached float64) programMeans {
	s, _ := p.shape(a.Shape)
	d := newSampler(p, a.Name, sampleSeed)
	var m programMeans
	for range sampleSize {
		x := d.program("probe", a, s, true)
		m.cost += x.EngineSeconds(p.Engine, cached) / sampleSize
		m.cached += x.EngineSeconds(p.Engine, 1) / sampleSize
		m.uncached += x.EngineSeconds(p.Engine, 0) / sampleSize
		m.calls += float64(x.RequestCount()) / sampleSize
	}
	return m
}

// arrivals generates the account's programs as a Poisson process with the given rate, in programs per second of clock
// time.
func arrivals(p *Profile, a Account, rate float64, o Options) []*Program {
	s, _ := p.shape(a.Shape)
	d := newSampler(p, a.Name, o.Seed)
	var out []*Program
	for at := d.rng.ExpFloat64() / rate; at < o.Duration.Seconds(); at += d.rng.ExpFloat64() / rate {
		x := d.program(fmt.Sprintf("%s-%d-%d", a.Name, o.Seed, len(out)), a, s, true)
		x.StartOffset = time.Duration(at * float64(time.Second))
		out = append(out, x)
	}
	return out
}
