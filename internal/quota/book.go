package quota

import (
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrStaleTerm means that a loan was recorded by a holder that has been replaced.
	ErrStaleTerm = errors.New("the term is older than a promised one")
	// ErrBookNotReady means that this slot started lately and may have forgotten loans that still run.
	ErrBookNotReady = errors.New("the slot's loan book is younger than a loan")
)

// LoanRecord lists all that is lent of the own share of one account.
type LoanRecord struct {
	Account string
	// Term is that of the holder that made the record, and Sequence rises with its records.
	Term     uint64
	Sequence uint64
	Loans    []LentState
}

// newer reports whether r was made after o.
func (r LoanRecord) newer(o LoanRecord) bool {
	return r.Term > o.Term || (r.Term == o.Term && r.Sequence > o.Sequence)
}

// Book is one slot's memory of the loans that the holders of its cell's parts have made. A holder records a loan at
// WriteQuorum slots before the borrower hears of it; a new holder reads the records of ReadQuorum slots, which promise
// to take none of an older term. So the new holder knows every loan whose borrower was or will be answered. Without
// the promise an old holder could still record a loan, and send it, after the new one had read. It isn't safe for
// concurrent use.
type Book struct {
	readyAt time.Time
	parts   map[int]*bookPart
}

type bookPart struct {
	promised uint64
	accounts map[string]bookEntry
}

type bookEntry struct {
	record LoanRecord
	at     time.Time
	ends   time.Time
}

// WriteQuorum is the number of slots that must have recorded a loan.
func WriteQuorum(slots int) int { return slots/2 + 1 }

// ReadQuorum is the number of slots whose records a new holder needs: each of them and each WriteQuorum share one.
func ReadQuorum(slots int) int { return slots - WriteQuorum(slots) + 1 }

// NewBook returns the book of a slot whose occupant started at now. It is ready once all that its predecessor may have
// recorded has ended.
func NewBook(now time.Time, terms Terms) *Book {
	return &Book{readyAt: now.Add(terms.Loan + terms.Margin), parts: map[int]*bookPart{}}
}

// join checks that a holder of the given term may use the book, and promises the term.
func (b *Book) join(now time.Time, part int, term uint64) (*bookPart, error) {
	if now.Before(b.readyAt) {
		return nil, ErrBookNotReady
	}
	p := b.parts[part]
	if p == nil {
		p = &bookPart{accounts: map[string]bookEntry{}}
		b.parts[part] = p
	}
	if term < p.promised {
		return nil, ErrStaleTerm
	}
	p.promised = term
	return p, nil
}

// Record keeps a record of the part's holder.
func (b *Book) Record(now time.Time, part int, r LoanRecord) error {
	p, err := b.join(now, part, r.Term)
	if err != nil {
		return err
	}
	if !r.newer(p.accounts[r.Account].record) {
		return nil
	}
	e := bookEntry{record: r, at: now}
	for _, l := range r.Loans {
		if end := now.Add(l.Left); end.After(e.ends) {
			e.ends = end
		}
	}
	p.accounts[r.Account] = e
	return nil
}

// Promise returns the records whose loans still run, and promises to take none of a term older than the given one.
func (b *Book) Promise(now time.Time, part int, term uint64) ([]LoanRecord, error) {
	p, err := b.join(now, part, term)
	if err != nil {
		return nil, err
	}
	b.Sweep(now)
	var out []LoanRecord
	for _, e := range p.accounts {
		out = append(out, e.left(now))
	}
	return out, nil
}

// left returns the record with the loans that still run.
func (e bookEntry) left(now time.Time) LoanRecord {
	r := e.record
	r.Loans = nil
	for _, l := range e.record.Loans {
		if l.Left -= now.Sub(e.at); l.Left > 0 {
			r.Loans = append(r.Loans, l)
		}
	}
	return r
}

// Sweep drops records whose loans have ended.
func (b *Book) Sweep(now time.Time) {
	for _, p := range b.parts {
		for name, e := range p.accounts {
			if !e.ends.After(now) {
				delete(p.accounts, name)
			}
		}
	}
}
