package report

import (
	"fmt"

	"github.com/berylpond/berylpond/internal/verdict"
)

// ViolationKind names a promise that was broken.
type ViolationKind string

// Kinds of violations.
const (
	ViolationAnswer    ViolationKind = "answer"
	ViolationOrder     ViolationKind = "order"
	ViolationHistory   ViolationKind = "history"
	ViolationEffect    ViolationKind = "effect"
	ViolationNotRun    ViolationKind = "not_run"
	ViolationRate      ViolationKind = "rate"
	ViolationMemory    ViolationKind = "engine_memory"
	ViolationInvariant ViolationKind = "invariant"
	ViolationShutdown  ViolationKind = "shutdown"
)

// Violation is a promise that was seen broken.
type Violation struct {
	Kind   ViolationKind `json:"kind"`
	Detail string        `json:"detail"`
}

// Violation records a broken promise.
func (r *Recorder) Violation(kind ViolationKind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{Kind: kind, Detail: fmt.Sprintf(format, args...)})
}

// Violations returns what was recorded.
func (r *Recorder) Violations() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Violation(nil), r.violations...)
}

// Effect is the outcome of a service call that must not be repeated, as its caller was told in all its answers.
type Effect struct {
	Key string
	// Outcome is Ran once an answer said so, MayHaveRun once one left it open, and NotRun if all said so.
	Outcome verdict.Verdict
}

// Note adds one answer to the outcome.
func (e *Effect) Note(whole bool, err *verdict.Error) {
	switch {
	case e.Outcome == verdict.Ran:
	case whole || err.Verdict == verdict.Ran:
		e.Outcome = verdict.Ran
	case err.Verdict == verdict.MayHaveRun:
		e.Outcome = verdict.MayHaveRun
	}
}

// Effect records the outcome of a service call.
func (r *Recorder) Effect(e Effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.effects = append(r.effects, e)
}

// Effects returns all outcomes.
func (r *Recorder) Effects() []Effect {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Effect(nil), r.effects...)
}
