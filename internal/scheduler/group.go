// Package scheduler decides, for one group of model engines, which call goes where and when, who waits and who is
// refused. It is a pure state machine: it does no I/O, starts no goroutine and is not safe for concurrent use.
package scheduler

import (
	"net/http"
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
	"github.com/berylpond/berylpond/internal/verdict"
)

// Group is the scheduler of one group of engines.
type Group struct {
	settings framework.Settings
	engines  []framework.EngineSpec
	queue    []queued
	flight   map[string]string
	perEng   map[string]int
	next     int
}

type queued struct {
	call framework.Call
	at   time.Time
}

// New returns a group without engines.
func New(s framework.Settings) *Group {
	return &Group{settings: s, flight: map[string]string{}, perEng: map[string]int{}}
}

// SetEngines replaces the group's engines.
func (g *Group) SetEngines(now time.Time, engines []framework.EngineSpec) { g.engines = engines }

// Submit queues a call, or refuses it at once.
func (g *Group) Submit(now time.Time, c framework.Call) *verdict.Error {
	if len(g.queue) >= g.settings.MaxQueuedPerAccount {
		return verdict.Refuse(http.StatusTooManyRequests, verdict.ReasonQueueFull, time.Second, "the queue is full")
	}
	g.queue = append(g.queue, queued{call: c, at: now})
	return nil
}

// Decide grants and refuses queued calls.
func (g *Group) Decide(now time.Time) framework.Decisions {
	var d framework.Decisions
	for len(g.queue) > 0 {
		address, ok := g.pick()
		if !ok {
			return d
		}
		q := g.queue[0]
		g.queue = g.queue[1:]
		g.flight[q.call.ID] = address
		g.perEng[address]++
		d.Grants = append(d.Grants, framework.Grant{CallID: q.call.ID, Engine: address, QueueWait: now.Sub(q.at)})
	}
	return d
}

func (g *Group) pick() (string, bool) {
	for range g.engines {
		e := g.engines[g.next%len(g.engines)]
		g.next++
		if !e.Drained && g.perEng[e.Address] < g.settings.InitialConcurrency {
			return e.Address, true
		}
	}
	return "", false
}

// Cancel removes a call that is still queued. It reports whether there was one.
func (g *Group) Cancel(now time.Time, id string) bool {
	for i := range g.queue {
		if g.queue[i].call.ID == id {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Progress says that the engine has sent something for a granted call.
func (g *Group) Progress(now time.Time, id string) {}

// Done ends a granted call.
func (g *Group) Done(now time.Time, id string, o framework.Outcome) {
	if address, ok := g.flight[id]; ok {
		delete(g.flight, id)
		g.perEng[address]--
	}
}

// EndProgram says that a program, and with it its sub-agents, has ended.
func (g *Group) EndProgram(now time.Time, program string) {}

// ObserveLoad takes in a load report.
func (g *Group) ObserveLoad(now time.Time, engine string, l framework.Load) {}

// ObserveEvents takes in cache events.
func (g *Group) ObserveEvents(now time.Time, engine string, events []framework.CacheEvent) {}

// ObserveKeys takes in the list of all prefixes that an engine holds, asked for at the given instant.
func (g *Group) ObserveKeys(now, asked time.Time, engine string, held []framework.HeldKey) {}

// ObserveUnreachable says that an engine did not answer a poll.
func (g *Group) ObserveUnreachable(now time.Time, engine string) {}

// Releases returns the prefixes that engines shall free now.
func (g *Group) Releases(now time.Time) []framework.Release { return nil }

// Queued returns the number of calls that wait.
func (g *Group) Queued() int { return len(g.queue) }

// Status returns a snapshot of the engines.
func (g *Group) Status(now time.Time) []framework.EngineStatus {
	var out []framework.EngineStatus
	for _, e := range g.engines {
		out = append(out, framework.EngineStatus{Address: e.Address, Drained: e.Drained, InFlight: g.perEng[e.Address]})
	}
	return out
}

// SetObjective changes how the team weighs its figures.
func (g *Group) SetObjective(o framework.Objective) { g.settings.Objective = o }
