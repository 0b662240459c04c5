package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PartOf returns the part of an account by rendezvous hashing over parts.
func PartOf(account string, parts int) int {
	best, bestScore := 0, uint64(0)
	h := xxhash.Sum64String(account)
	for p := range parts {
		if score := mix(h, uint64(p)); p == 0 || score > bestScore {
			best, bestScore = p, score
		}
	}
	return best
}

// mix is the finalizer of SplitMix64 over the two values.
func mix(h, p uint64) uint64 {
	z := h + (p+1)*0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// State is what a holder hands over of one account.
type State struct {
	Account string
	Level   float64
	Lent    []LentState
	// Since is how long the sender's view of its predecessor's loans reaches back.
	Since time.Duration
}

// LentState is one loan handed over.
type LentState struct {
	Loan   LoanID
	Amount Amount
	Left   time.Duration
	Long   bool
}

// PartState is what a holder hands over of a part.
type PartState struct {
	Part  int
	Term  uint64
	Since time.Duration
	// Known is set when the states hold all loans of earlier holders.
	Known    bool
	Accounts []State
}

type limitEntry struct {
	limit Limit
	share Share
	added time.Time
}

type heldPart struct {
	term     uint64
	since    time.Time
	accounts map[string]*Account
	// known is set when all loans of earlier holders are in accounts or inherited.
	known bool
	// inherited holds the running loans of accounts that have no state here yet.
	inherited map[string][]loan
	// made counts the accounts that got state under this term, so that the ids of their loans differ.
	made uint64
}

type offer struct {
	state PartState
	at    time.Time
}

// Holder is the state of all accounts whose parts this instance holds. It isn't safe for concurrent use.
type Holder struct {
	dc      string
	terms   Terms
	dcs     int
	slots   int
	version uint64
	limits  map[string]limitEntry
	parts   map[int]*heldPart
	left    map[int]uint64
	offers  map[int]offer
	nextSeq uint64
}

// NewHolder returns a holder in dc, one of dcs data centres, whose cell has the given number of slots.
func NewHolder(dc string, terms Terms, dcs, slots int) *Holder {
	if dcs == 1 {
		// No other data centre can have borrowed from a predecessor, so there is nothing to wait for.
		terms = Terms{}
	}
	return &Holder{
		dc: dc, terms: terms, dcs: dcs, slots: slots,
		limits: map[string]limitEntry{}, parts: map[int]*heldPart{}, left: map[int]uint64{}, offers: map[int]offer{},
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

// SetLimits takes a version of the limits into force. An older version than the one in force is dropped. An account
// that is new in this version starts empty.
func (h *Holder) SetLimits(now time.Time, version uint64, limits []Limit) {
	if version < h.version || (version == h.version && len(h.limits) > 0) {
		return
	}
	h.version = version
	next := make(map[string]limitEntry, len(limits))
	for _, l := range limits {
		e, ok := h.limits[l.Account]
		if !ok {
			e.added = now
		}
		e.limit, e.share = l, Split(l, h.dcs, h.slots)
		next[l.Account] = e
	}
	h.limits = next
	for _, p := range h.parts {
		for name, a := range p.accounts {
			if e, ok := next[name]; ok {
				a.SetShare(now, e.share)
			} else {
				p.inherited[name] = append(p.inherited[name], inheritable(a.lent)...)
				delete(p.accounts, name)
			}
		}
	}
}

// Lease is the holding of one part.
type Lease struct {
	// Term rises with each holding of the part.
	Term uint64
	// Previous is the term of the holding right before, or a later one that nobody held; 0 when it isn't known.
	Previous uint64
}

// Observe tells the holder whether it has the lease of part as of now. The lease must have been looked up after now
// was read. It reports whether the part may be used.
func (h *Holder) Observe(now time.Time, part int, l Lease, held bool) bool {
	p, term := h.parts[part], l.Term
	if !held || (h.left[part] == term && term != 0) {
		delete(h.parts, part)
		return false
	}
	if p != nil && p.term == term {
		return true
	}
	// Where there is one data centre nothing is ever lent.
	p = &heldPart{term: term, since: now, accounts: map[string]*Account{}, inherited: map[string][]loan{}, known: h.dcs == 1}
	if o, ok := h.offers[part]; ok && h.follows(now, o, l) {
		h.restore(p, o)
	}
	delete(h.offers, part)
	h.parts[part] = p
	return true
}

// follows reports whether the sender of an offer was the last holder before l.
func (h *Holder) follows(now time.Time, o offer, l Lease) bool {
	return l.Previous != 0 && o.state.Term == l.Previous && now.Sub(o.at) < h.terms.HandOver
}

func (h *Holder) restore(p *heldPart, o offer) {
	p.since = o.at.Add(-o.state.Since)
	p.known = p.known || o.state.Known
	for _, s := range o.state.Accounts {
		e, ok := h.limits[s.Account]
		if !ok {
			p.inherit(o.at, s.Account, s.Lent)
			continue
		}
		a := h.newAccount(p, e.share, o.at.Add(-s.Since))
		a.bucket = Bucket{level: s.Level, at: o.at}
		for _, l := range s.Lent {
			a.addLoan(&a.lent, inheritedLoan(o.at, l))
		}
		a.bucket.level = min(a.bucket.level, a.Current().Burst)
		p.accounts[s.Account] = a
	}
}

// Offer keeps a predecessor's state for the case that this instance becomes the next holder of the part. Only one
// holder has that predecessor, so the state is used once at most.
func (h *Holder) Offer(now time.Time, s PartState) {
	if o, ok := h.offers[s.Part]; ok && o.state.Term >= s.Term {
		return
	}
	h.offers[s.Part] = offer{state: s, at: now}
}

// Leave stops all use of the parts held under their present terms, and returns the states to hand over.
func (h *Holder) Leave(now time.Time) []PartState {
	var out []PartState
	for part, p := range h.parts {
		h.left[part] = p.term
		_, unknown := h.Learning(now, part)
		ps := PartState{Part: part, Term: p.term, Since: now.Sub(p.since), Known: !unknown}
		for name, loans := range p.inherited {
			if _, ok := h.Account(part, name); !ok {
				ps.Accounts = append(ps.Accounts, State{Account: name, Lent: lentStates(now, loans)})
			}
		}
		for name, a := range p.accounts {
			a.Advance(now)
			ps.Accounts = append(ps.Accounts, exportState(now, name, a))
		}
		out = append(out, ps)
		delete(h.parts, part)
	}
	slices.SortFunc(out, func(a, b PartState) int { return a.Part - b.Part })
	return out
}

func exportState(now time.Time, name string, a *Account) State {
	s := State{Account: name, Since: now.Sub(a.since)}
	s.Level = min(a.bucket.level, a.own().Burst)
	s.Lent = a.lentStates(now)
	return s
}

// Account returns the state of an account in a part that Observe has just reported usable.
func (h *Holder) Account(part int, name string) (*Account, bool) {
	p, ok := h.parts[part]
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

func (h *Holder) newAccount(p *heldPart, share Share, since time.Time) *Account {
	a := NewAccount(h.dc, share, h.terms, p.term, since)
	a.known = p.known
	a.lastLoan.Number = p.made << 32
	p.made++
	return a
}

// inheritable returns loans whose early return is no longer accepted.
func inheritable(loans []loan) []loan {
	out := slices.Clone(loans)
	for i := range out {
		out[i].inherited = true
	}
	return out
}

// Term returns the term under which the part is held.
func (h *Holder) Term(part int) uint64 {
	if p := h.parts[part]; p != nil {
		return p.term
	}
	return 0
}

// Held calls f for each account with state in a part held here.
func (h *Holder) Held(f func(part int, account string, a *Account)) {
	for part, p := range h.parts {
		for name, a := range p.accounts {
			f(part, name, a)
		}
	}
}

// NextSequence returns a sequence number not used before by this process.
func (h *Holder) NextSequence() uint64 {
	h.nextSeq++
	return h.nextSeq
}

// Lend answers a request of another data centre. Unless the request only gives back, both must have the same version
// of the limits in force: a borrower that skips a version would keep what it borrowed under that one, though it may
// be more than both the version before and the one after allow.
func (h *Holder) Lend(now time.Time, part int, name, peer string, version uint64, r Request) Grant {
	a, ok := h.Account(part, name)
	if !ok || (version != h.version && r.Return == nil) {
		return Grant{Sequence: r.Sequence, Version: h.version}
	}
	g := a.Lend(now, peer, r)
	g.Version = h.version
	return g
}

// Accept takes in a grant for an account, unless another version is in force here by now.
func (h *Holder) Accept(now time.Time, part int, name string, g Grant) {
	a, ok := h.Account(part, name)
	if !ok || g.Version != h.version {
		return
	}
	a.Accept(now, g)
}
