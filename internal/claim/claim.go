// Package claim decides who may run a request that must not be repeated: a voter records the first executor of each
// request id, and a tally decides from the votes of a cell.
//
// Both are pure state machines without locks. A claim without outcome is never granted again, because its executor
// may have run it.
package claim

import "time"

// Executor identifies one attempt of one process to claim an id.
type Executor struct {
	Slot        int
	Incarnation uint64
	Attempt     uint64
}

// Result is a voter's answer.
type Result int

const (
	// Granted means that the executor is recorded as the first.
	Granted Result = iota + 1
	// Taken means that another attempt is recorded and has no outcome.
	Taken
	// Settled means that the id has an outcome.
	Settled
	// Abstaining means that the voter may have lost votes of its predecessor.
	Abstaining
	// Unknown means that the id is older than the window: only the log can tell.
	Unknown
)

// Answer is the answer to a vote.
type Answer struct {
	Result   Result
	Executor Executor
	// Outcome is set when Result is Settled. It may be empty, for an outcome that is not known.
	Outcome []byte
}

// State is the state of an entry.
type State uint8

const (
	// StateVoted is a vote without outcome.
	StateVoted State = iota + 1
	// StateSettled has an outcome.
	StateSettled
	// StateWithdrawn keeps a late vote of a withdrawn attempt from being counted.
	StateWithdrawn
)

// Entry is one exported claim.
type Entry struct {
	ID       string
	Executor Executor
	State    State
	Durable  bool
	Outcome  []byte
	// ExpiresIn is the rest of the window at the time of the export.
	ExpiresIn time.Duration
}

type entry struct {
	executor Executor
	outcome  []byte
	expires  int64 // nanoseconds after the voter's start
	state    State
	durable  bool
}

// Voter is one slot's table of first claims.
type Voter struct {
	window       time.Duration
	start        time.Time
	earliest     time.Time
	abstainUntil time.Time
	sweepAt      time.Time
	closed       bool
	limit        int
	entries      map[string]entry
}

// MaxEntries bounds the table of a voter. A full voter abstains.
const MaxEntries = 1 << 20

// sweepParts is the number of sweeps in one window.
const sweepParts = 20

// NewVoter returns a voter that abstains for the window. settle is the least time after its start at which a read of
// the log may end the abstention: within it every executor that had its votes from the predecessor has either made
// its intent durable or given up.
func NewVoter(now time.Time, window, settle time.Duration) *Voter {
	return &Voter{
		window: window, start: now, earliest: now.Add(settle), abstainUntil: now.Add(window),
		sweepAt: now.Add(window / sweepParts), limit: MaxEntries, entries: map[string]entry{},
	}
}

// Abstaining reports whether the voter grants nothing now.
func (v *Voter) Abstaining(now time.Time) bool { return v.closed || now.Before(v.abstainUntil) }

// CaughtUp ends the abstention if the log was read up to an end that was taken at readAt, late enough after the
// start. It reports whether it did.
func (v *Voter) CaughtUp(readAt time.Time) bool {
	if readAt.Before(v.earliest) {
		return false
	}
	v.abstainUntil = v.start
	return true
}

// Vote asks for the first claim of an id that was issued at the given time.
func (v *Voter) Vote(now time.Time, id string, issued time.Time, ex Executor) Answer {
	e, known := v.entries[id]
	switch {
	case known && e.state == StateSettled:
		return Answer{Result: Settled, Executor: e.executor, Outcome: e.outcome}
	case known && e.state == StateVoted && e.executor == ex && !v.closed:
		return Answer{Result: Granted, Executor: ex}
	case known && (e.state == StateVoted || e.executor == ex):
		return Answer{Result: Taken, Executor: e.executor}
	case now.Sub(issued) >= v.window:
		return Answer{Result: Unknown}
	case v.Abstaining(now) || (!known && len(v.entries) >= v.limit):
		return Answer{Result: Abstaining}
	}
	v.put(now, id, issued, entry{executor: ex, state: StateVoted})
	return Answer{Result: Granted, Executor: ex}
}

func (v *Voter) put(now time.Time, id string, issued time.Time, e entry) {
	from := now
	if issued.After(now) {
		from = issued
	}
	e.expires = int64(from.Add(v.window).Sub(v.start))
	v.entries[id] = e
}

// Withdraw frees the vote of exactly the given attempt. A settled claim stays.
func (v *Voter) Withdraw(now time.Time, id string, issued time.Time, ex Executor) {
	e, known := v.entries[id]
	if known && (e.executor != ex || e.state != StateVoted) {
		return
	}
	if !known && len(v.entries) >= v.limit {
		return
	}
	v.put(now, id, issued, entry{executor: ex, state: StateWithdrawn, durable: true})
}

// Settle records the outcome of the executor that had the majority. It reports false when another executor has
// settled the id before.
func (v *Voter) Settle(now time.Time, id string, issued time.Time, ex Executor, outcome []byte) bool {
	e, known := v.entries[id]
	if known && e.state == StateSettled && e.executor != ex {
		return false
	}
	v.put(now, id, issued, entry{executor: ex, state: StateSettled, outcome: outcome, durable: known && e.executor == ex && e.durable})
	return true
}

// MarkDurable notes that the intent of the claim is durable in the log.
func (v *Voter) MarkDurable(id string, ex Executor) {
	if e, known := v.entries[id]; known && e.executor == ex {
		e.durable = true
		v.entries[id] = e
	}
}

// Lookup returns the answer to an id that has a claim, without voting.
func (v *Voter) Lookup(id string) (Answer, bool) {
	e, known := v.entries[id]
	if !known || e.state == StateWithdrawn {
		return Answer{}, false
	}
	if e.state == StateSettled {
		return Answer{Result: Settled, Executor: e.executor, Outcome: e.outcome}, true
	}
	return Answer{Result: Taken, Executor: e.executor}, true
}

// Sweep drops the entries that are durable and older than the window. It is cheap when called often.
func (v *Voter) Sweep(now time.Time) {
	if now.Before(v.sweepAt) {
		return
	}
	v.sweepAt = now.Add(v.window / sweepParts)
	age := int64(now.Sub(v.start))
	for id, e := range v.entries {
		if e.durable && e.expires <= age {
			delete(v.entries, id)
		}
	}
}

// Len returns the number of entries.
func (v *Voter) Len() int { return len(v.entries) }

// Export stops the voter for good and returns its table for the next incarnation. The table is complete only when
// the voter itself no longer abstained; ok reports it.
func (v *Voter) Export(now time.Time) (table []Entry, ok bool) {
	ok = !v.Abstaining(now)
	v.closed = true
	age := int64(now.Sub(v.start))
	for id, e := range v.entries {
		table = append(table, Entry{ID: id, Executor: e.executor, State: e.state, Durable: e.durable, Outcome: e.outcome,
			ExpiresIn: time.Duration(e.expires - age)})
	}
	return table, ok
}

// Import takes the predecessor's table over and ends the abstention.
func (v *Voter) Import(now time.Time, table []Entry) {
	for _, t := range table {
		if _, known := v.entries[t.ID]; known {
			continue
		}
		expires := int64(now.Add(t.ExpiresIn).Sub(v.start))
		v.entries[t.ID] = entry{executor: t.Executor, state: t.State, durable: t.Durable, outcome: t.Outcome, expires: expires}
	}
	v.abstainUntil = v.start
}
