// Package framework holds the types that the parts of the scheduler share.
package framework

import (
	"time"

	"github.com/berylpond/berylpond/internal/verdict"
)

// Call is a model call that requests a permit.
type Call struct {
	// ID is unique among calls; a second attempt of a call has a new one.
	ID string
	// Program identifies the conversation, and is the cache key on the engine.
	Program string
	// Root is the program at the root of a tree of sub-agents. Empty means Program.
	Root string
	// Account is the client account that is charged.
	Account string
	// Weight is the account's weight in fair queueing, relative to other accounts. Zero means 1.
	Weight float64
	// CompletedTurns is the number of earlier turns of the root program that were served.
	CompletedTurns int
	// AttainedService is the service that the root program has received so far, in weighted tokens.
	AttainedService int64
	// PrefixTokens is the number of prompt tokens from earlier turns, which an engine may have cached.
	PrefixTokens int64
	// NewTokens is the number of prompt tokens that are new in this turn.
	NewTokens int64
	// ExpectedOutput is an estimate of the number of completion tokens.
	ExpectedOutput int64
	// Deadline is the time after which a response is of no use. Zero means none.
	Deadline time.Time
	// FailedEngines lists the engines that already failed this call. A call with a non-empty list is a retry.
	FailedEngines []string
	// PriorVerdict is the verdict of a retry's last attempt.
	PriorVerdict verdict.Verdict
	// Repeatable is set when the call may safely run more than once.
	Repeatable bool
}

// RootProgram returns the program to which the call is accounted.
func (c *Call) RootProgram() string {
	if c.Root == "" {
		return c.Program
	}
	return c.Root
}

// IsRetry reports whether an earlier attempt of the call reached an engine.
func (c *Call) IsRetry() bool { return len(c.FailedEngines) > 0 }

// Started reports whether the root program has had a turn before.
func (c *Call) Started() bool {
	return c.CompletedTurns > 0 || c.PrefixTokens > 0 || c.AttainedService > 0
}

// PromptTokens returns the length of the whole prompt.
func (c *Call) PromptTokens() int64 { return c.PrefixTokens + c.NewTokens }

// Grant assigns a call to an engine.
type Grant struct {
	CallID string
	// Engine is the address of the engine.
	Engine string
	// CachedTokens estimates how many tokens of the prefix the engine still has cached.
	CachedTokens int64
	// QueueWait is how long the call was queued.
	QueueWait time.Duration
}

// OutcomeKind is how a granted call ended.
type OutcomeKind int

const (
	// OK means that the engine's complete response arrived.
	OK OutcomeKind = iota + 1
	// Failed means that the engine responded with an error or closed the connection early.
	Failed
	// Silent means that the engine made no progress within the progress timeout.
	Silent
	// Cancelled means that the caller cancelled the call or the holder of the permit disappeared. It carries no
	// information about the engine.
	Cancelled
)

// String returns the name used in logs and metrics.
func (k OutcomeKind) String() string {
	switch k {
	case OK:
		return "ok"
	case Failed:
		return "failed"
	case Silent:
		return "silent"
	default:
		return "cancelled"
	}
}

// Outcome is the end of a granted call, with the engine's token usage where it was reported.
type Outcome struct {
	Kind             OutcomeKind
	PromptTokens     int64
	CachedTokens     int64
	CompletionTokens int64
}
