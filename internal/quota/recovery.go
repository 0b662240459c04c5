package quota

import "time"

// RecoveringLoans reports whether the loans of the shard's earlier holders have to be recovered from the loan stores
// before the shard's own share can be used, and under which term.
func (h *Holder) RecoveringLoans(now time.Time, shard int) (term uint64, ok bool) {
	p := h.shards[shard]
	if p == nil || p.loansKnown || !now.Before(p.since.Add(h.timings.LongLoan+h.timings.ClockMargin)) {
		return 0, false
	}
	return p.term, true
}

// RecoverLoans completes the recovery with the records that ReadQuorum slots returned for the current term.
func (h *Holder) RecoverLoans(now time.Time, shard int, term uint64, records []LoanRecord) {
	p := h.shards[shard]
	if p == nil || p.loansKnown || p.term != term {
		return
	}
	latest := map[string]LoanRecord{}
	for _, r := range records {
		if r.newer(latest[r.Account]) {
			latest[r.Account] = r
		}
	}
	p.loansKnown, p.since = true, now
	for name, r := range latest {
		p.inherit(now, name, r.Loans)
	}
	for name, a := range p.accounts {
		a.addRecoveredLoans(now, p.inherited[name])
		delete(p.inherited, name)
	}
}

// inherit stores loans for an account that has no state here. They were made by earlier holders, or by this one before
// the account was removed.
func (p *heldShard) inherit(now time.Time, name string, loans []LoanState) {
	for _, l := range loans {
		p.inherited[name] = append(p.inherited[name], inheritedLoan(now, l))
	}
}

func inheritedLoan(now time.Time, l LoanState) loan {
	return loan{id: l.ID, amount: l.Amount, expires: now.Add(l.Remaining), long: l.LongTerm, inherited: true}
}

// addRecoveredLoans adds the recovered loans of earlier holders. They are complete, so the share can be used from now
// on.
func (a *Account) addRecoveredLoans(now time.Time, loans []loan) {
	a.Advance(now)
	a.loansKnown = true
	for _, l := range loans {
		if l.expires.After(now) {
			a.addLoan(&a.lent, l)
		}
	}
	a.bucket.level = min(a.bucket.level, a.Capacity().Burst)
}

// LoanRecord returns the record of an account's current loans, which has to be stored before the grants are sent to the
// borrowers. It reports false if the shard is no longer held under the given term.
func (h *Holder) LoanRecord(now time.Time, shard int, term uint64, name string) (LoanRecord, bool) {
	p := h.shards[shard]
	if p == nil || p.term != term {
		return LoanRecord{}, false
	}
	r := LoanRecord{Account: name, Term: term, Sequence: h.NextSequence()}
	if a := p.accounts[name]; a != nil {
		a.Advance(now)
		r.Loans = a.lentStates(now)
	}
	return r, true
}

func (a *Account) lentStates(now time.Time) []LoanState {
	return lentStates(now, a.lent)
}

func lentStates(now time.Time, loans []loan) []LoanState {
	var out []LoanState
	for _, l := range loans {
		out = append(out, LoanState{ID: l.id, Amount: l.amount, Remaining: l.expires.Sub(now), LongTerm: l.long})
	}
	return out
}

// NeedsRecord reports whether the grant lends from the lender's own share.
func (g Grant) NeedsRecord(lender string) bool {
	for _, p := range g.Pieces {
		if p.Lender == lender {
			return true
		}
	}
	return g.Renewed
}

// WithoutPieces returns the grant without its contents, to send if its record failed. The amount that it lent stays
// unused until the loan expires.
func (g Grant) WithoutPieces() Grant {
	return Grant{Sequence: g.Sequence, Version: g.Version, LoanID: g.LoanID, Level: g.Level, LevelRate: g.LevelRate}
}
