package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ShardOf returns the shard of an account, out of the given number of shards, by rendezvous hashing.
func ShardOf(account string, shards int) int {
	best, bestScore := 0, uint64(0)
	h := xxhash.Sum64String(account)
	for p := range shards {
		if score := mix(h, uint64(p)); p == 0 || score > bestScore {
			best, bestScore = p, score
		}
	}
	return best
}

// mix combines h and p and applies the finalizer of SplitMix64.
func mix(h, p uint64) uint64 {
	z := h + (p+1)*0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// AccountState is the state of one account that a holder hands over to its successor.
type AccountState struct {
	Account string
	Level   float64
	Loans   []LoanState
	// TrackedFor is how long the sender has tracked the account's loans. It may not know of loans made earlier.
	TrackedFor time.Duration
}

// LoanState is one loan from this data centre's share, as handed over or recorded. Remaining is the time until it
// expires.
type LoanState struct {
	ID        LoanID
	Amount    Amount
	Remaining time.Duration
	LongTerm  bool
}

// ShardState is the state of a shard that a holder hands over to its successor.
type ShardState struct {
	Shard int
	Term  uint64
	// TrackedFor is how long the sender has tracked the loans of the shard.
	TrackedFor time.Duration
	// LoansKnown is set when Accounts contains all loans of earlier holders.
	LoansKnown bool
	Accounts   []AccountState
}

type accountLimit struct {
	limit Limit
	share Share
	added time.Time
}

type heldShard struct {
	term     uint64
	since    time.Time
	accounts map[string]*Account
	// loansKnown is set when accounts and inherited together contain all loans of earlier holders.
	loansKnown bool
	// inherited holds the loans, made by earlier holders, of accounts that have no state here yet.
	inherited map[string][]loan
	// createdAccounts counts the accounts created under this term. Each gets its own range of loan numbers, so that no
	// id repeats.
	createdAccounts uint64
}

// handOver is the state that another holder has handed over, with the time of its arrival.
type handOver struct {
	state ShardState
	at    time.Time
}

// Holder is the state of all accounts whose shards this instance holds. It isn't safe for concurrent use.
type Holder struct {
	dc      string
	timings LoanTimings
	dcs     int
	slots   int
	version uint64
	limits  map[string]accountLimit
	shards  map[int]*heldShard
	// releasedTerms holds, by shard, the term of the lease that ReleaseAll has released.
	releasedTerms map[int]uint64
	handOvers     map[int]handOver
	lastSequence  uint64
}

// NewHolder returns a holder in dc, one of dcs data centres, whose cell has the given number of slots.
func NewHolder(dc string, timings LoanTimings, dcs, slots int) *Holder {
	if dcs == 1 {
		// No other data centre can have borrowed from a predecessor, so there is no need to wait for loans to expire.
		timings = LoanTimings{}
	}
	return &Holder{
		dc: dc, timings: timings, dcs: dcs, slots: slots,
		limits: map[string]accountLimit{}, shards: map[int]*heldShard{}, releasedTerms: map[int]uint64{}, handOvers: map[int]handOver{},
	}
}

// Version returns the version of the limits in force here.
func (h *Holder) Version() uint64 { return h.version }

// Share returns the static share of an account.
func (h *Holder) Share(account string) (Share, bool) {
	e, ok := h.limits[account]
	return e.share, ok
}

// Limit returns the limit of an account.
func (h *Holder) Limit(account string) (Limit, bool) {
	e, ok := h.limits[account]
	return e.limit, ok
}

// SetLimits applies a version of the limits. A version older than the one in force is ignored. The bucket of an account
// that is new in this version starts empty.
func (h *Holder) SetLimits(now time.Time, version uint64, limits []Limit) {
	if version < h.version || (version == h.version && len(h.limits) > 0) {
		return
	}
	h.version = version
	next := make(map[string]accountLimit, len(limits))
	for _, l := range limits {
		e, ok := h.limits[l.Account]
		if !ok {
			e.added = now
		}
		e.limit, e.share = l, SplitLimit(l, h.dcs, h.slots)
		next[l.Account] = e
	}
	h.limits = next
	for _, p := range h.shards {
		for name, a := range p.accounts {
			if e, ok := next[name]; ok {
				a.SetShare(now, e.share)
			} else {
				p.inherited[name] = append(p.inherited[name], markInherited(a.lent)...)
				delete(p.accounts, name)
			}
		}
	}
}

// Lease identifies the lease of one shard.
type Lease struct {
	// Term rises with each lease of the shard.
	Term uint64
	// PreviousTerm is the term of the preceding lease, or a later term that was never granted; 0 if unknown.
	PreviousTerm uint64
}

// Observe tells the holder whether this instance has the lease of shard at time now. The caller must read now before it
// looks up the lease. Observe reports whether the shard may be used.
func (h *Holder) Observe(now time.Time, shard int, l Lease, held bool) bool {
	p, term := h.shards[shard], l.Term
	if !held || (h.releasedTerms[shard] == term && term != 0) {
		delete(h.shards, shard)
		return false
	}
	if p != nil && p.term == term {
		return true
	}
	// With a single data centre nothing is ever lent.
	p = &heldShard{term: term, since: now, accounts: map[string]*Account{}, inherited: map[string][]loan{}, loansKnown: h.dcs == 1}
	if o, ok := h.handOvers[shard]; ok && h.isPredecessor(now, o, l) {
		h.restore(p, o)
	}
	delete(h.handOvers, shard)
	h.shards[shard] = p
	return true
}

// isPredecessor reports whether the sender of o held the lease directly before l, and o is still valid.
func (h *Holder) isPredecessor(now time.Time, o handOver, l Lease) bool {
	return l.PreviousTerm != 0 && o.state.Term == l.PreviousTerm && now.Sub(o.at) < h.timings.HandOverTTL
}

func (h *Holder) restore(p *heldShard, o handOver) {
	p.since = o.at.Add(-o.state.TrackedFor)
	p.loansKnown = p.loansKnown || o.state.LoansKnown
	for _, s := range o.state.Accounts {
		e, ok := h.limits[s.Account]
		if !ok {
			p.inherit(o.at, s.Account, s.Loans)
			continue
		}
		a := h.newAccount(p, e.share, o.at.Add(-s.TrackedFor))
		a.bucket = Bucket{level: s.Level, at: o.at}
		for _, l := range s.Loans {
			a.addLoan(&a.lent, inheritedLoan(o.at, l))
		}
		a.bucket.level = min(a.bucket.level, a.Capacity().Burst)
		p.accounts[s.Account] = a
	}
}

// StoreHandOver stores the state that a holder hands over, in case this instance becomes the next holder of the shard.
// Only one lease directly follows the sender's, so the state is used at most once.
func (h *Holder) StoreHandOver(now time.Time, s ShardState) {
	if o, ok := h.handOvers[s.Shard]; ok && o.state.Term >= s.Term {
		return
	}
	h.handOvers[s.Shard] = handOver{state: s, at: now}
}

// ReleaseAll stops all use of the shards under the leases held now, and returns the states to hand over.
func (h *Holder) ReleaseAll(now time.Time) []ShardState {
	var out []ShardState
	for shard, p := range h.shards {
		h.releasedTerms[shard] = p.term
		_, unknown := h.RecoveringLoans(now, shard)
		ps := ShardState{Shard: shard, Term: p.term, TrackedFor: now.Sub(p.since), LoansKnown: !unknown}
		for name, loans := range p.inherited {
			if _, ok := h.Account(shard, name); !ok {
				ps.Accounts = append(ps.Accounts, AccountState{Account: name, Loans: lentStates(now, loans)})
			}
		}
		for name, a := range p.accounts {
			a.Advance(now)
			ps.Accounts = append(ps.Accounts, exportState(now, name, a))
		}
		out = append(out, ps)
		delete(h.shards, shard)
	}
	slices.SortFunc(out, func(a, b ShardState) int { return a.Shard - b.Shard })
	return out
}

func exportState(now time.Time, name string, a *Account) AccountState {
	s := AccountState{Account: name, TrackedFor: now.Sub(a.since)}
	s.Level = min(a.bucket.level, a.unlentShare().Burst)
	s.Loans = a.lentStates(now)
	return s
}

// Account returns the state of an account in a shard that Observe has just reported as usable.
func (h *Holder) Account(shard int, name string) (*Account, bool) {
	p, ok := h.shards[shard]
	if !ok {
		return nil, false
	}
	if a, ok := p.accounts[name]; ok {
		return a, true
	}
	e, ok := h.limits[name]
	if !ok {
		return nil, false
	}
	since := p.since
	if e.added.After(since) {
		since = e.added
	}
	a := h.newAccount(p, e.share, since)
	a.lent = p.inherited[name]
	sortLoans(a.lent)
	delete(p.inherited, name)
	p.accounts[name] = a
	return a, true
}

func (h *Holder) newAccount(p *heldShard, share Share, since time.Time) *Account {
	a := NewAccount(h.dc, share, h.timings, p.term, since)
	a.loansKnown = p.loansKnown
	a.lastLoan.Number = p.createdAccounts << 32
	p.createdAccounts++
	return a
}

// markInherited returns a copy of loans marked as inherited, so that their early return is rejected.
func markInherited(loans []loan) []loan {
	out := slices.Clone(loans)
	for i := range out {
		out[i].inherited = true
	}
	return out
}

// Term returns the term of the shard's lease, or 0 if this instance does not hold the shard.
func (h *Holder) Term(shard int) uint64 {
	if p := h.shards[shard]; p != nil {
		return p.term
	}
	return 0
}

// ForEachAccount calls f for each account that has state in a shard held here.
func (h *Holder) ForEachAccount(f func(shard int, account string, a *Account)) {
	for shard, p := range h.shards {
		for name, a := range p.accounts {
			f(shard, name, a)
		}
	}
}

// NextSequence returns a sequence number that is unique in this process.
func (h *Holder) NextSequence() uint64 {
	h.lastSequence++
	return h.lastSequence
}

// Lend responds to a request from another data centre. Unless the request returns a loan, borrower and lender must have
// the same version of the limits in force. Otherwise a borrower that skips a version could keep a loan made under it,
// which may exceed what both the previous and the next version allow.
func (h *Holder) Lend(now time.Time, shard int, name, peer string, version uint64, r Request) Grant {
	a, ok := h.Account(shard, name)
	if !ok || (version != h.version && r.Return == nil) {
		return Grant{Sequence: r.Sequence, Version: h.version}
	}
	g := a.Lend(now, peer, r)
	g.Version = h.version
	return g
}

// ApplyGrant applies a grant for an account, unless another version of the limits has come into force meanwhile.
func (h *Holder) ApplyGrant(now time.Time, shard int, name string, g Grant) {
	a, ok := h.Account(shard, name)
	if !ok || g.Version != h.version {
		return
	}
	a.ApplyGrant(now, g)
}
