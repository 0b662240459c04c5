package cell

import (
	cellv1 "github.com/berylpond/berylpond/api/cell/v1"
	"github.com/berylpond/berylpond/internal/lease"
)

func ownerProto(o lease.Owner) *cellv1.Owner {
	return &cellv1.Owner{Slot: uint32(o.Slot), Incarnation: o.Incarnation}
}

func ownerFrom(o *cellv1.Owner) lease.Owner {
	return lease.Owner{Slot: int(o.GetSlot()), Incarnation: o.GetIncarnation()}
}

func grantProto(g lease.Grant) *cellv1.Grant {
	return &cellv1.Grant{Part: uint32(g.Shard), Term: g.Term, Attempt: g.Attempt}
}

func grantFrom(o lease.Owner, g *cellv1.Grant) lease.Grant {
	return lease.Grant{Shard: int(g.GetPart()), Owner: o, Term: g.GetTerm(), Attempt: g.GetAttempt()}
}

// stateProto omits the highest term if it equals the holder's term.
func stateProto(s lease.State) *cellv1.PartState {
	p := &cellv1.PartState{Part: uint32(s.Shard), Granted: s.Granted, MaxTerm: s.MaxTerm, Previous: s.Previous, PreviousKnown: s.PreviousKnown}
	if s.Held {
		p.Holder, p.Term = ownerProto(s.Holder), s.Term
	}
	if p.MaxTerm == p.Term {
		p.MaxTerm = 0
	}
	return p
}

func stateFrom(p *cellv1.PartState) lease.State {
	return lease.State{
		Shard: int(p.Part), Granted: p.Granted, Held: p.Holder != nil, Holder: ownerFrom(p.Holder),
		Term: p.Term, MaxTerm: max(p.MaxTerm, p.Term), Previous: p.Previous, PreviousKnown: p.PreviousKnown,
	}
}
