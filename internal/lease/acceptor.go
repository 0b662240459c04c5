package lease

import "time"

// knownPromises is the time, in promises, after which a new acceptor names the predecessors of holdings. A vote of its
// earlier incarnation counted for one promise at most; what the holder elected by it left behind is used within
// MaxOfferAge, and the third promise covers the transit.
const knownPromises = 3

// Acceptor is one slot's voter for all parts.
type Acceptor struct {
	cfg          Config
	abstainUntil time.Time
	// knownFrom is when no grant that an earlier incarnation supported can be the predecessor of a new holding.
	knownFrom time.Time
	parts     []acceptedPart
}

type acceptedPart struct {
	grant    Grant
	previous uint64
	known    bool
	expires  time.Time
	released bool
	renewed  time.Time
	// top is the grant with the highest term seen; topReleased is set when it was released.
	top         Grant
	topReleased bool
}

// NewAcceptor returns an acceptor that starts at now and abstains for the time of a promise.
func NewAcceptor(cfg Config, now time.Time) *Acceptor {
	a := &Acceptor{
		cfg: cfg, abstainUntil: now.Add(cfg.Promise()), knownFrom: now.Add(knownPromises * cfg.Promise()),
		parts: make([]acceptedPart, cfg.Slots),
	}
	for i := range a.parts {
		a.parts[i].renewed = a.abstainUntil
	}
	return a
}

// Abstaining reports whether the acceptor still grants nothing.
func (a *Acceptor) Abstaining(now time.Time) bool { return now.Before(a.abstainUntil) }

// Acquire asks for a grant, or renews it.
func (a *Acceptor) Acquire(now time.Time, g Grant) State {
	if g.Part < 0 || g.Part >= len(a.parts) {
		return State{Part: g.Part}
	}
	p := &a.parts[g.Part]
	granted := !a.Abstaining(now) && p.mayGrant(now, g)
	p.see(g)
	if granted {
		if g != p.grant {
			p.previous, p.known = p.grant.Term, !now.Before(a.knownFrom)
		}
		p.grant, p.released = g, false
		p.renewed, p.expires = now, now.Add(a.cfg.Promise())
	}
	s := a.State(now, g.Part)
	s.Granted = granted
	if granted {
		s.Previous, s.PreviousKnown = p.previous, p.known
	}
	return s
}

// see notes the highest term.
func (p *acceptedPart) see(g Grant) {
	if g.Term > p.top.Term {
		p.top, p.topReleased = g, false
	}
}

// mayGrant allows the renewal of the last grant, also after its promise ran out and nobody else was granted, and,
// when nobody is supported, a grant of the highest term.
func (p *acceptedPart) mayGrant(now time.Time, g Grant) bool {
	if g == p.grant {
		return !p.released
	}
	return !p.held(now) && (g.Term > p.top.Term || (g == p.top && !p.topReleased))
}

func (p *acceptedPart) held(now time.Time) bool { return !p.released && now.Before(p.expires) }

// Release ends the support of exactly the given grant. A release of any other grant changes no support, but its term
// is never granted afterwards.
func (a *Acceptor) Release(g Grant) {
	if g.Part < 0 || g.Part >= len(a.parts) {
		return
	}
	p := &a.parts[g.Part]
	p.see(g)
	if g == p.top {
		p.topReleased = true
	}
	if g == p.grant {
		p.released = true
	}
}

// State returns the view of one part.
func (a *Acceptor) State(now time.Time, part int) State {
	p := &a.parts[part]
	s := State{Part: part, MaxTerm: p.top.Term}
	if p.held(now) {
		s.Held, s.Holder, s.Term = true, p.grant.Owner, p.grant.Term
	}
	return s
}

// Renewed returns when a grant of the part was last given or renewed, or when the abstention ends if none was.
func (a *Acceptor) Renewed(part int) time.Time { return a.parts[part].renewed }
