// Package engines tracks the state of each engine of a group: the calls sent to it (exact), its load reports (delayed,
// weighted by age), its speed and its health.
package engines

import (
	"time"

	"github.com/berylpond/berylpond/internal/invariant"
	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// Engine is the state of one engine. It is not safe for concurrent use.
type Engine struct {
	Address string
	Drained bool

	settings *framework.Settings
	inFlight map[string]*inFlightCall
	// reservedTokens is the sum of the tokens of the calls in flight.
	reservedTokens int64
	limit          concurrencyLimit
	external       externalLoad
	health         health
	speed          speed
	report         framework.LoadReport
	// lastProgress is when the engine last made progress on any call.
	lastProgress time.Time
	// reportsProgress is set at the first reported first token. Only then does missing progress indicate a stall.
	reportsProgress bool
}

type inFlightCall struct {
	sent       time.Time
	firstToken time.Time
	tokens     int64
}

// New returns an engine in state Healthy.
func New(address string, s *framework.Settings, group *GroupSpeed) *Engine {
	return &Engine{
		Address:  address,
		settings: s,
		inFlight: map[string]*inFlightCall{},
		limit:    newConcurrencyLimit(s),
		speed:    speed{group: group},
		health:   health{state: framework.Healthy},
	}
}

// StartCall records that a call was sent to the engine.
func (e *Engine) StartCall(now time.Time, c *framework.Call) {
	tokens := c.PromptTokens() + c.ExpectedOutput
	e.inFlight[c.ID] = &inFlightCall{sent: now, tokens: tokens}
	e.reservedTokens += tokens
	e.external.recordOwn(now, len(e.inFlight))
	if e.settings.LimitConcurrency {
		invariant.Check(len(e.inFlight) <= e.Limit(), "scheduler.in_flight_within_limit", "engine", e.Address)
	}
}

// Progress records that the engine has sent data for a call.
func (e *Engine) Progress(now time.Time, id string) {
	call := e.inFlight[id]
	if call == nil {
		return
	}
	e.lastProgress = now
	if call.firstToken.IsZero() {
		call.firstToken = now
		e.reportsProgress = true
	}
	e.health.progressed()
}

// EndCall removes a call from the engine and updates its health and speed from the outcome.
func (e *Engine) EndCall(now time.Time, id string, o framework.Outcome) {
	call := e.inFlight[id]
	if call == nil {
		return
	}
	delete(e.inFlight, id)
	e.reservedTokens -= call.tokens
	invariant.Check(e.reservedTokens >= 0, "scheduler.in_flight_not_negative", "engine", e.Address)
	switch o.Kind {
	case framework.OK:
		e.lastProgress = now
		e.speed.observe(call, now, o)
		e.health.succeeded()
	case framework.Failed, framework.Silent:
		e.health.failed(now, o.Kind, e.settings.ProbationBackoff)
	}
}

// ObserveLoad applies a load report.
func (e *Engine) ObserveLoad(now time.Time, l framework.LoadReport) {
	e.report = l
	e.external.observe(now, l, len(e.inFlight))
	e.limit.observe(l, len(e.inFlight))
	e.health.reachable()
}

// ObserveUnreachable records that the engine did not respond to a poll.
func (e *Engine) ObserveUnreachable() { e.health.unreachable() }

// InFlight returns the number of calls that were sent and have not ended.
func (e *Engine) InFlight() int { return len(e.inFlight) }

// Occupancy estimates the number of calls on the engine, including those sent by other schedulers.
func (e *Engine) Occupancy(now time.Time) float64 {
	return float64(len(e.inFlight)) + e.external.estimate(now, e.settings.ReportDecayTime)
}

// Limit returns the current concurrency limit.
func (e *Engine) Limit() int {
	if e.health.state == framework.Probation {
		return 1
	}
	return e.limit.value()
}

// Usable reports whether the engine may receive new calls.
func (e *Engine) Usable(now time.Time) bool {
	return !e.Drained && e.health.usable(now) && !e.stalled(now)
}

// HasCapacity reports whether the engine can accept a call of the given number of tokens now.
func (e *Engine) HasCapacity(now time.Time, tokens int64) bool {
	if !e.settings.LimitConcurrency && e.health.state != framework.Probation {
		return true
	}
	if e.Occupancy(now)+0.5 > float64(e.Limit()) {
		return false
	}
	capacity := e.report.KVCapacityTokens
	return capacity == 0 || e.reservedTokens == 0 || e.reservedTokens+tokens <= capacity
}

// ExpectedWait estimates how long a call would wait until the engine can accept it.
func (e *Engine) ExpectedWait(now time.Time, tokens int64) time.Duration {
	if e.HasCapacity(now, tokens) {
		return 0
	}
	excess := e.Occupancy(now) - float64(e.Limit()) + 1
	return time.Duration(max(1, excess) / float64(e.Limit()) * float64(e.speed.callTime()))
}

// PrefillTime estimates the time to prefill the given number of prompt tokens.
func (e *Engine) PrefillTime(tokens float64) time.Duration {
	return time.Duration(tokens * e.speed.prefillPerToken() * float64(time.Second))
}

// CallTime returns a moving mean of the time from sending a call to its end.
func (e *Engine) CallTime() time.Duration { return e.speed.callTime() }

// MemoryPressure returns the fraction of the engine's KV memory in use, from 0 to 1, according to its last report.
func (e *Engine) MemoryPressure() float64 {
	if e.report.KVCapacityTokens <= 0 {
		return 0
	}
	return float64(e.report.KVUsedTokens) / float64(e.report.KVCapacityTokens)
}

// KVCapacity returns the reported KV capacity in tokens; 0 means unknown.
func (e *Engine) KVCapacity() int64 { return e.report.KVCapacityTokens }

// stalled reports whether a call has waited for its first token for much longer than usual while the engine made no
// progress on any call.
func (e *Engine) stalled(now time.Time) bool {
	if !e.reportsProgress || now.Sub(e.lastProgress) < minStallTime {
		return false
	}
	threshold := max(minStallTime, stallFactor*e.speed.callTime())
	for _, call := range e.inFlight {
		if call.firstToken.IsZero() && now.Sub(call.sent) > threshold && now.Sub(e.lastProgress) > threshold {
			return true
		}
	}
	return false
}

const (
	// minStallTime is the shortest time without progress after which an engine becomes suspect.
	minStallTime = 500 * time.Millisecond
	// stallFactor is the time without progress after which an engine becomes suspect, in mean call times.
	stallFactor = 3
)

// Status returns a snapshot.
func (e *Engine) Status(now time.Time) framework.EngineStatus {
	state := e.health.current(now)
	if state == framework.Healthy && e.stalled(now) {
		state = framework.Suspect
	}
	return framework.EngineStatus{
		Address: e.Address, Health: state, Drained: e.Drained,
		InFlight: len(e.inFlight), Limit: e.Limit(), Load: e.report,
	}
}
