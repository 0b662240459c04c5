package lease

import "time"

// predecessorPromises is the number of promise durations after which a new acceptor reports the predecessor of a grant.
// A vote of its earlier incarnation counts for at most one promise; the state that the holder elected by that vote
// hands over may be used within MaxHandOverAge, a second promise; the third covers messages in transit.
const predecessorPromises = 3

// Acceptor is the voter of one slot for the leases of all shards.
type Acceptor struct {
	cfg          Config
	abstainUntil time.Time
	// predecessorsKnownAt is the time from which no grant supported by an earlier incarnation can be the predecessor of a
	// new grant.
	predecessorsKnownAt time.Time
	shards              []acceptedShard
}

type acceptedShard struct {
	grant         Grant
	previous      uint64
	previousKnown bool
	expires       time.Time
	released      bool
	renewed       time.Time
	// highest is the grant with the highest term seen; highestReleased is set once it has been released.
	highest         Grant
	highestReleased bool
}

// NewAcceptor returns an acceptor that starts at now and abstains for one promise duration.
func NewAcceptor(cfg Config, now time.Time) *Acceptor {
	a := &Acceptor{
		cfg: cfg, abstainUntil: now.Add(cfg.PromiseDuration()),
		predecessorsKnownAt: now.Add(predecessorPromises * cfg.PromiseDuration()),
		shards:              make([]acceptedShard, cfg.Slots),
	}
	for i := range a.shards {
		a.shards[i].renewed = a.abstainUntil
	}
	return a
}

// Abstaining reports whether the acceptor still rejects every request because its earlier incarnation may have granted.
func (a *Acceptor) Abstaining(now time.Time) bool { return now.Before(a.abstainUntil) }

// Acquire requests or renews a grant. The returned State tells whether it is supported.
func (a *Acceptor) Acquire(now time.Time, g Grant) State {
	if g.Shard < 0 || g.Shard >= len(a.shards) {
		return State{Shard: g.Shard}
	}
	p := &a.shards[g.Shard]
	granted := !a.Abstaining(now) && p.mayGrant(now, g)
	p.observeTerm(g)
	if granted {
		if g != p.grant {
			p.previous, p.previousKnown = p.grant.Term, !now.Before(a.predecessorsKnownAt)
		}
		p.grant, p.released = g, false
		p.renewed, p.expires = now, now.Add(a.cfg.PromiseDuration())
	}
	s := a.State(now, g.Shard)
	s.Granted = granted
	if granted {
		s.Previous, s.PreviousKnown = p.previous, p.previousKnown
	}
	return s
}

// observeTerm updates the grant with the highest term.
func (p *acceptedShard) observeTerm(g Grant) {
	if g.Term > p.highest.Term {
		p.highest, p.highestReleased = g, false
	}
}

// mayGrant allows the renewal of the last grant, even after its promise has expired as long as no other grant was
// given. While no grant is supported it also allows a grant whose term is higher than all others seen.
func (p *acceptedShard) mayGrant(now time.Time, g Grant) bool {
	if g == p.grant {
		return !p.released
	}
	return !p.held(now) && (g.Term > p.highest.Term || (g == p.highest && !p.highestReleased))
}

func (p *acceptedShard) held(now time.Time) bool { return !p.released && now.Before(p.expires) }

// Release ends the support of the given grant. If another grant is supported, that one stays, and the released term is
// never granted afterwards.
func (a *Acceptor) Release(g Grant) {
	if g.Shard < 0 || g.Shard >= len(a.shards) {
		return
	}
	p := &a.shards[g.Shard]
	p.observeTerm(g)
	if g == p.highest {
		p.highestReleased = true
	}
	if g == p.grant {
		p.released = true
	}
}

// State returns the acceptor's view of one shard.
func (a *Acceptor) State(now time.Time, shard int) State {
	p := &a.shards[shard]
	s := State{Shard: shard, MaxTerm: p.highest.Term}
	if p.held(now) {
		s.Held, s.Holder, s.Term = true, p.grant.Owner, p.grant.Term
	}
	return s
}

// LastRenewed returns when a grant of the shard was last given or renewed, or the end of the abstention if none was.
func (a *Acceptor) LastRenewed(shard int) time.Time { return a.shards[shard].renewed }
