package quota

import (
	"math"
	"sort"
	"time"

	"github.com/berylpond/berylpond/internal/invariant"
)

// Terms are the durations of the protocol. They are the same at all instances.
type Terms struct {
	// Transfer is how long burst stays with a borrower of tokens.
	Transfer time.Duration
	// Loan is how long rate and burst are lent without renewal.
	Loan time.Duration
	// Margin is what a lender waits beyond a loan's term, for clocks that run at different speeds.
	Margin time.Duration
}

// DefaultTerms let shares follow demand within 10 s.
func DefaultTerms() Terms {
	return Terms{Transfer: 2 * time.Second, Loan: 4 * time.Second, Margin: 200 * time.Millisecond}
}

const (
	// demandWindow is the time constant of the demand estimate.
	demandWindow = time.Second
	// headroom is the factor over its own demand that a holder keeps when lending, and asks for when borrowing.
	headroom = 1.2
	// nearShare is the part of its rate at which a holder asks for more.
	nearShare = 0.95
	// maxRetryAfter bounds the time to come back that a refusal names.
	maxRetryAfter = time.Minute
)

// Request asks a lender for tokens now, for rate over a longer term, or to renew a loan.
type Request struct {
	Sequence uint64
	Tokens   float64
	Rate     float64
	Renew    uint64
}

// Grant answers a Request.
type Grant struct {
	Sequence uint64
	Version  uint64
	Loan     uint64
	Amount   Amount
	Tokens   float64
	Term     time.Duration
	Renewed  bool
	// Level and LevelRate are the lender's after the grant; hints only.
	Level     float64
	LevelRate float64
}

type loan struct {
	id      uint64
	peer    string
	amount  Amount
	expires time.Time
	long    bool
}

type pending struct {
	peer string
	sent time.Time
}

// Account is the state of one client account at the holder of its part in one data centre. It isn't safe for
// concurrent use.
type Account struct {
	share    Share
	terms    Terms
	bucket   Bucket
	lent     []loan
	borrowed []loan
	pending  map[uint64]pending
	demand   float64
	demandAt time.Time
	nextLoan uint64
	since    time.Time
}

// NewAccount returns an account whose holder has had the part since the given time, from an unknown predecessor: the
// bucket is empty, and all that the predecessor may have lent counts as lent until the longest term has passed.
// Loan ids start from term, which no other holder shares.
func NewAccount(share Share, terms Terms, term uint64, since time.Time) *Account {
	a := &Account{share: share, terms: terms, nextLoan: term << 32, since: since}
	a.bucket.at = since
	return a
}

// loansUnknownUntil is when all long loans of an unknown predecessor have ended.
func (a *Account) loansUnknownUntil() time.Time { return a.since.Add(a.terms.Loan + a.terms.Margin) }

// transfersUnknownUntil is when all transfers of an unknown predecessor have ended.
func (a *Account) transfersUnknownUntil() time.Time {
	return a.since.Add(a.terms.Transfer + a.terms.Margin)
}

// addLoan keeps list ordered by expiry.
func (a *Account) addLoan(list *[]loan, l loan) {
	*list = append(*list, l)
	s := *list
	sort.SliceStable(s, func(i, j int) bool { return s[i].expires.Before(s[j].expires) })
}

func total(list []loan) Amount {
	var sum Amount
	for _, l := range list {
		sum.Rate += l.amount.Rate
		sum.Burst += l.amount.Burst
	}
	return sum
}

// own returns what is left of the static share.
func (a *Account) own() Amount {
	lent := total(a.lent)
	own := Amount{Rate: max(0, a.share.Holder.Rate-lent.Rate), Burst: max(0, a.share.Holder.Burst-lent.Burst)}
	if a.bucket.at.Before(a.loansUnknownUntil()) {
		own = Amount{Rate: min(own.Rate, a.share.Floor.Rate), Burst: min(own.Burst, a.share.Floor.Burst)}
	}
	if a.bucket.at.Before(a.transfersUnknownUntil()) {
		own.Burst = 0
	}
	return own
}

// Current returns the rate and burst that the bucket runs with.
func (a *Account) Current() Amount {
	own, borrowed := a.own(), total(a.borrowed)
	return Amount{Rate: own.Rate + borrowed.Rate, Burst: own.Burst + borrowed.Burst}
}

