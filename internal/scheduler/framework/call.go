// Package framework holds the types that the parts of the scheduler share.
package framework

import (
	"time"

	"github.com/berylpond/berylpond/internal/verdict"
)

// Call is one model call that asks for a permit.
type Call struct {
	// ID is unique among calls; a second attempt of a call has a new one.
	ID string
	// Program names the conversation, and is the engine's cache key.
	Program string
	// Root is the program at the root of a tree of sub-agents. Empty means Program.
	Root string
	// Account is the client account that is charged.
	Account string
	// Weight is the account's share relative to others. Zero means 1.
	Weight float64
	// Turn is the number of turns of the root program that were served before this one.
	Turn int
	// Attained is the weighted tokens that the root program has been served so far.
	Attained int64
	// PrefixTokens are the prompt tokens of earlier turns, which an engine may have cached.
	PrefixTokens int64
	// NewTokens are the prompt tokens that are new in this turn.
	NewTokens int64
	// ExpectedOutput is a guess at the completion tokens.
	ExpectedOutput int64
	// Deadline is the instant after which an answer is of no use. Zero means none.
	Deadline time.Time
	// Avoid lists the engines that already failed this call. A call with a non-empty list is a retry.
	Avoid []string
	// Prior is the verdict of a retry's last attempt.
	Prior verdict.Verdict
	// Repeatable is set when the call may run more than once.
	Repeatable bool
}

// RootProgram returns the program that the call counts to.
func (c *Call) RootProgram() string {
	if c.Root == "" {
		return c.Program
	}
	return c.Root
}

// Retry reports whether an earlier attempt of the call reached an engine.
func (c *Call) Retry() bool { return len(c.Avoid) > 0 }

// Begun reports whether the root program has been served before.
func (c *Call) Begun() bool { return c.Turn > 0 || c.PrefixTokens > 0 || c.Attained > 0 }

// PromptTokens returns the length of the whole prompt.
func (c *Call) PromptTokens() int64 { return c.PrefixTokens + c.NewTokens }

// Grant sends a call to an engine.
type Grant struct {
	CallID string
	// Engine is the address of the engine.
	Engine string
	// CachedTokens estimates the part of the prefix that the engine still holds.
	CachedTokens int64
	// QueueWait is the time that the call was queued.
	QueueWait time.Duration
}

// OutcomeKind tells how a granted call ended.
type OutcomeKind int

const (
	// OK means that the engine's whole answer arrived.
	OK OutcomeKind = iota + 1
	// Failed means that the engine answered with an error or broke the connection.
	Failed
	// Silent means that the engine made no progress within the progress timeout.
	Silent
	// Cancelled means that the caller gave up or the permit's holder vanished. It says nothing about the engine.
	Cancelled
)

// String returns the form used in logs and metrics.
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

// Outcome is the end of a granted call, with the engine's usage figures where it gave them.
type Outcome struct {
	Kind             OutcomeKind
	PromptTokens     int64
	CachedTokens     int64
	CompletionTokens int64
}
