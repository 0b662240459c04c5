package lease

import (
	"slices"
	"time"
)

// slotBits is the number of low bits of a term that hold the slot of its owner.
const slotBits = 3

// attemptBeats is the number of heartbeats after which an attempt without a majority is given up.
const attemptBeats = 2

// offerValid is the number of heartbeats for which an offered part may be acquired without waiting.
const offerValid = 4

// Proposer acquires, renews and releases parts for one owner.
type Proposer struct {
	cfg      Config
	self     Owner
	attempt  uint64
	leaving  bool
	standing [maxVoters]time.Time
	parts    []proposedPart
	releases []Grant
}

type proposedPart struct {
	active  bool
	grant   Grant
	started time.Time
	held    bool
	until   [maxVoters]time.Time
	// previous holds what the voters that granted named as the term before; known tells which of them know it.
	previous [maxVoters]uint64
	known    [maxVoters]bool
	maxTerm  uint64
	retryAt  time.Time
	offered  time.Time
	// contending is set after an attempt that fell short while no other holder was seen: the next one waits only for
	// retryAt, so that two slots that shared the votes do not meet again.
	contending bool
	reports    [maxVoters]report
}

type report struct {
	state State
	at    time.Time
}

// Round is what a proposer sends to every acceptor of the cell, its own included.
type Round struct {
	// SentAt is the time from which the grants of this round count.
	SentAt  time.Time
	Acquire []Grant
	Release []Grant
	// Wanted are the parts whose present holder is asked to hand them over.
	Wanted []int
}

// NewProposer returns a proposer that holds nothing.
func NewProposer(cfg Config, self Owner) *Proposer {
	return &Proposer{cfg: cfg, self: self, parts: make([]proposedPart, cfg.Slots)}
}

// Tick begins a round. local is the acceptor of the same slot.
func (p *Proposer) Tick(now time.Time, local *Acceptor) Round {
	r := Round{SentAt: now}
	for i := range p.parts {
		p.expire(now, i)
		if !p.parts[i].active && p.mayTry(now, i, local, &r) {
			p.begin(now, i)
		}
		if p.parts[i].active {
			r.Acquire = append(r.Acquire, p.parts[i].grant)
		}
	}
	r.Release, p.releases = p.releases, nil
	return r
}

// expire gives up an attempt that fell short, and a holding that has run out.
func (p *Proposer) expire(now time.Time, part int) {
	s := &p.parts[part]
	if !s.active || p.holds(now, s) {
		return
	}
	if s.held || now.Sub(s.started) >= attemptBeats*p.cfg.Heartbeat {
		s.contending = !s.held
		p.release(part)
		s.retryAt = now.Add(p.stagger(p.rank(part)))
	}
}

// rank orders the slots in their preference for a part: 0 is the home slot.
func (p *Proposer) rank(part int) int {
	return (p.self.Slot - part + p.cfg.Slots) % p.cfg.Slots
}

// stagger keeps the attempts of slots of different rank apart.
func (p *Proposer) stagger(rank int) time.Duration {
	return time.Duration(rank*(attemptBeats+1)) * p.cfg.Heartbeat
}

func (p *Proposer) mayTry(now time.Time, part int, local *Acceptor, r *Round) bool {
	s := &p.parts[part]
	if p.leaving || local.Abstaining(now) || now.Before(s.retryAt) || !p.Standing(now) {
		return false
	}
	if _, other := p.Holder(now, part); other {
		s.contending = false
		if p.rank(part) == 0 {
			r.Wanted = append(r.Wanted, part)
		}
		return false
	}
	if p.rank(part) == 0 || s.contending || now.Before(s.offered) {
		return true
	}
	wait := p.cfg.Promise() + p.stagger(p.rank(part)-1)
	return now.Sub(local.Renewed(part)) >= wait
}

func (p *Proposer) begin(now time.Time, part int) {
	s := &p.parts[part]
	p.attempt++
	counter := max(s.maxTerm>>slotBits+1, uint64(now.UnixMilli()))
	s.maxTerm = counter<<slotBits | uint64(p.self.Slot)
	s.grant = Grant{Part: part, Owner: p.self, Term: s.maxTerm, Attempt: p.attempt}
	s.active, s.held, s.started = true, false, now
	s.previous, s.known = [maxVoters]uint64{}, [maxVoters]bool{}
	s.until = [maxVoters]time.Time{}
}

// Answer takes in the answer of the acceptor at slot to the round that was sent at sentAt, and to the grant asked
// there. asked is the zero Grant when the round asked nothing for the part.
func (p *Proposer) Answer(now, sentAt time.Time, slot int, asked Grant, st State) {
	if slot < 0 || slot >= p.cfg.Voters() || st.Part < 0 || st.Part >= len(p.parts) {
		return
	}
	s := &p.parts[st.Part]
	s.maxTerm = max(s.maxTerm, st.MaxTerm)
	if !now.Before(s.reports[slot].at) {
		s.reports[slot] = report{state: st, at: now}
	}
	if !st.Granted || !s.active || asked != s.grant {
		return
	}
	if st.PreviousKnown {
		s.previous[slot], s.known[slot] = st.Previous, true
	}
	if until := sentAt.Add(p.cfg.Lease); until.After(s.until[slot]) {
		s.until[slot] = until
	}
	s.held = s.held || p.holds(now, s)
}