// Advance brings the state to now. Loans end at their own times, however long the process was paused.
func (a *Account) Advance(now time.Time) {
	for {
		next, ok := a.nextExpiry()
		if !ok || next.After(now) {
			break
		}
		a.bucket.Fill(next, a.Current())
		a.expire(next)
		a.bucket.level = min(a.bucket.level, a.Current().Burst)
	}
	a.bucket.Fill(now, a.Current())
	for seq, p := range a.pending {
		if now.Sub(p.sent) > a.terms.Loan {
			delete(a.pending, seq)
		}
	}
	invariant.Check(a.bucket.level <= a.Current().Burst+tolerance, "quota.level_within_burst")
}

// nextExpiry returns the next time at which the amounts change by themselves.
func (a *Account) nextExpiry() (next time.Time, ok bool) {
	earliest := func(t time.Time) {
		if !ok || t.Before(next) {
			next, ok = t, true
		}
	}
	if len(a.lent) > 0 {
		earliest(a.lent[0].expires)
	}
	if len(a.borrowed) > 0 {
		earliest(a.borrowed[0].expires)
	}
	for _, t := range []time.Time{a.transfersUnknownUntil(), a.loansUnknownUntil()} {
		if t.After(a.bucket.at) {
			earliest(t)
		}
	}
	return next, ok
}

func (a *Account) expire(at time.Time) {
	for len(a.lent) > 0 && !a.lent[0].expires.After(at) {
		a.lent = a.lent[1:]
	}
	for len(a.borrowed) > 0 && !a.borrowed[0].expires.After(at) {
		a.borrowed = a.borrowed[1:]
	}
}

// Ask counts n requests as demand.
func (a *Account) Ask(now time.Time, n float64) {
	a.demand = a.Demand(now)*demandWindow.Seconds() + n
	a.demandAt = now
}

// Demand returns the recent demand in requests per second.
func (a *Account) Demand(now time.Time) float64 {
	age := max(0, now.Sub(a.demandAt))
	return a.demand / demandWindow.Seconds() * math.Exp(-age.Seconds()/demandWindow.Seconds())
}

// Take spends n tokens. When there are too few it returns how many are short and when they will be there.
func (a *Account) Take(now time.Time, n float64) (ok bool, short float64, retryAfter time.Duration) {
	a.Advance(now)
	if a.bucket.Spend(n) {
		return true, 0, 0
	}
	short = n - a.bucket.level
	return false, short, wait(short, a.Current().Rate)
}

func wait(tokens, rate float64) time.Duration {
	if rate <= 0 || tokens/rate > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(time.Millisecond, time.Duration(tokens/rate*float64(time.Second)))
}

// Lend debits what it grants before the grant can be sent. The request must have been received by now.
func (a *Account) Lend(now time.Time, peer string, r Request) Grant {
	a.Advance(now)
	g := Grant{Sequence: r.Sequence}
	switch {
	case r.Renew != 0:
		g.Renewed = a.renew(now, r.Renew)
		g.Loan = r.Renew
		g.Term = a.terms.Loan
	case r.Tokens > 0:
		a.lendTokens(now, peer, r.Tokens, &g)
	case r.Rate > 0:
		a.lendRate(now, peer, r.Rate, &g)
	}
	g.Level, g.LevelRate = a.bucket.level, a.Current().Rate
	return g
}

func (a *Account) renew(now time.Time, id uint64) bool {
	if a.Demand(now) > a.own().Rate {
		return false
	}
	for i, l := range a.lent {
		if l.id != id || !l.long {
			continue
		}
		a.lent = append(a.lent[:i:i], a.lent[i+1:]...)
		l.expires = now.Add(a.terms.Loan + a.terms.Margin)
		a.addLoan(&a.lent, l)
		return true
	}
	return false
}

// lendTokens gives tokens together with as much burst, floor included, for a short term. Without the burst the lender
// would refill while the tokens are on their way, and there would be more than the account's burst.
func (a *Account) lendTokens(now time.Time, peer string, want float64, g *Grant) {
	give := min(want, a.bucket.level, a.own().Burst)
	if give <= tolerance {
		return
	}
	g.Amount.Burst, g.Tokens, g.Term = give, give, a.terms.Transfer
	a.bucket.level -= give
	a.grant(now, peer, false, g)
}

