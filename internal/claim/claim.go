// Package claim decides which process may execute a request that must run at most once: each voter records the first
// executor of a request id, and a Tally decides by the majority of a cell's votes.
//
// Voter and Tally are pure state machines without locks. A claim without an outcome is never granted again, because its
// executor may have run the request.
package claim

import "time"

// Executor identifies one attempt of a process to claim a request id.
type Executor struct {
	Slot        int
	Incarnation uint64
	Attempt     uint64
}

// Result is the result of a vote.
type Result int

const (
	// Granted means that the voter has recorded the executor as the first one.
	Granted Result = iota + 1
	// Taken means that the voter has recorded another attempt, which has no outcome.
	Taken
	// Settled means that the id has a recorded outcome.
	Settled
	// Abstaining means that the voter cannot decide: it may lack votes of its predecessor, has stopped or is full.
	Abstaining
	// Unknown means that the id is older than the claim window, so that only the log can tell whether it ran.
	Unknown
)

// Response is a voter's response to a request for its vote.
type Response struct {
	Result   Result
	Executor Executor
	// Outcome is set when Result is Settled. It is empty if the outcome is not known.
	Outcome []byte
}

// State is the state of a claim in the table of a voter.
type State uint8

const (
	// StateVoted is a claim without an outcome.
	StateVoted State = iota + 1
	// StateSettled is a claim with an outcome.
	StateSettled
	// StateWithdrawn is kept so that a delayed vote request of the withdrawn attempt is rejected.
	StateWithdrawn
)

// Entry is one exported claim.
type Entry struct {
	ID       string
	Executor Executor
	State    State
	Durable  bool
	Outcome  []byte
	// ExpiresIn is the time left in the claim window at the time of the export.
	ExpiresIn time.Duration
}

type entry struct {
	executor Executor
	outcome  []byte
	expires  int64 // nanoseconds after the voter's start
	state    State
	durable  bool
}

// Voter is the table of the first claims that one slot has granted.
type Voter struct {
	window time.Duration
	start  time.Time
	// minReadAt is the earliest time of a read of the log that may end the abstention.
	minReadAt    time.Time
	abstainUntil time.Time
	sweepAt      time.Time
	stopped      bool
	limit        int
	entries      map[string]entry
}

// MaxEntries is the maximum size of a voter's table. A voter with a full table abstains.
const MaxEntries = 1 << 20

// sweepsPerWindow is the number of sweeps in one claim window.
const sweepsPerWindow = 20

// NewVoter returns a voter that abstains for the window. A read of the log may end the abstention once minAbstention
// has passed since the start: by then every executor with votes of the predecessor has either made its intent durable
// or abandoned its attempt.
func NewVoter(now time.Time, window, minAbstention time.Duration) *Voter {
	return &Voter{
		window: window, start: now, minReadAt: now.Add(minAbstention), abstainUntil: now.Add(window),
		sweepAt: now.Add(window / sweepsPerWindow), limit: MaxEntries, entries: map[string]entry{},
	}
}

// Abstaining reports whether the voter grants no claims at present.
func (v *Voter) Abstaining(now time.Time) bool { return v.stopped || now.Before(v.abstainUntil) }

// EndAbstention ends the abstention if the log was read up to its end as of readAt, and readAt is at least the minimum
// abstention after the start. It reports whether the abstention has ended.
func (v *Voter) EndAbstention(readAt time.Time) bool {
	if readAt.Before(v.minReadAt) {
		return false
	}
	v.abstainUntil = v.start
	return true
}

// Vote requests the first claim of an id that was issued at the given time.
func (v *Voter) Vote(now time.Time, id string, issued time.Time, ex Executor) Response {
	e, known := v.entries[id]
	switch {
	case known && e.state == StateSettled:
		return Response{Result: Settled, Executor: e.executor, Outcome: e.outcome}
	case known && e.state == StateVoted && e.executor == ex && !v.stopped:
		return Response{Result: Granted, Executor: ex}
	case known && (e.state == StateVoted || e.executor == ex):
		return Response{Result: Taken, Executor: e.executor}
	case now.Sub(issued) >= v.window:
		return Response{Result: Unknown}
	case v.Abstaining(now) || (!known && len(v.entries) >= v.limit):
		return Response{Result: Abstaining}
	}
	v.put(now, id, issued, entry{executor: ex, state: StateVoted})
	return Response{Result: Granted, Executor: ex}
}

func (v *Voter) put(now time.Time, id string, issued time.Time, e entry) {
	from := now
	if issued.After(now) {
		from = issued
	}
	e.expires = int64(from.Add(v.window).Sub(v.start))
	v.entries[id] = e
}

// Withdraw releases the vote of the given attempt only. A settled claim stays.
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

// RecordOutcome records the outcome of the executor that won the majority. It returns false if another executor has
// already settled the id.
func (v *Voter) RecordOutcome(now time.Time, id string, issued time.Time, ex Executor, outcome []byte) bool {
	e, known := v.entries[id]
	if known && e.state == StateSettled && e.executor != ex {
		return false
	}
	v.put(now, id, issued, entry{executor: ex, state: StateSettled, outcome: outcome, durable: known && e.executor == ex && e.durable})
	return true
}

// MarkDurable records that the intent of the claim is durable in the log.
func (v *Voter) MarkDurable(id string, ex Executor) {
	if e, known := v.entries[id]; known && e.executor == ex {
		e.durable = true
		v.entries[id] = e
	}
}

// Lookup returns the response for an id that already has a claim, without a vote.
func (v *Voter) Lookup(id string) (Response, bool) {
	e, known := v.entries[id]
	if !known || e.state == StateWithdrawn {
		return Response{}, false
	}
	if e.state == StateSettled {
		return Response{Result: Settled, Executor: e.executor, Outcome: e.outcome}, true
	}
	return Response{Result: Taken, Executor: e.executor}, true
}

// Sweep removes the entries that are durable and older than the window. It may be called often, because it does nothing
// until the next sweep is due.
func (v *Voter) Sweep(now time.Time) {
	if now.Before(v.sweepAt) {
		return
	}
	v.sweepAt = now.Add(v.window / sweepsPerWindow)
	age := int64(now.Sub(v.start))
	for id, e := range v.entries {
		if e.durable && e.expires <= age {
			delete(v.entries, id)
		}
	}
}

// Len returns the number of entries.
func (v *Voter) Len() int { return len(v.entries) }

// Export stops the voter permanently and returns its table for the next incarnation. ok reports whether the table is
// complete, which requires that the voter did not abstain itself.
func (v *Voter) Export(now time.Time) (table []Entry, ok bool) {
	ok = !v.Abstaining(now)
	v.stopped = true
	age := int64(now.Sub(v.start))
	for id, e := range v.entries {
		table = append(table, Entry{ID: id, Executor: e.executor, State: e.state, Durable: e.durable, Outcome: e.outcome,
			ExpiresIn: time.Duration(e.expires - age)})
	}
	return table, ok
}

// Import adds the predecessor's table and ends the abstention.
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
