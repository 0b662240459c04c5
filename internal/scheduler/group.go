// Package scheduler decides, for one group of model engines, which queued calls to grant, on which engine, and which
// calls to refuse. It is a deterministic state machine: it does no I/O, starts no goroutines and is not safe for
// concurrent use.
package scheduler

import (
	"time"

	"github.com/berylpond/berylpond/internal/invariant"
	"github.com/berylpond/berylpond/internal/scheduler/cache"
	"github.com/berylpond/berylpond/internal/scheduler/engines"
	"github.com/berylpond/berylpond/internal/scheduler/framework"
	"github.com/berylpond/berylpond/internal/scheduler/placement"
	"github.com/berylpond/berylpond/internal/scheduler/queue"
	"github.com/berylpond/berylpond/internal/scheduler/retry"
)

// maxDeferred bounds the number of calls that one decision may skip because they cannot be placed now, for example
// while they wait for an engine that caches their prefix.
const maxDeferred = 16

// Group is the scheduler of one group of engines.
type Group struct {
	settings    *framework.Settings
	queue       *queue.Queue
	index       *cache.Index
	placer      *placement.Placer
	retries     *retry.Budget
	speed       *engines.GroupSpeed
	completions decayingRate
	engines     []*engines.Engine
	byAddr      map[string]*engines.Engine
	inFlight    map[string]*grantedCall
}

// grantedCall is a call in flight on an engine.
type grantedCall struct {
	call   framework.Call
	engine *engines.Engine
	// cost is the expected cost that the call's account was charged.
	cost float64
}

// New returns a group without engines.
func New(s framework.Settings) *Group {
	return &Group{
		settings: &s,
		queue:    queue.New(&s),
		index:    cache.New(&s),
		placer:   placement.New(&s),
		retries:  retry.New(s.RetryRatio),
		speed:    &engines.GroupSpeed{},
		byAddr:   map[string]*engines.Engine{},
		inFlight: map[string]*grantedCall{},
	}
}

// SetObjective replaces the team's objective.
func (g *Group) SetObjective(o framework.Objective) { g.settings.Objective = o }

// SetEngines replaces the group's engines. Calls in flight on a removed engine end as usual.
func (g *Group) SetEngines(now time.Time, specs []framework.EngineSpec) {
	next := make(map[string]*engines.Engine, len(specs))
	g.engines = g.engines[:0:0]
	addresses := make(map[string]bool, len(specs))
	for _, spec := range specs {
		if addresses[spec.Address] {
			continue
		}
		e := g.byAddr[spec.Address]
		if e == nil {
			e = engines.New(spec.Address, g.settings, g.speed)
		}
		e.Drained = spec.Drained
		next[spec.Address] = e
		addresses[spec.Address] = true
		g.engines = append(g.engines, e)
	}
	g.byAddr = next
	g.index.SetEngines(addresses)
}

// Decide refuses queued calls whose queue timeout or deadline has passed, and grants calls while engines have capacity.
func (g *Group) Decide(now time.Time) framework.Decisions {
	var d framework.Decisions
	for it := g.queue.PopExpired(now); it != nil; it = g.queue.PopExpired(now) {
		g.index.EndCall(now, it.Call.Program)
		d.Refusals = append(d.Refusals, framework.Refusal{CallID: it.Call.ID, Err: g.timeoutRefusal(now, it)})
	}
	g.dispatch(now, &d)
	return d
}

func (g *Group) dispatch(now time.Time, d *framework.Decisions) {
	var deferred []*queue.Item
	for len(deferred) < maxDeferred && g.hasFreeEngine(now) {
		it := g.queue.Pop()
		if it == nil {
			break
		}
		grant, ok := g.place(now, it)
		if !ok {
			deferred = append(deferred, it)
			continue
		}
		d.Grants = append(d.Grants, grant)
	}
	for _, it := range deferred {
		g.queue.Requeue(it)
	}
}

func (g *Group) hasFreeEngine(now time.Time) bool {
	if g.queue.Len() == 0 {
		return false
	}
	for _, e := range g.engines {
		if e.Usable(now) && e.HasCapacity(now, 0) {
			return true
		}
	}
	return false
}

// place grants the call if a suitable engine has capacity now.
func (g *Group) place(now time.Time, it *queue.Item) (framework.Grant, bool) {
	deferredFor := time.Duration(0)
	if !it.DeferredSince.IsZero() {
		deferredFor = now.Sub(it.DeferredSince)
	}
	request := placement.Request{Call: &it.Call, Deferred: deferredFor, Queued: now.Sub(it.Enqueued)}
	choice, ok := g.placer.Place(now, request, g.engines, g.index)
	if !ok || choice.Defer {
		if ok && it.DeferredSince.IsZero() {
			it.DeferredSince = now
		}
		return framework.Grant{}, false
	}
	granted := &grantedCall{call: it.Call, engine: choice.Engine, cost: g.expectedCost(&it.Call, choice.CachedTokens)}
	_, duplicate := g.inFlight[it.Call.ID]
	invariant.Check(!duplicate, "scheduler.call_granted_once", "call", it.Call.ID)
	g.inFlight[it.Call.ID] = granted
	g.queue.Charge(it, granted.cost)
	choice.Engine.StartCall(now, &it.Call)
	return framework.Grant{
		CallID: it.Call.ID, Engine: choice.Engine.Address, CachedTokens: choice.CachedTokens, QueueWait: now.Sub(it.Enqueued),
	}, true
}

