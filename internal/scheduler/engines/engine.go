// Package engines keeps what is known of each engine of a group: what was sent to it (exact), what it reports (late,
// with decay), how fast it is and whether it can be trusted with new work.
package engines

import (
	"time"

	"github.com/berylpond/berylpond/internal/invariant"
	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// Engine is not safe for concurrent use.
type Engine struct {
	Address string
	Drained bool

	settings *framework.Settings
	flights  map[string]*flight
	// reserved is the sum of the flights' tokens.
	reserved int64
	limit    limit
	foreign  foreign
	health   health
	speed    speed
	report   framework.Load
	// lastSign is when the engine last showed progress on any call.
	lastSign time.Time
	// showsProgress is set once a first token was reported, so that its absence means something.
	showsProgress bool
}

type flight struct {
	sent       time.Time
	firstToken time.Time
	tokens     int64
}

// New returns an engine in good health.
func New(address string, s *framework.Settings, group *Speeds) *Engine {
	return &Engine{
		Address:  address,
		settings: s,
		flights:  map[string]*flight{},
		limit:    newLimit(s),
		speed:    speed{group: group},
		health:   health{state: framework.Healthy},
	}
}

// Start counts a call as sent to the engine.
func (e *Engine) Start(now time.Time, c *framework.Call) {
	tokens := c.PromptTokens() + c.ExpectedOutput
	e.flights[c.ID] = &flight{sent: now, tokens: tokens}
	e.reserved += tokens
	e.foreign.own(now, len(e.flights))
	if e.settings.HoldBack {
		invariant.Check(len(e.flights) <= e.Limit(), "scheduler.in_flight_within_limit", "engine", e.Address)
	}
}

// Progress notes that the engine has sent something for a call.
func (e *Engine) Progress(now time.Time, id string) {
	f := e.flights[id]
	if f == nil {
		return
	}
	e.lastSign = now
	if f.firstToken.IsZero() {
		f.firstToken = now
		e.showsProgress = true
	}
	e.health.sign()
}

// End takes a call off the engine and learns from its outcome.
func (e *Engine) End(now time.Time, id string, o framework.Outcome) {
	f := e.flights[id]
	if f == nil {
		return
	}
	delete(e.flights, id)
	e.reserved -= f.tokens
	invariant.Check(e.reserved >= 0, "scheduler.in_flight_not_negative", "engine", e.Address)
	switch o.Kind {
	case framework.OK:
		e.lastSign = now
		e.speed.learn(f, now, o)
		e.health.succeeded()
	case framework.Failed, framework.Silent:
		e.health.failed(now, o.Kind, e.settings.ProbationAfter)
	}
}

// Observe takes in a load report.
func (e *Engine) Observe(now time.Time, l framework.Load) {
	e.report = l
	e.foreign.observe(now, l, len(e.flights))
	e.limit.observe(l, len(e.flights))
	e.health.reachable()
}

// Unreachable notes that a poll went unanswered.
func (e *Engine) Unreachable() { e.health.unreachable() }

// InFlight returns the number of calls that were sent and have not ended.
func (e *Engine) InFlight() int { return len(e.flights) }

// Occupancy returns the calls thought to be on the engine, those of others included.
func (e *Engine) Occupancy(now time.Time) float64 {
	return float64(len(e.flights)) + e.foreign.estimate(now, e.settings.ReportDecay)
}

// Limit returns the present concurrency limit.
func (e *Engine) Limit() int {
	if e.health.state == framework.Probation {
		return 1
	}
	return e.limit.value()
}

// Usable reports whether the engine may get new work.
func (e *Engine) Usable(now time.Time) bool {
	return !e.Drained && e.health.allows(now) && !e.stalled(now)
}

// Free reports whether the engine has room for a call of that many tokens now.
func (e *Engine) Free(now time.Time, tokens int64) bool {
	if !e.settings.HoldBack && e.health.state != framework.Probation {
		return true
	}
	if e.Occupancy(now)+0.5 > float64(e.Limit()) {
		return false
	}
	capacity := e.report.KVCapacityTokens
	return capacity == 0 || e.reserved == 0 || e.reserved+tokens <= capacity
}

// Wait estimates how long a call would wait for room on the engine.
func (e *Engine) Wait(now time.Time, tokens int64) time.Duration {
	if e.Free(now, tokens) {
		return 0
	}
	over := e.Occupancy(now) - float64(e.Limit()) + 1
	return time.Duration(max(1, over) / float64(e.Limit()) * float64(e.speed.call()))
}

// Prefill estimates the time to compute that many prompt tokens.
func (e *Engine) Prefill(tokens float64) time.Duration {
	return time.Duration(tokens * e.speed.perToken() * float64(time.Second))
}

// CallTime is a moving mean of the time from sending a call to its end.
func (e *Engine) CallTime() time.Duration { return e.speed.call() }

// Pressure is the part of the engine's KV memory in use, from 0 to 1, by its last report.
func (e *Engine) Pressure() float64 {
	if e.report.KVCapacityTokens <= 0 {
		return 0
	}
	return float64(e.report.KVUsedTokens) / float64(e.report.KVCapacityTokens)
}

// Capacity returns the reported KV capacity in tokens; 0 means unknown.
func (e *Engine) Capacity() int64 { return e.report.KVCapacityTokens }

// stalled reports whether a call waits for its first token for much longer than usual while nothing else moves.
func (e *Engine) stalled(now time.Time) bool {
	if !e.showsProgress || now.Sub(e.lastSign) < minStall {
		return false
	}
	patience := max(minStall, stallFactor*e.speed.call())
	for _, f := range e.flights {
		if f.firstToken.IsZero() && now.Sub(f.sent) > patience && now.Sub(e.lastSign) > patience {
			return true
		}
	}
	return false
}

const (
	// minStall is the shortest silence that makes an engine suspect.
	minStall = 500 * time.Millisecond
	// stallFactor times the usual time of a call is the silence that makes an engine suspect.
	stallFactor = 3
)

// Status returns a snapshot.
func (e *Engine) Status(now time.Time) framework.EngineStatus {
	state := e.health.at(now)
	if state == framework.Healthy && e.stalled(now) {
		state = framework.Suspect
	}
	return framework.EngineStatus{
		Address: e.Address, Health: state, Drained: e.Drained,
		InFlight: len(e.flights), Limit: e.Limit(), Reported: e.report,
	}
}
