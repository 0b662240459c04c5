// Package admission decides whether a request is sent now, waits for a place at a backend server, or is refused.
//
// Load pattern: for some seconds more work arrives than the backend servers have places for. If all of it is sent, it waits
// in the servers' queues in order of arrival, programs under way become late beside new ones, and the backlog outlasts the
// burst. Here requests that are worth more to their callers go first, and new programs begin only where there is room.
//
// Nothing waits and nothing is refused while places are free, or while the time that a place takes is unknown.
package admission

import (
	"time"

	"github.com/berylpond/berylpond/internal/placement"
)

const (
	// holdFraction of a request's latency objective is how long it may be held. A refusal that comes later leaves its caller
	// too little time for another attempt.
	holdFraction = 4
	// responseMargin is the part of that time that is reserved for the refusal's way to the client.
	responseMargin = 10 * time.Millisecond
	// maxWaiting and maxWaitingBytes bound the requests that wait for one service.
	maxWaiting      = 256
	maxWaitingBytes = 8 << 20
)

// Class says what a refusal of the request costs its caller.
type Class int

const (
	// UnderWay is a request whose refusal wastes what its program has spent: a later turn or a tool call. Requests outside of
	// programs belong to it as well.
	UnderWay Class = iota
	// FirstTurn begins a program.
	FirstTurn
)

// String returns the class's name for logs and metric labels.
func (c Class) String() string {
	if c == FirstTurn {
		return "first_turn"
	}
	return "under_way"
}

// Request is what is known of a request that asks for a place.
type Request struct {
	Account string
	// Priority of the account, or else of the route; 0 is the highest.
	Priority int
	Class    Class
	// RefusedBefore is set if the program was refused here before.
	RefusedBefore bool
	// Arrived is when the request came in.
	Arrived time.Time
	// RespondBy is when the client must have its response, FinishBy when its program should have ended; zero if unknown.
	RespondBy, FinishBy time.Time
	// ProgramTime is the time that the program usually takes from this request to its end; zero if unknown.
	ProgramTime time.Duration
	// Objective is the route's latency objective. A request without one is always admitted.
	Objective time.Duration
	Bytes     int
}

// heldUntil is when the request may no longer be held.
func (r *Request) heldUntil() time.Time {
	return r.Arrived.Add(max(r.Objective/holdFraction-responseMargin, 0))
}

// canFinish reports whether the program can still end in time if the request begins at the given time and takes as long.
func (r *Request) canFinish(begin time.Time, service time.Duration) bool {
	return r.FinishBy.IsZero() || !begin.Add(max(service, r.ProgramTime)).After(r.FinishBy)
}

// Outcome is what becomes of a request.
type Outcome int

// Outcomes of a decision.
const (
	Wait Outcome = iota
	Admit
	Refuse
)

// String returns the outcome's name for logs and metric labels.
func (o Outcome) String() string { return [...]string{"wait", "admit", "refuse"}[o] }

// Cause is the reason for a decision.
type Cause string

// Causes of decisions.
const (
	// CauseFree: there is a free place.
	CauseFree Cause = "free"
	// CauseUnknown: nothing is known by which to decide.
	CauseUnknown Cause = "unknown"
	// CauseHeld: a request under way was held as long as it may be, and is sent to wait at a server.
	CauseHeld Cause = "held"
	// CauseNoRoom: no place is expected in the time that the request may be held.
	CauseNoRoom Cause = "no_room"
	// CauseTooLate: no place is expected before the client must have its response.
	CauseTooLate Cause = "too_late"
	// CauseQueueFull: requests that go first fill the queue.
	CauseQueueFull Cause = "queue_full"
)

// Decision is what was decided for a request, with the inputs that it was based on.
type Decision struct {
	Outcome Outcome
	Cause   Cause
	// RetryAfter is when a refused request should come back.
	RetryAfter time.Duration
	// Expected is the expected time until a place is free for the request, Ahead the number of requests that go first.
	Expected time.Duration
	Ahead    int
	Outlook  placement.Outlook
}
