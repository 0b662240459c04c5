package report

import (
	"fmt"

	"github.com/berylpond/berylpond/internal/verdict"
)

// ViolationKind is the guarantee that was violated.
type ViolationKind string

// Kinds of violations.
const (
	ViolationResponse     ViolationKind = "answer"
	ViolationOrder        ViolationKind = "order"
	ViolationHistory      ViolationKind = "history"
	ViolationEffect       ViolationKind = "effect"
	ViolationNotRun       ViolationKind = "not_run"
	ViolationRate         ViolationKind = "rate"
	ViolationEngineMemory ViolationKind = "engine_memory"
	ViolationInvariant    ViolationKind = "invariant"
	ViolationShutdown     ViolationKind = "shutdown"
)

// Violation is an observed violation of a guarantee.
type Violation struct {
	Kind   ViolationKind `json:"kind"`
	Detail string        `json:"detail"`
}

// RecordViolation records a violated guarantee.
func (r *Recorder) RecordViolation(kind ViolationKind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{Kind: kind, Detail: fmt.Sprintf(format, args...)})
}

// Violations returns the recorded violations.
func (r *Recorder) Violations() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Violation(nil), r.violations...)
}

// Effect is the outcome of a non-idempotent service call as reported to its caller in the responses to all its
// attempts.
type Effect struct {
	Key string
	// Outcome is Ran if any response reported that the call ran, MayHaveRun if any of the others left it unknown, and
	// NotRun if all reported that it did not run.
	Outcome verdict.Verdict
}

// AddResponse updates the outcome with the response to one attempt.
func (e *Effect) AddResponse(complete bool, err *verdict.Error) {
	switch {
	case e.Outcome == verdict.Ran:
	case complete || err.Verdict == verdict.Ran:
		e.Outcome = verdict.Ran
	case err.Verdict == verdict.MayHaveRun:
		e.Outcome = verdict.MayHaveRun
	}
}

// RecordEffect records the outcome of a service call.
func (r *Recorder) RecordEffect(e Effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.effects = append(r.effects, e)
}

// Effects returns the recorded outcomes.
func (r *Recorder) Effects() []Effect {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Effect(nil), r.effects...)
}
