package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// holderPair is a lender and a borrower with full buckets and no unknown loans.
type holderPair struct {
	now              time.Time
	lender, borrower *Holder
}

func newHolderPair(l Limit) *holderPair {
	p := &holderPair{now: time.Unix(1e6, 0)}
	p.lender = NewHolder("giza", DefaultLoanTimings(), 2, 0)
	p.borrower = NewHolder("nasr", DefaultLoanTimings(), 2, 0)
	for _, h := range []*Holder{p.lender, p.borrower} {
		h.SetLimits(p.now, 1, []Limit{l})
		h.Observe(p.now, 0, Lease{Term: 1 << 50}, true)
	}
	p.now = p.now.Add(time.Minute)
	return p
}

// ask returns the lender's grant for tokens, not yet accepted.
func (p *holderPair) ask(tokens float64) Grant {
	a, _ := p.borrower.Account(0, account)
	seq := p.borrower.NextSequence()
	a.RecordSent(p.now, "giza", seq)
	return p.lender.Lend(p.now, 0, account, "nasr", p.borrower.Version(), Request{Sequence: seq, Tokens: tokens})
}

func TestNoLoanAcrossVersions(t *testing.T) {
	is := is.New(t)
	p := newHolderPair(Limit{Account: account, Rate: 10, Burst: 20})
	p.lender.SetLimits(p.now, 2, []Limit{{Account: account, Rate: 100, Burst: 200}})
	is.Equal(len(p.ask(5).Pieces), 0)
}

func TestGrantInTransitDuringVersionChangeIsDropped(t *testing.T) {
	is := is.New(t)
	p := newHolderPair(Limit{Account: account, Rate: 10, Burst: 20})
	g := p.ask(5)
	is.Equal(g.Tokens(), 5.0)
	p.borrower.SetLimits(p.now, 2, []Limit{{Account: account, Rate: 100, Burst: 200}})
	p.borrower.ApplyGrant(p.now, 0, account, g)
	a, _ := p.borrower.Account(0, account)
	is.Equal(a.Borrowed(), Amount{})
}

func TestReturnToSuccessorOfLenderIsVoid(t *testing.T) {
	is := is.New(t)
	p := newHolderPair(Limit{Account: account, Rate: 10, Burst: 20})
	g := p.ask(5)
	successor := NewHolder("giza", DefaultLoanTimings(), 2, 0)
	successor.SetLimits(p.now, 1, []Limit{{Account: account, Rate: 10, Burst: 20}})
	for _, s := range p.lender.ReleaseAll(p.now) {
		successor.StoreHandOver(p.now, s)
	}
	is.True(!p.lender.Observe(p.now, 0, Lease{Term: 1 << 50}, true)) // after ReleaseAll, the old lease is unusable
	is.True(successor.Observe(p.now, 0, Lease{Term: 1<<50 + 17, PreviousTerm: 1 << 50}, true))
	a, _ := successor.Account(0, account)
	a.Advance(p.now)
	level, lent := a.Level(), a.Lent()
	is.Equal(lent.Burst, 5.0)
	successor.Lend(p.now, 0, account, "nasr", 1, Request{Sender: "run", Sequence: 9, Return: &g.Pieces[0]})
	is.Equal(a.Level(), level)
	is.Equal(a.Lent(), lent)
}

func TestHandOverFromEarlierHolderIsIgnored(t *testing.T) {
	is := is.New(t)
	p := newHolderPair(Limit{Account: account, Rate: 10, Burst: 20})
	p.ask(1)
	successor := NewHolder("giza", DefaultLoanTimings(), 2, 0)
	successor.SetLimits(p.now, 1, []Limit{{Account: account, Rate: 10, Burst: 20}})
	for _, s := range p.lender.ReleaseAll(p.now) {
		successor.StoreHandOver(p.now, s)
	}
	is.True(successor.Observe(p.now, 0, Lease{Term: 1<<50 + 17, PreviousTerm: 1<<50 + 9}, true)) // there was another holder in between
	a, _ := successor.Account(0, account)
	a.Advance(p.now)
	is.Equal(a.Level(), 0.0)
}

func TestSlotReserveWaitsAndStopsAfterLongPause(t *testing.T) {
	is := is.New(t)
	start, wait := time.Unix(1e6, 0), 5*time.Second
	share := Share{PerSlot: Amount{Rate: 10, Burst: 2}}
	f := NewSlotReserve(start, wait)
	for s := range 5 {
		is.True(!f.Take(start.Add(time.Duration(s)*time.Second), account, share, 1)) // the previous occupant may still be serving
	}
	is.True(!f.Take(start.Add(wait), account, share, 1)) // the bucket starts empty
	is.True(f.Take(start.Add(wait+time.Second), account, share, 1))
	is.True(!f.Take(start.Add(3*wait), account, share, 1)) // paused for longer than the wait
}

func TestExpiredHandOverIsIgnored(t *testing.T) {
	is := is.New(t)
	p := newHolderPair(Limit{Account: account, Rate: 10, Burst: 20})
	p.ask(1)
	successor := NewHolder("giza", DefaultLoanTimings(), 2, 0)
	successor.SetLimits(p.now, 1, []Limit{{Account: account, Rate: 10, Burst: 20}})
	for _, s := range p.lender.ReleaseAll(p.now) {
		successor.StoreHandOver(p.now, s)
	}
	later := p.now.Add(DefaultLoanTimings().HandOverTTL)
	is.True(successor.Observe(later, 0, Lease{Term: 1<<50 + 17, PreviousTerm: 1 << 50}, true))
	a, _ := successor.Account(0, account)
	a.Advance(later)
	is.Equal(a.Level(), 0.0)
}
