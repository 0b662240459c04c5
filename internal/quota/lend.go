package quota

import (
	"slices"
	"time"

	"github.com/berylpond/berylpond/internal/invariant"
)

// LoanID identifies a loan among all that the holders of an account's shard in one data centre ever make.
type LoanID struct {
	// Term is that of the lender's lease.
	Term   uint64
	Number uint64
}

// Request asks a lender for tokens (a short-term loan), for rate (a long-term loan) or to renew a loan, or returns a
// loan.
type Request struct {
	// Sender and Sequence identify the request. Sender identifies one run of one process.
	Sender   string
	Sequence uint64
	Tokens   float64
	Rate     float64
	Renew    LoanID
	Return   *Piece
}

// Piece is an amount of rate and burst that moves from one data centre to another, together with the tokens in it.
type Piece struct {
	// Lender is the data centre whose share the piece belongs to, and LoanID the id of the loan there.
	Lender string
	LoanID LoanID
	Amount Amount
	Tokens float64
	// Duration is the duration of the loan, starting when the request for the piece is sent.
	Duration time.Duration
	// LongTerm marks long-term loans, which can be renewed.
	LongTerm bool
}

// Grant is the response to a Request.
type Grant struct {
	Sequence uint64
	Version  uint64
	Pieces   []Piece
	// Renewed is set when the loan in Request.Renew was extended by Duration.
	Renewed  bool
	LoanID   LoanID
	Duration time.Duration
	// Level and LevelRate are the lender's bucket level and rate after the grant. They are hints only.
	Level     float64
	LevelRate float64
}

// Tokens returns the tokens in all pieces.
func (g Grant) Tokens() float64 {
	var n float64
	for _, p := range g.Pieces {
		n += p.Tokens
	}
	return n
}

type returnKey struct {
	sender   string
	sequence uint64
}

// Lend responds to a request, and debits what it grants before returning. The request must have been received before
// now.
func (a *Account) Lend(now time.Time, peer string, r Request) Grant {
	a.Advance(now)
	g := Grant{Sequence: r.Sequence}
	switch {
	case r.Return != nil:
		if a.acceptReturn(*r.Return, returnKey{r.Sender, r.Sequence}) {
			a.bucket.level = min(a.bucket.level+r.Return.Tokens, a.Capacity().Burst)
		}
	case r.Renew != (LoanID{}):
		g.Renewed = a.renew(now, r.Renew)
		g.LoanID, g.Duration = r.Renew, a.timings.LongLoan
	case r.Tokens > 0:
		g.Pieces = a.lendTokens(now, peer, r.Tokens)
	case r.Rate > 0:
		g.Pieces = a.lendRate(now, peer, r.Rate)
	}
	a.bucket.level = max(0, min(a.bucket.level, a.Capacity().Burst))
	g.Level, g.LevelRate = a.bucket.level, a.Capacity().Rate
	return g
}

// acceptReturn subtracts a returned piece from its loan. A return with a nonzero key is accepted only once. It reports
// false if the loan has expired here; the returned tokens are then void, since their burst is in use again already.
func (a *Account) acceptReturn(p Piece, key returnKey) bool {
	for i := range a.lent {
		l := &a.lent[i]
		if l.id != p.LoanID || l.inherited || l.returned[key] {
			continue
		}
		if !invariant.Check(p.Amount.Burst <= l.amount.Burst+tolerance, "quota.returned_within_lent") {
			return false
		}
		if key != (returnKey{}) {
			if l.returned == nil {
				l.returned = map[returnKey]bool{}
			}
			l.returned[key] = true
		}
		l.amount.Rate = max(0, l.amount.Rate-p.Amount.Rate)
		l.amount.Burst = max(0, l.amount.Burst-p.Amount.Burst)
		if l.amount.Burst <= tolerance {
			a.lent = append(a.lent[:i:i], a.lent[i+1:]...)
		}
		return true
	}
	return false
}

func (a *Account) renew(now time.Time, id LoanID) bool {
	if a.Demand(now) > a.unlentShare().Rate {
		return false
	}
	for i, l := range a.lent {
		if l.id != id || !l.long {
			continue
		}
		a.lent = append(a.lent[:i:i], a.lent[i+1:]...)
		l.expires = now.Add(a.timings.LongLoan + a.timings.ClockMargin)
		a.addLoan(&a.lent, l)
		return true
	}
	return false
}

