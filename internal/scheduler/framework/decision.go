package framework

import "github.com/berylpond/berylpond/internal/verdict"

// Refusal names a queued call that was refused, and the error for its caller.
type Refusal struct {
	CallID string
	Err    *verdict.Error
}

// Decisions is the result of one scheduling decision.
type Decisions struct {
	Grants   []Grant
	Refusals []Refusal
}
