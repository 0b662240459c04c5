// Package placement chooses the engine for a call by expected wait plus the time to recompute the part of the prefix
// that is not cached there.
package placement

import (
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/cache"
	"github.com/berylpond/berylpond/internal/scheduler/engines"
	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// migrationMargin is the fraction by which the cost of recomputing a prefix is raised, so that programs do not move
// between engines over small differences.
const migrationMargin = 0.2

// recomputeWeight counts the time to recompute a prefix twice: it delays the call itself and the other calls of the
// batch.
const recomputeWeight = 2

// loadWeight is the cost of a fully loaded engine, in mean call times: calls of one batch slow each other down.
const loadWeight = 0.2

// Choice is the engine chosen for a call.
type Choice struct {
	Engine       *engines.Engine
	CachedTokens int64
	// Defer is set when the call should wait for a better engine that has no capacity now.
	Defer bool
}

// Placer assigns calls to engines. It is not safe for concurrent use.
type Placer struct {
	settings  *framework.Settings
	nextIndex int
}

// New returns a placer. It reads the settings at each use, so they may change later.
func New(s *framework.Settings) *Placer { return &Placer{settings: s} }

// Request is a call to be placed.
type Request struct {
	Call *framework.Call
	// Deferred is how long the call has been deferred to wait for an engine that caches its prefix.
	Deferred time.Duration
	// Queued is how long the call has been queued.
	Queued time.Duration
}

// maxMemoryWaitCalls is how long a call waits for an engine with enough free memory, in mean call times of that engine.
// After that the engine's own queue takes it; otherwise smaller calls could overtake it indefinitely.
const maxMemoryWaitCalls = 2

// requiredTokens returns the memory, in tokens, that the engine must have free for the request.
func (r Request) requiredTokens(e *engines.Engine) int64 {
	if r.Queued > maxMemoryWaitCalls*e.CallTime() {
		return 0
	}
	return r.Call.PromptTokens() + r.Call.ExpectedOutput
}

// Place chooses an engine. It returns false when no engine can accept the call now.
func (p *Placer) Place(now time.Time, r Request, all []*engines.Engine, x *cache.Index) (Choice, bool) {
	c := r.Call
	avoid := enginesToAvoid(now, c, all)
	if !p.settings.CostBasedPlacement {
		return p.roundRobin(now, r, all, avoid)
	}
	var bestFree, best candidate
	for i := range all {
		e := all[(i+p.nextIndex)%len(all)]
		if !e.Usable(now) || avoid[e.Address] {
			continue
		}
		k := p.estimate(now, r, e, x)
		if best.engine == nil || k.total < best.total {
			best = k
		}
		if e.HasCapacity(now, r.requiredTokens(e)) && (bestFree.engine == nil || k.total < bestFree.total) {
			bestFree = k
		}
	}
	p.nextIndex++
	if bestFree.engine == nil {
		return Choice{Defer: best.engine != nil}, false
	}
	// Defer for at most the recompute time that the better engine saves; after that, use any free engine.
	if best.engine != bestFree.engine && r.Deferred < bestFree.recompute-best.recompute {
		return Choice{Engine: best.engine, Defer: true}, true
	}
	return Choice{Engine: bestFree.engine, CachedTokens: bestFree.cached}, true
}

type candidate struct {
	engine    *engines.Engine
	cached    int64
	recompute time.Duration
	total     time.Duration
}

// estimate computes the expected cost of a call on an engine, as a duration.
func (p *Placer) estimate(now time.Time, r Request, e *engines.Engine, x *cache.Index) candidate {
	c := r.Call
	k := candidate{engine: e}
	if p.settings.PrefixAffinity {
		k.cached = x.CachedTokens(e.Address, c.Program, c.PrefixTokens)
		o := p.settings.Objective
		weight := recomputeWeight * (1 + migrationMargin) * (0.5 + 0.5*o.RelativeWeight(o.WastedCache))
		k.recompute = time.Duration(weight * float64(e.PrefillTime(float64(c.PrefixTokens-k.cached))))
	}
	load := e.Occupancy(now) / float64(e.Limit())
	loadCost := time.Duration(loadWeight * load * float64(e.CallTime()))
	k.total = e.ExpectedWait(now, r.requiredTokens(e)) + loadCost + k.recompute
	return k
}

// roundRobin returns the next usable engine in turn.
func (p *Placer) roundRobin(now time.Time, r Request, all []*engines.Engine, avoid map[string]bool) (Choice, bool) {
	for range all {
		e := all[p.nextIndex%len(all)]
		p.nextIndex++
		if e.Usable(now) && !avoid[e.Address] && e.HasCapacity(now, r.requiredTokens(e)) {
			return Choice{Engine: e}, true
		}
	}
	return Choice{}, false
}

// enginesToAvoid returns the engines on which the call failed before, or nil if no other engine is usable.
func enginesToAvoid(now time.Time, c *framework.Call, all []*engines.Engine) map[string]bool {
	if len(c.FailedEngines) == 0 {
		return nil
	}
	avoid := make(map[string]bool, len(c.FailedEngines))
	for _, address := range c.FailedEngines {
		avoid[address] = true
	}
	for _, e := range all {
		if !avoid[e.Address] && e.Usable(now) {
			return avoid
		}
	}
	return nil
}
