package peer

import (
	"time"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	"github.com/berylpond/berylpond/internal/member"
	"github.com/berylpond/berylpond/internal/program"
	"github.com/berylpond/berylpond/internal/verdict"
)

// FailureToWire converts a verdict error to its protobuf message.
func FailureToWire(e *verdict.Error) *peerv1.Failure {
	return &peerv1.Failure{
		Verdict: e.Verdict.String(), Reason: string(e.Reason), Status: int32(e.Status),
		RetryAfterMs: e.RetryAfter.Milliseconds(), Detail: e.Detail,
	}
}

// FailureFromWire is the inverse of FailureToWire.
func FailureFromWire(f *peerv1.Failure) *verdict.Error {
	return &verdict.Error{
		Verdict: verdict.Parse(f.Verdict), Reason: verdict.Reason(f.Reason), Status: int(f.Status),
		RetryAfter: time.Duration(f.RetryAfterMs) * time.Millisecond, Detail: f.Detail,
	}
}

// InstanceToWire converts an instance to its protobuf message.
func InstanceToWire(i member.Instance) *peerv1.Instance {
	return &peerv1.Instance{
		Id: i.ID, DataCentre: i.DataCentre, Slot: int32(i.Slot), Incarnation: i.Incarnation,
		PeerAddr: i.PeerAddr, HttpAddr: i.HTTPAddr, Leaving: i.Leaving,
	}
}

// InstanceFromWire is the inverse of InstanceToWire.
func InstanceFromWire(i *peerv1.Instance) member.Instance {
	return member.Instance{
		ID: i.Id, DataCentre: i.DataCentre, Slot: int(i.Slot), Incarnation: i.Incarnation,
		PeerAddr: i.PeerAddr, HTTPAddr: i.HttpAddr, Leaving: i.Leaving,
	}
}

// ProgramToWire converts a program's state, without its history, to its protobuf message.
func ProgramToWire(p *program.Program, busy bool) *peerv1.Program {
	out := &peerv1.Program{
		Id: p.ID, Account: &peerv1.Account{Team: p.Team, Name: p.Account}, Parent: p.Parent, Root: p.Root, Head: p.Head,
		Turns: int64(len(p.Turns)), BudgetTokens: p.BudgetTokens, BudgetCalls: p.BudgetCalls,
		SpentTokens: p.SpentTokens + p.Reserved(), SpentCalls: p.Calls(),
		CreatedUnixMs: p.Created.UnixMilli(), Ended: p.Ended, Busy: busy,
	}
	if !p.Deadline.IsZero() {
		out.DeadlineUnixMs = p.Deadline.UnixMilli()
	}
	return out
}
