// Package scheduler decides, for one group of model engines, which call goes where and when, who waits and who is
// refused. It is a pure state machine: it does no I/O, starts no goroutine and is not safe for concurrent use.
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

// maxHeld is the number of calls that one decision passes over because they wait for an engine with their prefix.
const maxHeld = 16

// Group is the scheduler of one group of engines.
type Group struct {
	settings *framework.Settings
	queue    *queue.Queue
	index    *cache.Index
	placer   *placement.Placer
	retries  *retry.Budget
	speeds   *engines.Speeds
	finished rate
	engines  []*engines.Engine
	byAddr   map[string]*engines.Engine
	flights  map[string]*flight
}

// flight is a granted call.
type flight struct {
	call   framework.Call
	engine *engines.Engine
	// cost is what the call's account was charged.
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
		speeds:   &engines.Speeds{},
		byAddr:   map[string]*engines.Engine{},
		flights:  map[string]*flight{},
	}
}

// SetObjective changes how the team weighs its figures.
func (g *Group) SetObjective(o framework.Objective) { g.settings.Objective = o }

// SetEngines replaces the group's engines. Calls in flight on an engine that is gone end as usual.
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
			e = engines.New(spec.Address, g.settings, g.speeds)
		}
		e.Drained = spec.Drained
		next[spec.Address] = e
		addresses[spec.Address] = true
		g.engines = append(g.engines, e)
	}
	g.byAddr = next
	g.index.SetEngines(addresses)
}

// Decide grants and refuses queued calls.
func (g *Group) Decide(now time.Time) framework.Decisions {
	var d framework.Decisions
	for it := g.queue.Expired(now); it != nil; it = g.queue.Expired(now) {
		g.index.End(now, it.Call.Program)
		d.Refusals = append(d.Refusals, framework.Refusal{CallID: it.Call.ID, Err: g.tooLate(now, it)})
	}
	g.dispatch(now, &d)
	return d
}

func (g *Group) dispatch(now time.Time, d *framework.Decisions) {
	var held []*queue.Item
	for len(held) < maxHeld && g.anyFree(now) {
		it := g.queue.Pop()
		if it == nil {
			break
		}
		grant, ok := g.place(now, it)
		if !ok {
			held = append(held, it)
			continue
		}
		d.Grants = append(d.Grants, grant)
	}
	for _, it := range held {
		g.queue.Return(it)
	}
}

func (g *Group) anyFree(now time.Time) bool {
	if g.queue.Len() == 0 {
		return false
	}
	for _, e := range g.engines {
		if e.Usable(now) && e.Free(now, 0) {
			return true
		}
	}
	return false
}

// place grants the call if an engine suits it now.
func (g *Group) place(now time.Time, it *queue.Item) (framework.Grant, bool) {
	held := time.Duration(0)
	if !it.HeldSince.IsZero() {
		held = now.Sub(it.HeldSince)
	}
	request := placement.Request{Call: &it.Call, Held: held, Waited: now.Sub(it.Enqueued)}
	choice, ok := g.placer.Place(now, request, g.engines, g.index)
	if !ok || choice.Hold {
		if ok && it.HeldSince.IsZero() {
			it.HeldSince = now
		}
		return framework.Grant{}, false
	}
	f := &flight{call: it.Call, engine: choice.Engine, cost: g.expectedCost(&it.Call, choice.Cached)}
	_, twice := g.flights[it.Call.ID]
	invariant.Check(!twice, "scheduler.call_granted_once", "call", it.Call.ID)
	g.flights[it.Call.ID] = f
	g.queue.Charge(it, f.cost)
	choice.Engine.Start(now, &it.Call)
	return framework.Grant{
		CallID: it.Call.ID, Engine: choice.Engine.Address, CachedTokens: choice.Cached, QueueWait: now.Sub(it.Enqueued),
	}, true
}