// NeedsExtra returns the grants of a round that the slots alone will not keep up for another half of the lease.
// The slots have one round for a new attempt before the extra voter is asked.
func (p *Proposer) NeedsExtra(now time.Time, r Round) []Grant {
	var need []Grant
	for _, g := range r.Acquire {
		s := &p.parts[g.Part]
		if s.active && s.grant == g && s.started.Before(now) && p.granting(now.Add(p.cfg.Lease/2), s) < p.cfg.Majority() {
			need = append(need, g)
		}
	}
	return need
}

// granting counts the slots whose grants last beyond the given time.
func (p *Proposer) granting(at time.Time, s *proposedPart) int {
	n := 0
	for _, until := range s.until[:p.cfg.Slots] {
		if until.After(at) {
			n++
		}
	}
	return n
}

// Alive notes that the slot answered a message that was sent at sentAt.
func (p *Proposer) Alive(sentAt time.Time, slot int) {
	if slot < 0 || slot >= p.cfg.Voters() {
		return
	}
	if until := sentAt.Add(p.cfg.Lease); until.After(p.standing[slot]) {
		p.standing[slot] = until
	}
}

// Standing reports whether a majority of the cell, the own slot included, answered within the lease.
func (p *Proposer) Standing(now time.Time) bool {
	p.standing[p.self.Slot] = now.Add(p.cfg.Lease)
	return p.majorityUntil(p.standing).After(now)
}

// Answered reports whether the slot answered within the lease.
func (p *Proposer) Answered(now time.Time, slot int) bool {
	return slot == p.self.Slot || p.standing[slot].After(now)
}

// Holds returns the grant by which the part is held and the time at which it runs out.
func (p *Proposer) Holds(now time.Time, part int) (Grant, time.Time, bool) {
	if part < 0 || part >= len(p.parts) {
		return Grant{}, time.Time{}, false
	}
	s := &p.parts[part]
	if !p.holds(now, s) {
		return Grant{}, time.Time{}, false
	}
	return s.grant, p.majorityUntil(s.until), true
}

// Previous returns the term of the holding right before the present grant of the part, or a later term that no one
// held; 0 when it isn't known. Every holding was granted by a majority, so among the terms that a majority supported
// before this grant is that of the last holding.
func (p *Proposer) Previous(part int) uint64 {
	s := &p.parts[part]
	count, highest := 0, uint64(0)
	for voter, known := range s.known {
		if known {
			count++
			highest = max(highest, s.previous[voter])
		}
	}
	if !s.active || count < p.cfg.Majority() {
		return 0
	}
	return highest
}

func (p *Proposer) holds(now time.Time, s *proposedPart) bool {
	return s.active && p.majorityUntil(s.until).After(now)
}

// majorityUntil is the latest time until which a majority of the slots grants.
func (p *Proposer) majorityUntil(until [maxVoters]time.Time) time.Time {
	s := until[:p.cfg.Voters()]
	slices.SortFunc(s, func(a, b time.Time) int { return b.Compare(a) })
	return s[p.cfg.Majority()-1]
}

// Holder returns the owner, other than this one, whom most acceptors recently reported to hold the part.
func (p *Proposer) Holder(now time.Time, part int) (Owner, bool) {
	var best report
	bestCount := 0
	for _, r := range p.parts[part].reports[:p.cfg.Voters()] {
		if !r.fresh(now, p.cfg) || r.state.Holder == p.self {
			continue
		}
		if n := p.count(now, part, r.state.Holder); n > bestCount || (n == bestCount && r.state.Term > best.state.Term) {
			best, bestCount = r, n
		}
	}
	return best.state.Holder, bestCount > 0
}

func (r report) fresh(now time.Time, cfg Config) bool {
	return r.state.Held && now.Sub(r.at) < 2*cfg.Heartbeat+cfg.Margin
}

func (p *Proposer) count(now time.Time, part int, o Owner) int {
	n := 0
	for _, r := range p.parts[part].reports[:p.cfg.Voters()] {
		if r.fresh(now, p.cfg) && r.state.Holder == o {
			n++
		}
	}
	return n
}

// Offer tells that the part was released for this slot.
func (p *Proposer) Offer(now time.Time, part int) {
	if part < 0 || part >= len(p.parts) {
		return
	}
	s := &p.parts[part]
	s.offered = now.Add(offerValid * p.cfg.Heartbeat)
	s.reports = [maxVoters]report{}
	s.retryAt = time.Time{}
}

// HandOver releases the part if the slot that asks is its home. It reports whether a release was queued.
func (p *Proposer) HandOver(now time.Time, part, toSlot int) bool {
	if part < 0 || part >= len(p.parts) || toSlot != part || toSlot == p.self.Slot || !p.holds(now, &p.parts[part]) {
		return false
	}
	p.release(part)
	p.parts[part].retryAt = now.Add(p.cfg.Promise())
	return true
}

// Leave releases every part for good and returns those that were held.
func (p *Proposer) Leave(now time.Time) []int {
	p.leaving = true
	held := p.Held(now)
	for i := range p.parts {
		if p.parts[i].active {
			p.release(i)
		}
	}
	return held
}

// release stops the holding before the releases can be sent.
func (p *Proposer) release(part int) {
	s := &p.parts[part]
	p.releases = append(p.releases, s.grant)
	s.active, s.held = false, false
	s.until = [maxVoters]time.Time{}
}

// Held returns the held parts in ascending order.
func (p *Proposer) Held(now time.Time) []int {
	var held []int
	for i := range p.parts {
		if p.holds(now, &p.parts[i]) {
			held = append(held, i)
		}
	}
	return held
}