// lendRate gives spare rate and the burst that goes with it.
func (a *Account) lendRate(now time.Time, peer string, want float64, g *Grant) {
	if now.Before(a.loansUnknownUntil()) {
		return
	}
	var long Amount
	for _, l := range a.lent {
		if l.long {
			long.Rate += l.amount.Rate
			long.Burst += l.amount.Burst
		}
	}
	lendable := Amount{Rate: a.share.Holder.Rate - a.share.Floor.Rate, Burst: a.share.Holder.Burst - a.share.Floor.Burst}
	spare := min(lendable.Rate-long.Rate, a.own().Rate-headroom*a.Demand(now))
	rate := min(want, spare)
	if rate <= floorFraction*min(want, lendable.Rate) {
		return
	}
	burst := max(0, min(lendable.Burst*rate/lendable.Rate, lendable.Burst-long.Burst, a.own().Burst))
	g.Amount, g.Term = Amount{Rate: rate, Burst: burst}, a.terms.Loan
	g.Tokens = min(burst, max(0, a.bucket.level-(a.Current().Burst-burst)))
	a.bucket.level -= g.Tokens
	a.grant(now, peer, true, g)
	invariant.Check(long.Rate+rate <= lendable.Rate+tolerance && long.Burst+burst <= lendable.Burst+tolerance, "quota.lent_within_lendable")
}

func (a *Account) grant(now time.Time, peer string, long bool, g *Grant) {
	a.nextLoan++
	g.Loan = a.nextLoan
	a.addLoan(&a.lent, loan{id: g.Loan, peer: peer, amount: g.Amount, expires: now.Add(g.Term + a.terms.Margin), long: long})
	a.bucket.level = max(0, min(a.bucket.level, a.Current().Burst))
}

// Sent records that a request with this sequence number goes to peer. Sequence numbers never repeat in a process.
func (a *Account) Sent(now time.Time, peer string, sequence uint64) {
	if a.pending == nil {
		a.pending = map[uint64]pending{}
	}
	a.pending[sequence] = pending{peer: peer, sent: now}
}

// Accept takes in the first answer to a request; others are dropped. A loan's term counts from the sending of the
// request, so that it ends here before it ends at the lender.
func (a *Account) Accept(now time.Time, g Grant) {
	a.Advance(now)
	p, ok := a.pending[g.Sequence]
	if !ok {
		return
	}
	delete(a.pending, g.Sequence)
	expires := p.sent.Add(min(g.Term, a.terms.Loan))
	if g.Loan == 0 || !expires.After(now) {
		return
	}
	if g.Renewed {
		a.extend(g.Loan, p.peer, expires)
		return
	}
	if g.Amount.Burst <= 0 && g.Amount.Rate <= 0 {
		return
	}
	a.addLoan(&a.borrowed, loan{id: g.Loan, peer: p.peer, amount: g.Amount, expires: expires, long: g.Amount.Rate > 0})
	a.bucket.level = min(a.bucket.level+g.Tokens, a.Current().Burst)
}

func (a *Account) extend(id uint64, peer string, expires time.Time) {
	for i, l := range a.borrowed {
		if l.id != id || l.peer != peer || l.expires.After(expires) {
			continue
		}
		a.borrowed = append(a.borrowed[:i:i], a.borrowed[i+1:]...)
		l.expires = expires
		a.addLoan(&a.borrowed, l)
		return
	}
}

// Wish is a request that demand calls for.
type Wish struct {
	Peer    string
	Request Request
}

// Wishes returns what to ask of peers so that the share follows demand: renewals of loans past half their term while
// the rate is still needed, and more rate when demand comes near to the share.
func (a *Account) Wishes(now time.Time, peers []string) []Wish {
	a.Advance(now)
	var out []Wish
	demand, rate := a.Demand(now), a.Current().Rate
	for _, l := range a.borrowed {
		needed := headroom*demand > rate-l.amount.Rate
		if l.long && needed && l.expires.Sub(now) < a.terms.Loan/2 {
			out = append(out, Wish{Peer: l.peer, Request: Request{Renew: l.id}})
		}
	}
	if demand <= nearShare*rate || len(peers) == 0 {
		return out
	}
	each := (headroom*demand - rate) / float64(len(peers))
	for _, p := range peers {
		out = append(out, Wish{Peer: p, Request: Request{Rate: each}})
	}
	return out
}

// SetShare takes a new version of the limit into force. Lowering drops what was borrowed under the old one.
func (a *Account) SetShare(now time.Time, s Share) {
	a.Advance(now)
	if s.Holder.Rate < a.share.Holder.Rate || s.Holder.Burst < a.share.Holder.Burst {
		a.borrowed, a.pending = nil, nil
	}
	a.share = s
	a.bucket.level = min(a.bucket.level, a.Current().Burst)
}

// Level returns the tokens at the last Advance.
func (a *Account) Level() float64 { return a.bucket.level }

// Lent returns what is lent out, and Borrowed what is borrowed, at the last Advance.
func (a *Account) Lent() Amount { return total(a.lent) }

// Borrowed returns what is borrowed at the last Advance.
func (a *Account) Borrowed() Amount { return total(a.borrowed) }
