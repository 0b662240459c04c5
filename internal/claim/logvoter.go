package claim

import (
	"slices"
	"time"
)

// LogVoter turns a totally ordered log into one more voter of claims. A vote counts if every earlier vote of another
// attempt for its id was withdrawn before it in offset order. The log outlives its readers, so there is no abstention;
// a reader has to have read the log from its oldest record, and the log has to keep records for the window.
type LogVoter struct {
	window  time.Duration
	sweepAt time.Time
	ids     map[string]loggedID
}

type loggedID struct {
	standing []Executor // votes that were not withdrawn, in offset order
	expires  time.Time
}

// NewLogVoter returns a voter that has read nothing.
func NewLogVoter(now time.Time, window time.Duration) *LogVoter {
	return &LogVoter{window: window, sweepAt: now.Add(window / sweepParts), ids: map[string]loggedID{}}
}

// Lookup returns the answer that is known without a vote. Writing one can help only if ok is false.
func (v *LogVoter) Lookup(now time.Time, id string, issued time.Time) (a Answer, ok bool) {
	if e, known := v.ids[id]; known && len(e.standing) > 0 {
		return Answer{Result: Taken, Executor: e.standing[0]}, true
	}
	if now.Sub(issued) >= v.window {
		return Answer{Result: Unknown}, true
	}
	return Answer{}, false
}

// Vote takes in the record of a vote, in offset order.
func (v *LogVoter) Vote(now time.Time, id string, issued time.Time, ex Executor) Answer {
	e := v.ids[id]
	if !slices.Contains(e.standing, ex) {
		e.standing = append(e.standing, ex)
	}
	from := now
	if issued.After(now) {
		from = issued
	}
	e.expires = from.Add(v.window)
	v.ids[id] = e
	if e.standing[0] != ex {
		return Answer{Result: Taken, Executor: e.standing[0]}
	}
	return Answer{Result: Granted, Executor: ex}
}

// Withdraw takes in the record of a withdrawal. A vote that was not the first stays void for its executor, which
// judged it when it read it back.
func (v *LogVoter) Withdraw(id string, ex Executor) {
	e, known := v.ids[id]
	if !known {
		return
	}
	e.standing = slices.DeleteFunc(e.standing, func(o Executor) bool { return o == ex })
	v.ids[id] = e
}

// Sweep drops the ids that are older than the window.
func (v *LogVoter) Sweep(now time.Time) {
	if now.Before(v.sweepAt) {
		return
	}
	v.sweepAt = now.Add(v.window / sweepParts)
	for id, e := range v.ids {
		if !e.expires.After(now) {
			delete(v.ids, id)
		}
	}
}
