// Package placement describes what a request is expected to cost a backend server, and what a server still has to do.
package placement

import "time"

// Part is a part of a prompt. Parts with equal ids have equal text.
type Part struct {
	ID     string
	Tokens int64
}

// Work is what a request is expected to ask of a backend server. The zero value is unknown work.
type Work struct {
	// Route is the name of the route, by which costs are learned.
	Route string
	// Session identifies the line of turns that the request belongs to; empty if unknown. Its requests share their prompt.
	Session string
	// Prompt lists the parts of the prompt in order; the last one belongs to the request or its session. It is empty for
	// plain calls.
	Prompt []Part
	// MaxOutput is the maximum number of tokens to generate, OutputHint the client's estimate; zero if unknown.
	MaxOutput, OutputHint int64
}

// Outlook is what a request can expect of the backend servers that it may use at this moment.
type Outlook struct {
	// Servers is the number of servers that may be used, Places the number of requests that they run concurrently, and
	// Free the number that they would begin at once.
	Servers, Places, Free int
	// Wait is the expected time until the best of them begins the request, Service the expected time from then until the
	// end of its response. Service is zero if unknown.
	Wait, Service time.Duration
}

// PromptTokens is the size of the prompt; counts that can't be true are bounded.
func (w Work) PromptTokens() int64 { return promptTokens(w.Prompt) }
