package quota

import "time"

// Learning reports whether the loans of the part's earlier holders have to be read from the books before the part's
// own share can be used, and under which term.
func (h *Holder) Learning(now time.Time, part int) (term uint64, ok bool) {
	p := h.parts[part]
	if p == nil || p.known || !now.Before(p.since.Add(h.terms.Loan+h.terms.Margin)) {
		return 0, false
	}
	return p.term, true
}

// Learn takes in the records that ReadQuorum slots gave out under the term that is held.
func (h *Holder) Learn(now time.Time, part int, term uint64, records []LoanRecord) {
	p := h.parts[part]
	if p == nil || p.known || p.term != term {
		return
	}
	latest := map[string]LoanRecord{}
	for _, r := range records {
		if r.newer(latest[r.Account]) {
			latest[r.Account] = r
		}
	}
	p.known, p.since = true, now
	for name, r := range latest {
		p.inherit(now, name, r.Loans)
	}
	for name, a := range p.accounts {
		a.learn(now, p.inherited[name])
		delete(p.inherited, name)
	}
}

// inherit notes loans of earlier holders, or of this one before the account was dropped, for an account without state.
func (p *heldPart) inherit(now time.Time, name string, loans []LentState) {
	for _, l := range loans {
		p.inherited[name] = append(p.inherited[name], inheritedLoan(now, l))
	}
}

func inheritedLoan(now time.Time, l LentState) loan {
	return loan{id: l.Loan, amount: l.Amount, expires: now.Add(l.Left), long: l.Long, inherited: true}
}

// learn ends the wait for loans of unknown predecessors: these are all.
func (a *Account) learn(now time.Time, loans []loan) {
	a.Advance(now)
	a.known = true
	for _, l := range loans {
		if l.expires.After(now) {
			a.addLoan(&a.lent, l)
		}
	}
	a.bucket.level = min(a.bucket.level, a.Current().Burst)
}

// Record returns what is lent of an account now, to be recorded before the loans are told to their borrowers. It
// reports false when the part is no longer held under the given term.
func (h *Holder) Record(now time.Time, part int, term uint64, name string) (LoanRecord, bool) {
	p := h.parts[part]
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

func (a *Account) lentStates(now time.Time) []LentState {
	return lentStates(now, a.lent)
}

func lentStates(now time.Time, loans []loan) []LentState {
	var out []LentState
	for _, l := range loans {
		out = append(out, LentState{Loan: l.id, Amount: l.amount, Left: l.expires.Sub(now), Long: l.long})
	}
	return out
}

// NeedsRecord reports whether the grant lends of the lender's own share.
func (g Grant) NeedsRecord(lender string) bool {
	for _, p := range g.Pieces {
		if p.Lender == lender {
			return true
		}
	}
	return g.Renewed
}

// Withheld is the grant with nothing in it, for when its record failed: what it lent is lost until it ends.
func (g Grant) Withheld() Grant {
	return Grant{Sequence: g.Sequence, Version: g.Version, Loan: g.Loan, Level: g.Level, LevelRate: g.LevelRate}
}