func (g *Group) expectedCost(c *framework.Call, cached int64) float64 {
	return g.settings.Cost.Cost(c.PromptTokens(), cached, c.ExpectedOutput)
}

// Cancel removes a queued call. It reports whether there was one with that ID.
func (g *Group) Cancel(now time.Time, id string) bool {
	it := g.queue.Remove(id)
	if it == nil {
		return false
	}
	g.index.EndCall(now, it.Call.Program)
	return true
}

// Progress records that the engine has sent data for a granted call. The first report marks the first token.
func (g *Group) Progress(now time.Time, id string) {
	if granted := g.inFlight[id]; granted != nil {
		granted.engine.Progress(now, id)
	}
}

// Done records the outcome of a granted call. Repeated calls for the same ID have no effect.
func (g *Group) Done(now time.Time, id string, o framework.Outcome) {
	granted := g.inFlight[id]
	if granted == nil {
		return
	}
	delete(g.inFlight, id)
	granted.engine.EndCall(now, id, o)
	cost := g.actualCost(granted, o)
	g.queue.AdjustCharge(granted.call.Account, cost-granted.cost)
	g.index.AddService(granted.call.Program, cost)
	g.index.EndCall(now, granted.call.Program)
	if o.Kind == framework.OK {
		g.completions.add(now)
		if g.byAddr[granted.engine.Address] == granted.engine {
			g.index.RecordStored(now, granted.engine.Address, granted.call.Program, o.PromptTokens+o.CompletionTokens)
		}
	}
}

// actualCost returns the cost of the service received. A failed call received none. A call that was cancelled before
// usage was reported is charged the expected cost; otherwise an account could exceed its share by cancelling late.
func (g *Group) actualCost(granted *grantedCall, o framework.Outcome) float64 {
	if o.PromptTokens+o.CompletionTokens > 0 {
		return g.settings.Cost.Cost(o.PromptTokens, o.CachedTokens, o.CompletionTokens)
	}
	if o.Kind == framework.Failed || o.Kind == framework.Silent {
		return 0
	}
	return granted.cost
}

// EndProgram records that a program and its sub-agents have ended.
func (g *Group) EndProgram(now time.Time, program string) { g.index.EndProgram(now, program) }

// ObserveLoad applies a load report of an engine.
func (g *Group) ObserveLoad(now time.Time, engine string, l framework.LoadReport) {
	if e := g.byAddr[engine]; e != nil {
		e.ObserveLoad(now, l)
	}
}

// ObserveUnreachable records that an engine did not respond to a poll.
func (g *Group) ObserveUnreachable(now time.Time, engine string) {
	if e := g.byAddr[engine]; e != nil {
		e.ObserveUnreachable()
	}
}

// ObserveEvents applies cache events of an engine.
func (g *Group) ObserveEvents(now time.Time, engine string, events []framework.CacheEvent) {
	if g.byAddr[engine] != nil {
		g.index.ApplyEvents(now, engine, events)
	}
}

// ObserveKeys applies the complete list of prefixes that an engine cached at the time requestedAt.
func (g *Group) ObserveKeys(now, requestedAt time.Time, engine string, cached []framework.CachedPrefix) {
	if g.byAddr[engine] != nil {
		g.index.Reconcile(now, requestedAt, engine, cached)
	}
}

// DueReleases returns the prefixes that engines should release now.
func (g *Group) DueReleases(now time.Time) []framework.ReleaseOrder {
	memories := make([]cache.Memory, 0, len(g.engines))
	for _, e := range g.engines {
		memories = append(memories, cache.Memory{Engine: e.Address, Capacity: e.KVCapacity(), Pressure: e.MemoryPressure()})
	}
	return g.index.DueReleases(now, memories)
}

// QueueLength returns the number of waiting calls.
func (g *Group) QueueLength() int { return g.queue.Len() }

// Status returns a snapshot of the engines.
func (g *Group) Status(now time.Time) []framework.EngineStatus {
	out := make([]framework.EngineStatus, 0, len(g.engines))
	for _, e := range g.engines {
		st := e.Status(now)
		st.CachedPrefixes, st.CachedTokens = g.index.CacheSize(e.Address)
		out = append(out, st)
	}
	return out
}
