package framework

import "github.com/berylpond/berylpond/internal/verdict"

// Refusal is the rejection of a queued call.
type Refusal struct {
	CallID string
	Reason *verdict.Error
}

// Decisions is the result of one scheduling decision.
type Decisions struct {
	Grants   []Grant
	Refusals []Refusal
}
