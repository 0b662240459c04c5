package framework

import "github.com/berylpond/berylpond/internal/verdict"

// Refusal gives up a queued call.
type Refusal struct {
	CallID string
	Err    *verdict.Error
}

// Decisions are what the scheduler decided at one instant.
type Decisions struct {
	Grants   []Grant
	Refusals []Refusal
}
