package quota

import (
	"math"
	"slices"
	"time"

	"github.com/berylpond/berylpond/internal/invariant"
)

// LoanTimings are the durations of the lending protocol. They must be the same at all instances.
type LoanTimings struct {
	// ShortLoan is the duration of a short-term loan, which moves burst together with the tokens in it.
	ShortLoan time.Duration
	// LongLoan is the duration of a long-term loan of rate and burst, unless renewed.
	LongLoan time.Duration
	// ClockMargin is added to a loan's duration at the lender, to allow for clock drift.
	ClockMargin time.Duration
	// HandOverTTL is how long the state handed over by a holder stays valid: the duration of a lease plus its margin.
	HandOverTTL time.Duration
}

// DefaultLoanTimings returns durations with which shares follow a change in demand within 10 s.
func DefaultLoanTimings() LoanTimings {
	return LoanTimings{ShortLoan: 2 * time.Second, LongLoan: 4 * time.Second, ClockMargin: 200 * time.Millisecond, HandOverTTL: 2200 * time.Millisecond}
}

const (
	// demandWindow is the time constant of the demand estimate.
	demandWindow = time.Second
	// headroom is the multiple of its own demand that a holder keeps when lending and aims for when borrowing.
	headroom = 1.2
	// mergeWindow is the time within which short-term pieces lent to one peer are merged into one loan.
	mergeWindow = 100 * time.Millisecond
	// borrowThreshold is the fraction of its rate above which demand makes a holder borrow more.
	borrowThreshold = 0.95
	// minLoanRemaining is the remaining duration below which a loan is returned even if it is still needed.
	minLoanRemaining = 300 * time.Millisecond
	// maxRetryAfter bounds the retry delay given with a refusal.
	maxRetryAfter = time.Minute
)

type loan struct {
	// lender is the data centre whose share was lent. It is empty for a loan from this data centre's share.
	lender string
	id     LoanID
	// peer is the borrower of a loan from this data centre's share, and granted the time of its first piece.
	peer    string
	granted time.Time
	amount  Amount
	expires time.Time
	long    bool
	// inherited marks a loan made by an earlier holder, or before the account was last removed. Its early return is
	// rejected, since it may have been accepted already.
	inherited bool
	// returned holds the keys of accepted returns, for deduplication.
	returned map[returnKey]bool
}

type pendingRequest struct {
	peer string
	sent time.Time
}

// Account is the state of one client account at the holder of its shard in one data centre. It isn't safe for
// concurrent use.
type Account struct {
	dc       string
	share    Share
	timings  LoanTimings
	bucket   Bucket
	lent     []loan
	borrowed []loan
	pending  map[uint64]pendingRequest
	demand   rateEstimate
	refused  rateEstimate
	lastLoan LoanID
	since    time.Time
	// loansKnown is set when lent contains all loans of earlier holders.
	loansKnown bool
}

// NewAccount returns an account in data centre dc whose holder acquired the shard at the given time from an unknown
// predecessor: the bucket is empty, and everything that the predecessor may have lent counts as lent until the longest
// loan duration has passed. Loan ids contain the lease's term, which makes them unique among all holders of the shard.
func NewAccount(dc string, share Share, timings LoanTimings, term uint64, since time.Time) *Account {
	a := &Account{dc: dc, share: share, timings: timings, lastLoan: LoanID{Term: term}, since: since}
	a.bucket.at = since
	return a
}

// loansUnknownUntil returns the time by which all long-term loans of an unknown predecessor have expired.
func (a *Account) loansUnknownUntil() time.Time {
	if a.loansKnown {
		return a.since
	}
	return a.since.Add(a.timings.LongLoan + a.timings.ClockMargin)
}

// shortLoansUnknownUntil returns the time by which all short-term loans of an unknown predecessor have expired.
func (a *Account) shortLoansUnknownUntil() time.Time {
	if a.loansKnown {
		return a.since
	}
	return a.since.Add(a.timings.ShortLoan + a.timings.ClockMargin)
}

// addLoan inserts l into list, which stays ordered by expiry.
func (a *Account) addLoan(list *[]loan, l loan) {
	*list = append(*list, l)
	sortLoans(*list)
}

func sortLoans(list []loan) {
	slices.SortStableFunc(list, func(x, y loan) int { return x.expires.Compare(y.expires) })
}