// lendTokens lends tokens together with the same amount of burst, floor included, and the rate that fills it, as a
// short-term loan. Without the burst, the lender would refill while the tokens are in transit, and their sum would
// exceed the account's burst. Without the rate, the lender would have no room for the tokens that accrue. Loans from
// the peer itself are used first, then loans from others, then this data centre's share.
func (a *Account) lendTokens(now time.Time, peer string, want float64) []Piece {
	var out []Piece
	left := min(want, a.bucket.level)
	for _, fromPeer := range []bool{true, false} {
		for i := range a.borrowed {
			if l := &a.borrowed[i]; (l.lender == peer) == fromPeer {
				out, left = appendPiece(out, left, a.splitLoan(now, l, left))
			}
		}
	}
	a.dropEmptyLoans()
	own := a.unlentShare()
	if now.Before(a.loansUnknownUntil()) {
		// A record of this loan would replace those of an earlier holder's loans, which aren't known yet.
		return debitTokens(a, out)
	}
	if lentBurst := min(left, own.Burst); lentBurst > tolerance {
		p := Piece{Amount: scaleToBurst(own, lentBurst), Tokens: lentBurst, Duration: a.timings.ShortLoan}
		out, _ = appendPiece(out, left, a.lendOwn(now, peer, p))
	}
	return debitTokens(a, out)
}

// debitTokens debits the tokens in pieces from the bucket.
func debitTokens(a *Account, pieces []Piece) []Piece {
	for _, p := range pieces {
		a.bucket.level -= p.Tokens
	}
	return pieces
}

func appendPiece(out []Piece, left float64, p Piece) ([]Piece, float64) {
	if p.Tokens <= 0 {
		return out, left
	}
	return append(out, p), left - p.Tokens
}

// scaleToBurst scales a down to the given burst.
func scaleToBurst(a Amount, burst float64) Amount {
	return Amount{Rate: a.Rate * burst / a.Burst, Burst: burst}
}

// splitLoan splits a piece of up to the given burst off a borrowed loan, to lend or return it.
func (a *Account) splitLoan(now time.Time, l *loan, burst float64) Piece {
	burst = min(burst, l.amount.Burst)
	if burst <= tolerance {
		return Piece{}
	}
	p := Piece{Lender: l.lender, LoanID: l.id, Amount: scaleToBurst(l.amount, burst), Tokens: burst, Duration: l.expires.Sub(now), LongTerm: l.long}
	l.amount.Rate = max(0, l.amount.Rate-p.Amount.Rate)
	l.amount.Burst = max(0, l.amount.Burst-p.Amount.Burst)
	return p
}

func (a *Account) dropEmptyLoans() {
	a.borrowed = slices.DeleteFunc(a.borrowed, func(l loan) bool { return l.amount.Burst <= tolerance })
}

// lendOwn records a piece of this data centre's share as lent. Short-term pieces for one peer within mergeWindow are
// merged into one loan, which bounds the number of loans.
func (a *Account) lendOwn(now time.Time, peer string, p Piece) Piece {
	p.Lender = a.dc
	expires := now.Add(p.Duration + a.timings.ClockMargin)
	for i := range a.lent {
		l := &a.lent[i]
		if p.LongTerm || l.long || l.inherited || l.peer != peer || now.Sub(l.granted) > mergeWindow {
			continue
		}
		l.amount.Rate += p.Amount.Rate
		l.amount.Burst += p.Amount.Burst
		l.expires = expires
		p.LoanID = l.id
		sortLoans(a.lent)
		return p
	}
	a.lastLoan.Number++
	p.LoanID = a.lastLoan
	a.addLoan(&a.lent, loan{id: p.LoanID, peer: peer, granted: now, amount: p.Amount, expires: expires, long: p.LongTerm})
	return p
}

// lendRate lends unused rate, a proportional amount of burst, and the tokens in it, as a long-term loan.
func (a *Account) lendRate(now time.Time, peer string, want float64) []Piece {
	if now.Before(a.loansUnknownUntil()) {
		return nil
	}
	var longLent Amount
	for _, l := range a.lent {
		if l.long {
			longLent.Rate += l.amount.Rate
			longLent.Burst += l.amount.Burst
		}
	}
	lendable := Amount{Rate: a.share.Holder.Rate - a.share.Floor.Rate, Burst: a.share.Holder.Burst - a.share.Floor.Burst}
	own := a.unlentShare()
	rate := min(want, lendable.Rate-longLent.Rate, own.Rate-headroom*a.Demand(now))
	if own.Burst <= 0 || rate <= floorFraction*min(want, lendable.Rate) {
		return nil
	}
	burst := max(0, min(own.Burst*rate/own.Rate, lendable.Burst-longLent.Burst))
	if burst <= tolerance {
		return nil
	}
	p := Piece{Amount: Amount{Rate: rate, Burst: burst}, Duration: a.timings.LongLoan, LongTerm: true}
	p.Tokens = min(burst, a.bucket.level*burst/a.Capacity().Burst)
	a.bucket.level -= p.Tokens
	invariant.Check(longLent.Rate+rate <= lendable.Rate+tolerance && longLent.Burst+burst <= lendable.Burst+tolerance, "quota.lent_within_lendable")
	return []Piece{a.lendOwn(now, peer, p)}
}
