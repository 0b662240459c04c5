package request

import (
	"time"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
)

// Program is the JSON representation of a program in responses to callers.
type Program struct {
	ID       string    `json:"id"`
	Parent   string    `json:"parent,omitempty"`
	Head     string    `json:"head"`
	Turns    int64     `json:"turns"`
	State    string    `json:"state"`
	Created  time.Time `json:"created"`
	Deadline time.Time `json:"deadline"`
	Budget   Amount    `json:"budget"`
	Spent    Amount    `json:"spent"`
}

// Amount is a number of tokens and calls.
type Amount struct {
	Tokens int64 `json:"tokens"`
	Calls  int64 `json:"calls"`
}

// NewProgram returns the representation of p.
func NewProgram(p *peerv1.Program) Program {
	return Program{
		ID: p.Id, Parent: p.Parent, Head: p.Head, Turns: p.Turns, State: ProgramState(p),
		Created: time.UnixMilli(p.CreatedUnixMs).UTC(), Deadline: time.UnixMilli(p.DeadlineUnixMs).UTC(),
		Budget: Amount{Tokens: p.BudgetTokens, Calls: p.BudgetCalls},
		Spent:  Amount{Tokens: p.SpentTokens, Calls: p.SpentCalls},
	}
}

// ProgramState returns the state of a program: "ended", "busy" or "idle".
func ProgramState(p *peerv1.Program) string {
	switch {
	case p.Ended:
		return "ended"
	case p.Busy:
		return "busy"
	}
	return "idle"
}
