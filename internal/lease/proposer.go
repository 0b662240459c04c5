package lease

import (
	"slices"
	"time"
)

// slotBits is the number of low bits of a term that hold the slot of its owner.
const slotBits = 3

// attemptHeartbeats is the number of heartbeats after which an attempt without a majority is abandoned.
const attemptHeartbeats = 2

// offerHeartbeats is the number of heartbeats for which an offered shard may be acquired without a delay.
const offerHeartbeats = 4

// Proposer acquires, renews and releases the leases of shards for one owner.
type Proposer struct {
	cfg            Config
	self           Owner
	attempt        uint64
	leaving        bool
	respondedUntil [maxVoters]time.Time
	shards         []proposedShard
	releases       []Grant
}

type proposedShard struct {
	active       bool
	grant        Grant
	started      time.Time
	held         bool
	grantedUntil [maxVoters]time.Time
	// previous holds the previous terms that the granting voters reported; previousKnown tells which of them are valid.
	previous      [maxVoters]uint64
	previousKnown [maxVoters]bool
	maxTerm       uint64
	retryAt       time.Time
	offeredUntil  time.Time
	// contending is set after an attempt without a majority while no other holder was reported. The next attempt waits
	// only for retryAt, which differs by slot, so that two slots that split the votes do not collide again.
	contending bool
	reports    [maxVoters]report
}

type report struct {
	state State
	at    time.Time
}

// Round is the message that a proposer sends to every acceptor of the cell, including the local one.
type Round struct {
	// SentAt is the time from which the grants of this round count.
	SentAt  time.Time
	Acquire []Grant
	Release []Grant
	// RequestHandOver lists the shards that their current holders are asked to hand over.
	RequestHandOver []int
}

// NewProposer returns a proposer that holds no shard.
func NewProposer(cfg Config, self Owner) *Proposer {
	return &Proposer{cfg: cfg, self: self, shards: make([]proposedShard, cfg.Slots)}
}

// Tick starts a round. local is the acceptor of the same slot.
func (p *Proposer) Tick(now time.Time, local *Acceptor) Round {
	r := Round{SentAt: now}
	for i := range p.shards {
		p.expire(now, i)
		if !p.shards[i].active && p.mayAttempt(now, i, local, &r) {
			p.startAttempt(now, i)
		}
		if p.shards[i].active {
			r.Acquire = append(r.Acquire, p.shards[i].grant)
		}
	}
	r.Release, p.releases = p.releases, nil
	return r
}

// expire abandons an attempt that found no majority in time, and a lease that has expired.
func (p *Proposer) expire(now time.Time, shard int) {
	s := &p.shards[shard]
	if !s.active || p.holds(now, s) {
		return
	}
	if s.held || now.Sub(s.started) >= attemptHeartbeats*p.cfg.Heartbeat {
		s.contending = !s.held
		p.release(shard)
		s.retryAt = now.Add(p.stagger(p.rank(shard)))
	}
}

// rank is the position of the local slot in the order in which slots take over a shard; 0 is the home slot.
func (p *Proposer) rank(shard int) int {
	return (p.self.Slot - shard + p.cfg.Slots) % p.cfg.Slots
}

// stagger returns the delay that keeps attempts of slots of different rank from overlapping.
func (p *Proposer) stagger(rank int) time.Duration {
	return time.Duration(rank*(attemptHeartbeats+1)) * p.cfg.Heartbeat
}

func (p *Proposer) mayAttempt(now time.Time, shard int, local *Acceptor, r *Round) bool {
	s := &p.shards[shard]
	if p.leaving || local.Abstaining(now) || now.Before(s.retryAt) || !p.HasQuorum(now) {
		return false
	}
	if _, other := p.ReportedHolder(now, shard); other {
		s.contending = false
		if p.rank(shard) == 0 {
			r.RequestHandOver = append(r.RequestHandOver, shard)
		}
		return false
	}
	if p.rank(shard) == 0 || s.contending || now.Before(s.offeredUntil) {
		return true
	}
	wait := p.cfg.PromiseDuration() + p.stagger(p.rank(shard)-1)
	return now.Sub(local.LastRenewed(shard)) >= wait
}

