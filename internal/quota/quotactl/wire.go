package quotactl

import (
	quotav1 "github.com/berylpond/berylpond/api/quota/v1"
	"github.com/berylpond/berylpond/internal/quota"
)

func toResult(r result) *quotav1.TakeResult {
	return &quotav1.TakeResult{Outcome: r.outcome, RetryAfterUs: r.retryAfter.Microseconds(), OverRate: r.overRate}
}

// toLoanID returns nil for the zero id.
func toLoanID(id quota.LoanID) *quotav1.LoanID {
	if id == (quota.LoanID{}) {
		return nil
	}
	return &quotav1.LoanID{Term: id.Term, Number: id.Number}
}

func fromLoanID(id *quotav1.LoanID) quota.LoanID {
	return quota.LoanID{Term: id.GetTerm(), Number: id.GetNumber()}
}

func toPiece(p quota.Piece) *quotav1.Piece {
	return &quotav1.Piece{
		Lender: p.Lender, Loan: toLoanID(p.LoanID), Rate: p.Amount.Rate, Burst: p.Amount.Burst,
		Tokens: p.Tokens, TermUs: p.Duration.Microseconds(), Long: p.LongTerm,
	}
}

func fromPiece(p *quotav1.Piece) quota.Piece {
	return quota.Piece{
		Lender: p.Lender, LoanID: fromLoanID(p.Loan), Amount: quota.Amount{Rate: p.Rate, Burst: p.Burst},
		Tokens: p.Tokens, Duration: micros(p.TermUs), LongTerm: p.Long,
	}
}

func toLendItem(account string, r quota.Request) *quotav1.LendItem {
	it := &quotav1.LendItem{Account: account, Sequence: r.Sequence, Tokens: r.Tokens, Rate: r.Rate, Renew: toLoanID(r.Renew)}
	if r.Return != nil {
		it.Return = toPiece(*r.Return)
	}
	return it
}

func fromLendItem(sender string, it *quotav1.LendItem) quota.Request {
	r := quota.Request{Sender: sender, Sequence: it.Sequence, Tokens: it.Tokens, Rate: it.Rate, Renew: fromLoanID(it.Renew)}
	if it.Return != nil {
		p := fromPiece(it.Return)
		r.Return = &p
	}
	return r
}

func toGrant(g quota.Grant) *quotav1.Grant {
	out := &quotav1.Grant{
		Sequence: g.Sequence, Version: g.Version, Renewed: g.Renewed, Loan: toLoanID(g.LoanID),
		TermUs: g.Duration.Microseconds(),
		Level:  g.Level, LevelRate: g.LevelRate,
	}
	for _, p := range g.Pieces {
		out.Pieces = append(out.Pieces, toPiece(p))
	}
	return out
}

func fromGrant(g *quotav1.Grant) quota.Grant {
	out := quota.Grant{
		Sequence: g.Sequence, Version: g.Version, Renewed: g.Renewed, LoanID: fromLoanID(g.Loan), Duration: micros(g.TermUs),
		Level: g.Level, LevelRate: g.LevelRate,
	}
	for _, p := range g.Pieces {
		out.Pieces = append(out.Pieces, fromPiece(p))
	}
	return out
}

func toLent(loans []quota.LoanState) []*quotav1.Lent {
	var out []*quotav1.Lent
	for _, l := range loans {
		// Rounded up, since a loan must not expire at the new holder before it expires at its borrower.
		out = append(out, &quotav1.Lent{Loan: toLoanID(l.ID), Rate: l.Amount.Rate, Burst: l.Amount.Burst, LeftUs: l.Remaining.Microseconds() + 1, Long: l.LongTerm})
	}
	return out
}

func fromLent(loans []*quotav1.Lent) []quota.LoanState {
	var out []quota.LoanState
	for _, l := range loans {
		out = append(out, quota.LoanState{ID: fromLoanID(l.Loan), Amount: quota.Amount{Rate: l.Rate, Burst: l.Burst}, Remaining: micros(l.LeftUs), LongTerm: l.Long})
	}
	return out
}

func toLoanRecord(shard int, r quota.LoanRecord) *quotav1.LoanRecord {
	return &quotav1.LoanRecord{Part: int32(shard), Account: r.Account, Term: r.Term, Sequence: r.Sequence, Loans: toLent(r.Loans)}
}

func fromLoanRecord(r *quotav1.LoanRecord) (shard int, rec quota.LoanRecord) {
	return int(r.Part), quota.LoanRecord{Account: r.Account, Term: r.Term, Sequence: r.Sequence, Loans: fromLent(r.Loans)}
}

func fromLoanRecords(list []*quotav1.LoanRecord) []quota.LoanRecord {
	var out []quota.LoanRecord
	for _, r := range list {
		_, rec := fromLoanRecord(r)
		out = append(out, rec)
	}
	return out
}

func toHandOver(s quota.ShardState) *quotav1.HandOverRequest {
	req := &quotav1.HandOverRequest{Part: int32(s.Shard), Term: s.Term, SinceUs: s.TrackedFor.Microseconds(),
		Known: s.LoansKnown}
	for _, a := range s.Accounts {
		st := &quotav1.AccountState{Account: a.Account, Level: a.Level, SinceUs: a.TrackedFor.Microseconds()}
		st.Lent = toLent(a.Loans)
		req.Accounts = append(req.Accounts, st)
	}
	return req
}

func fromHandOver(req *quotav1.HandOverRequest) quota.ShardState {
	s := quota.ShardState{Shard: int(req.Part), Term: req.Term, TrackedFor: micros(req.SinceUs), LoansKnown: req.Known}
	for _, a := range req.Accounts {
		st := quota.AccountState{Account: a.Account, Level: a.Level, TrackedFor: micros(a.SinceUs)}
		st.Loans = fromLent(a.Lent)
		s.Accounts = append(s.Accounts, st)
	}
	return s
}
