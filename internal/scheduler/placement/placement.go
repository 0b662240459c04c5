// Package placement chooses the engine for a call: expected wait plus the cost of the prefix that is not cached there.
package placement

import (
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/cache"
	"github.com/berylpond/berylpond/internal/scheduler/engines"
	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// stayMargin is the part of a prefix's cost that a move must gain on top, so that programs do not hop between engines
// over small differences.
const stayMargin = 0.2

// rebuildWeight counts the time to compute a prefix again twice: the call waits for it, and so do others of the batch.
const rebuildWeight = 2

// spreadWeight is the cost of a full engine, in mean call times, since calls slow each other down in a batch.
const spreadWeight = 0.2

// Choice is the engine chosen for a call.
type Choice struct {
	Engine *engines.Engine
	Cached int64
	// Hold is set when the call shall wait for a better engine that has no room now.
	Hold bool
}

// Placer is not safe for concurrent use.
type Placer struct {
	settings *framework.Settings
	turn     int
}

// New returns a placer. The settings may change later.
func New(s *framework.Settings) *Placer { return &Placer{settings: s} }

// Request is a call that asks for an engine.
type Request struct {
	Call *framework.Call
	// Held is how long the call was already held back for an engine with its prefix.
	Held time.Duration
	// Waited is how long the call has been queued.
	Waited time.Duration
}

// memoryPatience times an engine's mean call time is how long a call waits for an engine with enough free memory.
// After that it goes to the engine's own queue, or small calls would pass it for ever.
const memoryPatience = 2

// tokens is the memory that the engine has to have free for the request.
func (r Request) tokens(e *engines.Engine) int64 {
	if r.Waited > memoryPatience*e.CallTime() {
		return 0
	}
	return r.Call.PromptTokens() + r.Call.ExpectedOutput
}

// Place chooses among engines. It returns false when none can take the call now, and none is worth waiting for.
func (p *Placer) Place(now time.Time, r Request, all []*engines.Engine, x *cache.Index) (Choice, bool) {
	c := r.Call
	avoid := avoided(now, c, all)
	if !p.settings.LeastWait {
		return p.next(now, r, all, avoid)
	}
	var free, any candidate
	for i := range all {
		e := all[(i+p.turn)%len(all)]
		if !e.Usable(now) || avoid[e.Address] {
			continue
		}
		k := p.rate(now, r, e, x)
		if any.engine == nil || k.total < any.total {
			any = k
		}
		if e.Free(now, r.tokens(e)) && (free.engine == nil || k.total < free.total) {
			free = k
		}
	}
	p.turn++
	if free.engine == nil {
		return Choice{Hold: any.engine != nil}, false
	}
	// Waiting costs no more than it can save: after as long as the prefix takes to compute, the call goes anywhere.
	if any.engine != free.engine && r.Held < free.rebuild-any.rebuild {
		return Choice{Engine: any.engine, Hold: true}, true
	}
	return Choice{Engine: free.engine, Cached: free.cached}, true
}

type candidate struct {
	engine  *engines.Engine
	cached  int64
	rebuild time.Duration
	total   time.Duration
}

// rate computes the expected cost of a call on an engine, in time.
func (p *Placer) rate(now time.Time, r Request, e *engines.Engine, x *cache.Index) candidate {
	c := r.Call
	k := candidate{engine: e}
	if p.settings.Affinity {
		k.cached = x.Cached(e.Address, c.Program, c.PrefixTokens)
		o := p.settings.Objective
		weight := rebuildWeight * (1 + stayMargin) * (0.5 + 0.5*o.Share(o.WastedCache))
		k.rebuild = time.Duration(weight * float64(e.Prefill(float64(c.PrefixTokens-k.cached))))
	}
	load := e.Occupancy(now) / float64(e.Limit())
	spread := time.Duration(spreadWeight * load * float64(e.CallTime()))
	k.total = e.Wait(now, r.tokens(e)) + spread + k.rebuild
	return k
}

// next takes engines in turns.
func (p *Placer) next(now time.Time, r Request, all []*engines.Engine, avoid map[string]bool) (Choice, bool) {
	for range all {
		e := all[p.turn%len(all)]
		p.turn++
		if e.Usable(now) && !avoid[e.Address] && e.Free(now, r.tokens(e)) {
			return Choice{Engine: e}, true
		}
	}
	return Choice{}, false
}

// avoided returns the engines that failed the call before, unless there is no other to try.
func avoided(now time.Time, c *framework.Call, all []*engines.Engine) map[string]bool {
	if len(c.Avoid) == 0 {
		return nil
	}
	avoid := make(map[string]bool, len(c.Avoid))
	for _, address := range c.Avoid {
		avoid[address] = true
	}
	for _, e := range all {
		if !avoid[e.Address] && e.Usable(now) {
			return avoid
		}
	}
	return nil
}
