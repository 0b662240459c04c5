package quota

import (
	"math"
	"slices"
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
	// HandOver is how long the state that a holder hands over may be taken in: a lease's term plus its margin.
	HandOver time.Duration
}

// DefaultTerms let shares follow demand within 10 s.
func DefaultTerms() Terms {
	return Terms{Transfer: 2 * time.Second, Loan: 4 * time.Second, Margin: 200 * time.Millisecond, HandOver: 2200 * time.Millisecond}
}

const (
	// demandWindow is the time constant of the demand estimate.
	demandWindow = time.Second
	// headroom is the factor over its own demand that a holder keeps when lending, and asks for when borrowing.
	headroom = 1.2
	// mergeWindow is the time in which short pieces for one peer make one loan.
	mergeWindow = 100 * time.Millisecond
	// nearShare is the part of its rate at which a holder asks for more.
	nearShare = 0.95
	// returnBefore is the time before the end of a loan at which it is returned though it would be needed.
	returnBefore = 300 * time.Millisecond
	// maxRetryAfter bounds the time to come back that a refusal names.
	maxRetryAfter = time.Minute
)

type loan struct {
	// lender is empty for what is lent from the own share.
	lender string
	id     LoanID
	// peer and granted say to whom and when the own share was lent first.
	peer    string
	granted time.Time
	amount  Amount
	expires time.Time
	long    bool
	// inherited marks loans of a predecessor; their early return is not accepted, as it may have been before.
	inherited bool
	// returned holds the returns already taken in.
	returned map[returnKey]bool
}

type pending struct {
	peer string
	sent time.Time
}

// Account is the state of one client account at the holder of its part in one data centre. It isn't safe for
// concurrent use.
type Account struct {
	dc       string
	share    Share
	terms    Terms
	bucket   Bucket
	lent     []loan
	borrowed []loan
	pending  map[uint64]pending
	demand   recent
	refused  recent
	lastLoan LoanID
	since    time.Time
	// known is set when all loans of earlier holders are in lent.
	known bool
}

// NewAccount returns an account in data centre dc whose holder has had the part since the given time, from an unknown
// predecessor: the bucket is empty, and all that the predecessor may have lent counts as lent until the longest term
// has passed.
// Loan ids carry term, which no other holder of the part has.
func NewAccount(dc string, share Share, terms Terms, term uint64, since time.Time) *Account {
	a := &Account{dc: dc, share: share, terms: terms, lastLoan: LoanID{Term: term}, since: since}
	a.bucket.at = since
	return a
}

// loansUnknownUntil is when all long loans of an unknown predecessor have ended.
func (a *Account) loansUnknownUntil() time.Time {
	if a.known {
		return a.since
	}
	return a.since.Add(a.terms.Loan + a.terms.Margin)
}

// transfersUnknownUntil is when all transfers of an unknown predecessor have ended.
func (a *Account) transfersUnknownUntil() time.Time {
	if a.known {
		return a.since
	}
	return a.since.Add(a.terms.Transfer + a.terms.Margin)
}

// addLoan keeps list ordered by expiry.
func (a *Account) addLoan(list *[]loan, l loan) {
	*list = append(*list, l)
	sortLoans(*list)
}

func sortLoans(list []loan) {
	slices.SortStableFunc(list, func(x, y loan) int { return x.expires.Compare(y.expires) })
}

// addBorrowed joins the pieces of one loan. The whole then ends with the piece that ends first.
func (a *Account) addBorrowed(n loan) {
	for i := range a.borrowed {
		l := &a.borrowed[i]
		if l.lender != n.lender || l.id != n.id {
			continue
		}
		l.amount.Rate += n.amount.Rate
		l.amount.Burst += n.amount.Burst
		if n.expires.Before(l.expires) {
			l.expires = n.expires
		}
		sortLoans(a.borrowed)
		return
	}
	a.addLoan(&a.borrowed, n)
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
		own = Amount{}
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

// recent estimates the rate of events over a window, its time constant.
type recent struct {
	sum float64
	at  time.Time
}

func (r *recent) add(now time.Time, window time.Duration, n float64) {
	r.sum = r.rate(now, window)*window.Seconds() + n
	r.at = now
}

// rate returns events per second.
func (r *recent) rate(now time.Time, window time.Duration) float64 {
	age := max(0, now.Sub(r.at))
	return r.sum / window.Seconds() * math.Exp(-age.Seconds()/window.Seconds())
}

// Ask counts n requests as demand.
func (a *Account) Ask(now time.Time, n float64) {
	a.demand.add(now, demandWindow, n)
}

// Demand returns the recent demand in requests per second.
func (a *Account) Demand(now time.Time) float64 {
	return a.demand.rate(now, demandWindow)
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
	if g.Renewed {
		a.extend(g.Loan, p.peer, p.sent.Add(g.Term))
	}
	for _, piece := range g.Pieces {
		a.acceptPiece(now, p.sent, piece)
	}
}

func (a *Account) acceptPiece(now, sent time.Time, p Piece) {
	expires := sent.Add(p.Term)
	switch {
	case p.Lender == a.dc:
		if !a.giveBack(p, returnKey{}) {
			return
		}
	case !expires.After(now):
		return
	default:
		a.addBorrowed(loan{lender: p.Lender, id: p.Loan, amount: p.Amount, expires: expires, long: p.Long})
	}
	a.bucket.level = min(a.bucket.level+p.Tokens, a.Current().Burst)
}

func (a *Account) extend(id LoanID, lender string, expires time.Time) {
	for i, l := range a.borrowed {
		if l.id != id || l.lender != lender || l.expires.After(expires) {
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
// the rate is still needed, the return of others before they end, and more rate when demand comes near to the share.
func (a *Account) Wishes(now time.Time, peers []string) []Wish {
	a.Advance(now)
	demand := a.Demand(now)
	out := a.endings(now, demand)
	rate := a.Current().Rate
	if demand <= nearShare*rate || len(peers) == 0 {
		return out
	}
	each := (headroom*demand - rate) / float64(len(peers))
	for _, p := range peers {
		out = append(out, Wish{Peer: p, Request: Request{Rate: each}})
	}
	return out
}

// endings renews or returns the loans that end soon. A returned piece is debited here first.
func (a *Account) endings(now time.Time, demand float64) []Wish {
	var out []Wish
	rate := a.Current().Rate
	for i := range a.borrowed {
		l := &a.borrowed[i]
		left := l.expires.Sub(now)
		if l.long && headroom*demand > rate-l.amount.Rate && left > returnBefore {
			if left < a.terms.Loan/2 {
				out = append(out, Wish{Peer: l.lender, Request: Request{Renew: l.id}})
			}
			continue
		}
		if left >= a.terms.Transfer/2 {
			continue
		}
		current := a.Current().Burst
		tokens := min(l.amount.Burst, a.bucket.level*l.amount.Burst/current)
		p := a.cut(now, l, l.amount.Burst)
		p.Tokens = tokens
		a.bucket.level = max(0, a.bucket.level-tokens)
		rate = a.Current().Rate
		out = append(out, Wish{Peer: p.Lender, Request: Request{Return: &p}})
	}
	a.dropSpentLoans()
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
