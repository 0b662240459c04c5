package claim

import (
	"slices"
	"time"
)

// LogWitness uses a totally ordered log as the witness for claims. A vote counts if, in offset order, every earlier
// vote of another attempt for its id was withdrawn before it. It never abstains, because the log outlives its readers;
// a reader must have read the log from its oldest record, and the log must retain records for the claim window.
type LogWitness struct {
	window  time.Duration
	sweepAt time.Time
	ids     map[string]loggedClaim
}

type loggedClaim struct {
	active  []Executor // votes that were not withdrawn, in offset order
	expires time.Time
}

// NewLogWitness returns a witness that has read no records.
func NewLogWitness(now time.Time, window time.Duration) *LogWitness {
	return &LogWitness{window: window, sweepAt: now.Add(window / sweepsPerWindow), ids: map[string]loggedClaim{}}
}

// Lookup returns the response if it is known without a vote. Only if ok is false can the record of a vote win the
// claim.
func (v *LogWitness) Lookup(now time.Time, id string, issued time.Time) (response Response, ok bool) {
	if e, known := v.ids[id]; known && len(e.active) > 0 {
		return Response{Result: Taken, Executor: e.active[0]}, true
	}
	if now.Sub(issued) >= v.window {
		return Response{Result: Unknown}, true
	}
	return Response{}, false
}

// Vote applies the record of a vote, in offset order.
func (v *LogWitness) Vote(now time.Time, id string, issued time.Time, ex Executor) Response {
	e := v.ids[id]
	if !slices.Contains(e.active, ex) {
		e.active = append(e.active, ex)
	}
	from := now
	if issued.After(now) {
		from = issued
	}
	e.expires = from.Add(v.window)
	v.ids[id] = e
	if e.active[0] != ex {
		return Response{Result: Taken, Executor: e.active[0]}
	}
	return Response{Result: Granted, Executor: ex}
}

// Withdraw applies the record of a withdrawal. A vote of another attempt that lost before the withdrawal does not win by
// it, because its executor evaluated it when it read it back.
func (v *LogWitness) Withdraw(id string, ex Executor) {
	e, known := v.ids[id]
	if !known {
		return
	}
	e.active = slices.DeleteFunc(e.active, func(o Executor) bool { return o == ex })
	v.ids[id] = e
}

// Sweep removes the ids that are older than the window.
func (v *LogWitness) Sweep(now time.Time) {
	if now.Before(v.sweepAt) {
		return
	}
	v.sweepAt = now.Add(v.window / sweepsPerWindow)
	for id, e := range v.ids {
		if !e.expires.After(now) {
			delete(v.ids, id)
		}
	}
}