func (p *Proposer) startAttempt(now time.Time, shard int) {
	s := &p.shards[shard]
	p.attempt++
	counter := max(s.maxTerm>>slotBits+1, uint64(now.UnixMilli()))
	s.maxTerm = counter<<slotBits | uint64(p.self.Slot)
	s.grant = Grant{Shard: shard, Owner: p.self, Term: s.maxTerm, Attempt: p.attempt}
	s.active, s.held, s.started = true, false, now
	s.previous, s.previousKnown = [maxVoters]uint64{}, [maxVoters]bool{}
	s.grantedUntil = [maxVoters]time.Time{}
}

// HandleResponse processes the response of the acceptor at slot to the round that was sent at sentAt. requested is the
// grant that the round requested for the shard, or the zero Grant if there was none.
func (p *Proposer) HandleResponse(now, sentAt time.Time, slot int, requested Grant, st State) {
	if slot < 0 || slot >= p.cfg.Voters() || st.Shard < 0 || st.Shard >= len(p.shards) {
		return
	}
	s := &p.shards[st.Shard]
	s.maxTerm = max(s.maxTerm, st.MaxTerm)
	if !now.Before(s.reports[slot].at) {
		s.reports[slot] = report{state: st, at: now}
	}
	if !st.Granted || !s.active || requested != s.grant {
		return
	}
	if st.PreviousKnown {
		s.previous[slot], s.previousKnown[slot] = st.Previous, true
	}
	if until := sentAt.Add(p.cfg.Lease); until.After(s.grantedUntil[slot]) {
		s.grantedUntil[slot] = until
	}
	s.held = s.held || p.holds(now, s)
}

// NeedsWitness returns the grants of a round for which the slots alone provide no majority for another half of the
// lease. A new attempt asks only the slots in its first round, and the witness from the second.
func (p *Proposer) NeedsWitness(now time.Time, r Round) []Grant {
	var need []Grant
	for _, g := range r.Acquire {
		s := &p.shards[g.Shard]
		if s.active && s.grant == g && s.started.Before(now) &&
			p.countGranting(now.Add(p.cfg.Lease/2), s) < p.cfg.Majority() {
			need = append(need, g)
		}
	}
	return need
}

// countGranting counts the slots whose grants are valid beyond the given time.
func (p *Proposer) countGranting(at time.Time, s *proposedShard) int {
	n := 0
	for _, until := range s.grantedUntil[:p.cfg.Slots] {
		if until.After(at) {
			n++
		}
	}
	return n
}

// RecordResponse records that the voter at slot responded to a message that was sent at sentAt.
func (p *Proposer) RecordResponse(sentAt time.Time, slot int) {
	if slot < 0 || slot >= p.cfg.Voters() {
		return
	}
	if until := sentAt.Add(p.cfg.Lease); until.After(p.respondedUntil[slot]) {
		p.respondedUntil[slot] = until
	}
}

// HasQuorum reports whether a majority of the cell, including the local slot, responded within the lease duration.
func (p *Proposer) HasQuorum(now time.Time) bool {
	p.respondedUntil[p.self.Slot] = now.Add(p.cfg.Lease)
	return p.majorityUntil(p.respondedUntil).After(now)
}

// Responded reports whether the slot responded within the lease duration.
func (p *Proposer) Responded(now time.Time, slot int) bool {
	return slot == p.self.Slot || p.respondedUntil[slot].After(now)
}

// Lease returns the grant by which this owner holds the shard, and its expiry time.
func (p *Proposer) Lease(now time.Time, shard int) (Grant, time.Time, bool) {
	if shard < 0 || shard >= len(p.shards) {
		return Grant{}, time.Time{}, false
	}
	s := &p.shards[shard]
	if !p.holds(now, s) {
		return Grant{}, time.Time{}, false
	}
	return s.grant, p.majorityUntil(s.grantedUntil), true
}