// addBorrowed merges the pieces of one loan. The result expires with the piece that expires first.
func (a *Account) addBorrowed(added loan) {
	for i := range a.borrowed {
		l := &a.borrowed[i]
		if l.lender != added.lender || l.id != added.id {
			continue
		}
		l.amount.Rate += added.amount.Rate
		l.amount.Burst += added.amount.Burst
		if added.expires.Before(l.expires) {
			l.expires = added.expires
		}
		sortLoans(a.borrowed)
		return
	}
	a.addLoan(&a.borrowed, added)
}

func sumAmounts(list []loan) Amount {
	var sum Amount
	for _, l := range list {
		sum.Rate += l.amount.Rate
		sum.Burst += l.amount.Burst
	}
	return sum
}

// unlentShare returns the part of the static share that is not lent.
func (a *Account) unlentShare() Amount {
	lent := sumAmounts(a.lent)
	own := Amount{Rate: max(0, a.share.Holder.Rate-lent.Rate), Burst: max(0, a.share.Holder.Burst-lent.Burst)}
	if a.bucket.at.Before(a.loansUnknownUntil()) {
		own = Amount{Rate: min(own.Rate, a.share.Floor.Rate), Burst: min(own.Burst, a.share.Floor.Burst)}
	}
	if a.bucket.at.Before(a.shortLoansUnknownUntil()) {
		own = Amount{}
	}
	return own
}

// Capacity returns the bucket's rate and burst: the share that is not lent, and everything borrowed.
func (a *Account) Capacity() Amount {
	own, borrowed := a.unlentShare(), sumAmounts(a.borrowed)
	return Amount{Rate: own.Rate + borrowed.Rate, Burst: own.Burst + borrowed.Burst}
}

// Advance moves the state forward to now. Each loan expires at its own time, even if the process was paused beyond it.
func (a *Account) Advance(now time.Time) {
	for {
		next, ok := a.nextExpiry()
		if !ok || next.After(now) {
			break
		}
		a.bucket.Fill(next, a.Capacity())
		a.expireLoans(next)
		a.bucket.level = min(a.bucket.level, a.Capacity().Burst)
	}
	a.bucket.Fill(now, a.Capacity())
	for seq, p := range a.pending {
		if now.Sub(p.sent) > a.timings.LongLoan {
			delete(a.pending, seq)
		}
	}
	invariant.Check(a.bucket.level <= a.Capacity().Burst+tolerance, "quota.level_within_burst")
}

// nextExpiry returns the next time at which the passing of time alone changes the amounts.
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
	for _, t := range []time.Time{a.shortLoansUnknownUntil(), a.loansUnknownUntil()} {
		if t.After(a.bucket.at) {
			earliest(t)
		}
	}
	return next, ok
}

func (a *Account) expireLoans(at time.Time) {
	for len(a.lent) > 0 && !a.lent[0].expires.After(at) {
		a.lent = a.lent[1:]
	}
	for len(a.borrowed) > 0 && !a.borrowed[0].expires.After(at) {
		a.borrowed = a.borrowed[1:]
	}
}

// rateEstimate is an exponentially decaying estimate of the rate of events. The window is its time constant.
type rateEstimate struct {
	sum float64
	at  time.Time
}

func (r *rateEstimate) add(now time.Time, window time.Duration, n float64) {
	r.sum = r.rate(now, window)*window.Seconds() + n
	r.at = now
}

// rate returns events per second.
func (r *rateEstimate) rate(now time.Time, window time.Duration) float64 {
	age := max(0, now.Sub(r.at))
	return r.sum / window.Seconds() * math.Exp(-age.Seconds()/window.Seconds())
}

// RecordDemand records n requests as demand.
func (a *Account) RecordDemand(now time.Time, n float64) {
	a.demand.add(now, demandWindow, n)
}

// Demand returns the estimated demand in requests per second.
func (a *Account) Demand(now time.Time) float64 {
	return a.demand.rate(now, demandWindow)
}

// Take spends n tokens. If the bucket has fewer, it returns how many are missing and the time until they have accrued.
func (a *Account) Take(now time.Time, n float64) (ok bool, short float64, retryAfter time.Duration) {
	a.Advance(now)
	if a.bucket.Spend(n) {
		return true, 0, 0
	}
	short = n - a.bucket.level
	return false, short, accrualTime(short, a.Capacity().Rate)
}

func accrualTime(tokens, rate float64) time.Duration {
	if rate <= 0 || tokens/rate > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(time.Millisecond, time.Duration(tokens/rate*float64(time.Second)))
}

