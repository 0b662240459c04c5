package quota

import (
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrStaleTerm rejects a holder that has been replaced: the slot has promised a later term.
	ErrStaleTerm = errors.New("the term is older than a promised one")
	// ErrLoanStoreNotReady rejects all requests until a slot's loan store, which is lost with the process, has been
	// running for longer than any loan that it may have lost.
	ErrLoanStoreNotReady = errors.New("the slot's loan book is younger than a loan")
)

// LoanRecord lists all loans from the lender's own share of one account.
type LoanRecord struct {
	Account string
	// Term is that of the lender's lease. Sequence rises with each record made under it.
	Term     uint64
	Sequence uint64
	Loans    []LoanState
}

// newer reports whether r was made after o.
func (r LoanRecord) newer(o LoanRecord) bool {
	return r.Term > o.Term || (r.Term == o.Term && r.Sequence > o.Sequence)
}

// LoanStore is the loan store of one slot: an in-memory replica of the loans made by the holders of its cell's shards.
// A holder records a loan at WriteQuorum slots before it sends the grant to the borrower. A new holder reads the
// records of ReadQuorum slots, which also promise to reject records of an older term, so it knows every loan whose
// grant has been or will be sent. Without the promise, an old holder could still record a loan and send it after the
// new holder's read. A LoanStore is not safe for concurrent use.
type LoanStore struct {
	readyAt time.Time
	shards  map[int]*shardLoans
}

type shardLoans struct {
	promised uint64
	accounts map[string]loanEntry
}

type loanEntry struct {
	record LoanRecord
	at     time.Time
	ends   time.Time
}

// WriteQuorum returns the number of slots that must record a loan before it is granted.
func WriteQuorum(slots int) int { return slots/2 + 1 }

// ReadQuorum returns the number of slots whose records a new holder must read: every read quorum intersects every write
// quorum.
func ReadQuorum(slots int) int { return slots - WriteQuorum(slots) + 1 }

// NewLoanStore returns the empty loan store of a slot whose occupant started at now. It becomes ready once every loan
// that the slot's previous occupant may have recorded has expired.
func NewLoanStore(now time.Time, timings LoanTimings) *LoanStore {
	return &LoanStore{readyAt: now.Add(timings.LongLoan + timings.ClockMargin), shards: map[int]*shardLoans{}}
}

// promiseTerm promises the given term, and fails if a later one has been promised or the store is not ready.
func (s *LoanStore) promiseTerm(now time.Time, shard int, term uint64) (*shardLoans, error) {
	if now.Before(s.readyAt) {
		return nil, ErrLoanStoreNotReady
	}
	p := s.shards[shard]
	if p == nil {
		p = &shardLoans{accounts: map[string]loanEntry{}}
		s.shards[shard] = p
	}
	if term < p.promised {
		return nil, ErrStaleTerm
	}
	p.promised = term
	return p, nil
}

// Record stores a record from the shard's holder. A record that is not newer than the stored one is ignored.
func (s *LoanStore) Record(now time.Time, shard int, r LoanRecord) error {
	p, err := s.promiseTerm(now, shard, r.Term)
	if err != nil {
		return err
	}
	if !r.newer(p.accounts[r.Account].record) {
		return nil
	}
	e := loanEntry{record: r, at: now}
	for _, l := range r.Loans {
		if end := now.Add(l.Remaining); end.After(e.ends) {
			e.ends = end
		}
	}
	p.accounts[r.Account] = e
	return nil
}

// Promise returns the records with unexpired loans, and promises to reject records of any term older than the given
// one.
func (s *LoanStore) Promise(now time.Time, shard int, term uint64) ([]LoanRecord, error) {
	p, err := s.promiseTerm(now, shard, term)
	if err != nil {
		return nil, err
	}
	s.DeleteExpired(now)
	var out []LoanRecord
	for _, e := range p.accounts {
		out = append(out, e.unexpired(now))
	}
	return out, nil
}

// unexpired returns the record reduced to its unexpired loans.
func (e loanEntry) unexpired(now time.Time) LoanRecord {
	r := e.record
	r.Loans = nil
	for _, l := range e.record.Loans {
		if l.Remaining -= now.Sub(e.at); l.Remaining > 0 {
			r.Loans = append(r.Loans, l)
		}
	}
	return r
}

// DeleteExpired deletes records whose loans have all expired.
func (s *LoanStore) DeleteExpired(now time.Time) {
	for _, p := range s.shards {
		for name, e := range p.accounts {
			if !e.ends.After(now) {
				delete(p.accounts, name)
			}
		}
	}
}