func (g *Group) expectedCost(c *framework.Call, cached int64) float64 {
	return g.settings.Cost.Of(c.PromptTokens(), cached, c.ExpectedOutput)
}

// Cancel removes a call that is still queued. It reports whether there was one.
func (g *Group) Cancel(now time.Time, id string) bool {
	it := g.queue.Remove(id)
	if it == nil {
		return false
	}
	g.index.End(now, it.Call.Program)
	return true
}

// Progress says that the engine has sent something for a granted call. The first one marks the first token.
func (g *Group) Progress(now time.Time, id string) {
	if f := g.flights[id]; f != nil {
		f.engine.Progress(now, id)
	}
}

// Done ends a granted call. A second Done of a call does nothing.
func (g *Group) Done(now time.Time, id string, o framework.Outcome) {
	f := g.flights[id]
	if f == nil {
		return
	}
	delete(g.flights, id)
	f.engine.End(now, id, o)
	cost := g.realCost(f, o)
	g.queue.Settle(f.call.Account, cost-f.cost)
	g.index.Serve(f.call.Program, cost)
	g.index.End(now, f.call.Program)
	if o.Kind == framework.OK {
		g.finished.add(now)
		if g.byAddr[f.engine.Address] == f.engine {
			g.index.Stored(now, f.engine.Address, f.call.Program, o.PromptTokens+o.CompletionTokens)
		}
	}
}

// realCost is the cost of the service received. A call that failed got none; one that was cancelled without usage is
// taken to have cost what was expected, or giving up late would be a way to more than one's share.
func (g *Group) realCost(f *flight, o framework.Outcome) float64 {
	if o.PromptTokens+o.CompletionTokens > 0 {
		return g.settings.Cost.Of(o.PromptTokens, o.CachedTokens, o.CompletionTokens)
	}
	if o.Kind == framework.Failed || o.Kind == framework.Silent {
		return 0
	}
	return f.cost
}

// EndProgram says that a program, and with it its sub-agents, has ended.
func (g *Group) EndProgram(now time.Time, program string) { g.index.EndProgram(now, program) }

// ObserveLoad takes in a load report.
func (g *Group) ObserveLoad(now time.Time, engine string, l framework.Load) {
	if e := g.byAddr[engine]; e != nil {
		e.Observe(now, l)
	}
}

// ObserveUnreachable says that an engine did not answer a poll.
func (g *Group) ObserveUnreachable(now time.Time, engine string) {
	if e := g.byAddr[engine]; e != nil {
		e.Unreachable()
	}
}

// ObserveEvents takes in cache events.
func (g *Group) ObserveEvents(now time.Time, engine string, events []framework.CacheEvent) {
	if g.byAddr[engine] != nil {
		g.index.Events(now, engine, events)
	}
}

// ObserveKeys takes in the list of all prefixes that an engine holds, asked for at the given instant.
func (g *Group) ObserveKeys(now, asked time.Time, engine string, held []framework.HeldKey) {
	if g.byAddr[engine] != nil {
		g.index.Keys(now, asked, engine, held)
	}
}

// Releases returns the prefixes that engines shall free now.
func (g *Group) Releases(now time.Time) []framework.Release {
	memories := make([]cache.Memory, 0, len(g.engines))
	for _, e := range g.engines {
		memories = append(memories, cache.Memory{Engine: e.Address, Capacity: e.Capacity(), Pressure: e.Pressure()})
	}
	return g.index.Releases(now, memories)
}

// Queued returns the number of calls that wait.
func (g *Group) Queued() int { return g.queue.Len() }

// Status returns a snapshot of the engines.
func (g *Group) Status(now time.Time) []framework.EngineStatus {
	out := make([]framework.EngineStatus, 0, len(g.engines))
	for _, e := range g.engines {
		st := e.Status(now)
		st.HeldKeys, st.HeldTokens = g.index.Held(e.Address)
		out = append(out, st)
	}
	return out
}