// RecordSent records that a request with this sequence number is sent to peer. Sequence numbers are unique in a
// process.
func (a *Account) RecordSent(now time.Time, peer string, sequence uint64) {
	if a.pending == nil {
		a.pending = map[uint64]pendingRequest{}
	}
	a.pending[sequence] = pendingRequest{peer: peer, sent: now}
}

// ApplyGrant applies the first grant for a request and drops any later one. A loan's duration starts when the
// request is sent, so that it expires at the borrower before it expires at the lender.
func (a *Account) ApplyGrant(now time.Time, g Grant) {
	a.Advance(now)
	p, ok := a.pending[g.Sequence]
	if !ok {
		return
	}
	delete(a.pending, g.Sequence)
	if g.Renewed {
		a.extendLoan(g.LoanID, p.peer, p.sent.Add(g.Duration))
	}
	for _, piece := range g.Pieces {
		a.acceptPiece(now, p.sent, piece)
	}
}

func (a *Account) acceptPiece(now, sent time.Time, p Piece) {
	expires := sent.Add(p.Duration)
	switch {
	case p.Lender == a.dc:
		if !a.acceptReturn(p, returnKey{}) {
			return
		}
	case !expires.After(now):
		return
	default:
		a.addBorrowed(loan{lender: p.Lender, id: p.LoanID, amount: p.Amount, expires: expires, long: p.LongTerm})
	}
	a.bucket.level = min(a.bucket.level+p.Tokens, a.Capacity().Burst)
}

func (a *Account) extendLoan(id LoanID, lender string, expires time.Time) {
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

// PeerRequest is a request to another data centre that follows from the current demand.
type PeerRequest struct {
	Peer    string
	Request Request
}

// PeerRequests returns the requests to send to peers so that the share follows demand: the renewal of loans past half
// their duration whose rate is still needed, the return of other loans before they expire, and the loan of more rate
// when demand exceeds borrowThreshold of the current rate.
func (a *Account) PeerRequests(now time.Time, peers []string) []PeerRequest {
	a.Advance(now)
	demand := a.Demand(now)
	out := a.renewalsAndReturns(now, demand)
	rate := a.Capacity().Rate
	if demand <= borrowThreshold*rate || len(peers) == 0 {
		return out
	}
	ratePerPeer := (headroom*demand - rate) / float64(len(peers))
	for _, p := range peers {
		out = append(out, PeerRequest{Peer: p, Request: Request{Rate: ratePerPeer}})
	}
	return out
}

// renewalsAndReturns returns requests to renew or return the loans that expire soon. It debits a returned piece at
// once.
func (a *Account) renewalsAndReturns(now time.Time, demand float64) []PeerRequest {
	var out []PeerRequest
	rate := a.Capacity().Rate
	for i := range a.borrowed {
		l := &a.borrowed[i]
		left := l.expires.Sub(now)
		if l.long && headroom*demand > rate-l.amount.Rate && left > minLoanRemaining {
			if left < a.timings.LongLoan/2 {
				out = append(out, PeerRequest{Peer: l.lender, Request: Request{Renew: l.id}})
			}
			continue
		}
		if left >= a.timings.ShortLoan/2 {
			continue
		}
		current := a.Capacity().Burst
		tokens := min(l.amount.Burst, a.bucket.level*l.amount.Burst/current)
		p := a.splitLoan(now, l, l.amount.Burst)
		p.Tokens = tokens
		a.bucket.level = max(0, a.bucket.level-tokens)
		rate = a.Capacity().Rate
		out = append(out, PeerRequest{Peer: p.Lender, Request: Request{Return: &p}})
	}
	a.dropEmptyLoans()
	return out
}

// SetShare applies the share of a new version of the limit. If that is lower, loans borrowed under the old version are
// dropped.
func (a *Account) SetShare(now time.Time, s Share) {
	a.Advance(now)
	if s.Holder.Rate < a.share.Holder.Rate || s.Holder.Burst < a.share.Holder.Burst {
		a.borrowed, a.pending = nil, nil
	}
	a.share = s
	a.bucket.level = min(a.bucket.level, a.Capacity().Burst)
}

// Level returns the tokens at the last Advance.
func (a *Account) Level() float64 { return a.bucket.level }

// Lent returns the sum of all loans from this data centre's share at the last Advance.
func (a *Account) Lent() Amount { return sumAmounts(a.lent) }

// Borrowed returns the sum of all loans from other data centres at the last Advance.
func (a *Account) Borrowed() Amount { return sumAmounts(a.borrowed) }