// PreviousTerm returns the term of the lease immediately before the current grant of the shard, or a later term that no
// owner held; 0 if it is not known. Every lease was granted by a majority, so its term is among those that any majority
// supported before this grant.
func (p *Proposer) PreviousTerm(shard int) uint64 {
	s := &p.shards[shard]
	count, highest := 0, uint64(0)
	for voter, known := range s.previousKnown {
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

func (p *Proposer) holds(now time.Time, s *proposedShard) bool {
	return s.active && p.majorityUntil(s.grantedUntil).After(now)
}

// majorityUntil returns the latest time up to which the entries of a majority of the voters are valid.
func (p *Proposer) majorityUntil(until [maxVoters]time.Time) time.Time {
	s := until[:p.cfg.Voters()]
	slices.SortFunc(s, func(a, b time.Time) int { return b.Compare(a) })
	return s[p.cfg.Majority()-1]
}

// ReportedHolder returns the owner, other than this one, that the largest number of acceptors recently reported as the
// holder.
func (p *Proposer) ReportedHolder(now time.Time, shard int) (Owner, bool) {
	var best report
	bestCount := 0
	for _, r := range p.shards[shard].reports[:p.cfg.Voters()] {
		if !r.fresh(now, p.cfg) || r.state.Holder == p.self {
			continue
		}
		if n := p.countReports(now, shard, r.state.Holder); n > bestCount ||
			(n == bestCount && r.state.Term > best.state.Term) {
			best, bestCount = r, n
		}
	}
	return best.state.Holder, bestCount > 0
}

func (r report) fresh(now time.Time, cfg Config) bool {
	return r.state.Held && now.Sub(r.at) < 2*cfg.Heartbeat+cfg.Margin
}

func (p *Proposer) countReports(now time.Time, shard int, o Owner) int {
	n := 0
	for _, r := range p.shards[shard].reports[:p.cfg.Voters()] {
		if r.fresh(now, p.cfg) && r.state.Holder == o {
			n++
		}
	}
	return n
}

// HandleOffer processes the message that a holder released the shard in favour of this slot.
func (p *Proposer) HandleOffer(now time.Time, shard int) {
	if shard < 0 || shard >= len(p.shards) {
		return
	}
	s := &p.shards[shard]
	s.offeredUntil = now.Add(offerHeartbeats * p.cfg.Heartbeat)
	s.reports = [maxVoters]report{}
	s.retryAt = time.Time{}
}

// HandOver releases the shard if the requesting slot is its home. It reports whether a release was queued.
func (p *Proposer) HandOver(now time.Time, shard, toSlot int) bool {
	if shard < 0 || shard >= len(p.shards) || toSlot != shard || toSlot == p.self.Slot ||
		!p.holds(now, &p.shards[shard]) {
		return false
	}
	p.release(shard)
	p.shards[shard].retryAt = now.Add(p.cfg.PromiseDuration())
	return true
}

// ReleaseAll releases every shard, stops acquiring and returns the shards that were held.
func (p *Proposer) ReleaseAll(now time.Time) []int {
	p.leaving = true
	held := p.HeldShards(now)
	for i := range p.shards {
		if p.shards[i].active {
			p.release(i)
		}
	}
	return held
}

// release ends the local lease at once, before the release is sent to the acceptors.
func (p *Proposer) release(shard int) {
	s := &p.shards[shard]
	p.releases = append(p.releases, s.grant)
	s.active, s.held = false, false
	s.grantedUntil = [maxVoters]time.Time{}
}

// HeldShards returns the shards that this owner holds, in ascending order.
func (p *Proposer) HeldShards(now time.Time) []int {
	var held []int
	for i := range p.shards {
		if p.holds(now, &p.shards[i]) {
			held = append(held, i)
		}
	}
	return held
}
