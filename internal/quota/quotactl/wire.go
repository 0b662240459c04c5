package quotactl

import (
	quotav1 "github.com/berylpond/berylpond/api/quota/v1"
	"github.com/berylpond/berylpond/internal/quota"
)

func toResult(r result) *quotav1.TakeResult {
	return &quotav1.TakeResult{Outcome: r.outcome, RetryAfterUs: r.retryAfter.Microseconds()}
}

func toGrant(g quota.Grant) *quotav1.Grant {
	return &quotav1.Grant{
		Sequence: g.Sequence, Version: g.Version, Loan: g.Loan, Rate: g.Amount.Rate, Burst: g.Amount.Burst,
		Tokens: g.Tokens, TermUs: g.Term.Microseconds(), Renewed: g.Renewed, Level: g.Level, LevelRate: g.LevelRate,
	}
}

func fromGrant(g *quotav1.Grant) quota.Grant {
	return quota.Grant{
		Sequence: g.Sequence, Version: g.Version, Loan: g.Loan, Amount: quota.Amount{Rate: g.Rate, Burst: g.Burst},
		Tokens: g.Tokens, Term: micros(g.TermUs), Renewed: g.Renewed, Level: g.Level, LevelRate: g.LevelRate,
	}
}

func toHandOver(s quota.PartState) *quotav1.HandOverRequest {
	req := &quotav1.HandOverRequest{Part: int32(s.Part), Term: s.Term, SinceUs: s.Since.Microseconds()}
	for _, a := range s.Accounts {
		st := &quotav1.AccountState{Account: a.Account, Level: a.Level, SinceUs: a.Since.Microseconds()}
		for _, l := range a.Lent {
			// Rounded up: a loan must not end at the new holder before it ends at its borrower.
			st.Lent = append(st.Lent, &quotav1.Lent{Loan: l.Loan, Rate: l.Amount.Rate, Burst: l.Amount.Burst, LeftUs: l.Left.Microseconds() + 1})
		}
		req.Accounts = append(req.Accounts, st)
	}
	return req
}

func fromHandOver(req *quotav1.HandOverRequest) quota.PartState {
	s := quota.PartState{Part: int(req.Part), Term: req.Term, Since: micros(req.SinceUs)}
	for _, a := range req.Accounts {
		st := quota.State{Account: a.Account, Level: a.Level, Since: micros(a.SinceUs)}
		for _, l := range a.Lent {
			st.Lent = append(st.Lent, quota.LentState{Loan: l.Loan, Amount: quota.Amount{Rate: l.Rate, Burst: l.Burst}, Left: micros(l.LeftUs)})
		}
		s.Accounts = append(s.Accounts, st)
	}
	return s
}
