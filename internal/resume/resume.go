// Package resume decides whether a stream that its backend server broke off goes on at another server within the same
// response, and which events of the new run follow those that the client has.
package resume

import "time"

const (
	// minPatience is the shortest gap in a stream after which clients give up.
	minPatience = 2 * time.Second
	// patienceObjectives and patienceIntervals are the gaps after which clients give up, as multiples of the route's latency
	// objective and of its event interval.
	patienceObjectives = 4
	patienceIntervals  = 8
	// maxUncounted is the number of runs of one request that MaxAttempts does not count because their servers have ended. It
	// bounds how many servers a request that makes them crash can reach in one client attempt.
	maxUncounted = 1
)

// Patience returns the gap in a stream after which clients give up.
func Patience(objective, eventInterval time.Duration) time.Duration {
	return max(minPatience, patienceObjectives*objective, patienceIntervals*eventInterval)
}

// Break is what is known once a server has broken off a run.
type Break struct {
	// At is when the run broke off.
	At time.Time
	// LastRelayed is when the client got its last event; before the first, when its request arrived.
	LastRelayed time.Time
	// FirstEvent is how long the request took to its first event, the best estimate for the next run; zero if it had none.
	FirstEvent time.Duration
	// Patience is the gap after which the client gives up, RespondBy when it must have the whole response.
	Patience  time.Duration
	RespondBy time.Time
	// Sends is the number of runs so far and MaxAttempts their limit. Uncounted is the number of earlier runs that do not
	// count toward it.
	Sends, Uncounted, MaxAttempts int
	// ServerEnded is set if the server of this run is known to have ended, so that the run may be left uncounted.
	ServerEnded bool
	// Position is what the client has.
	Position Position
}

// Decision says what becomes of a stream that was broken off.
type Decision string

// The decisions. Only Continue and Restart send the request again.
const (
	// Continue asks another server for the events after the client's last one.
	Continue Decision = "continue"
	// Restart sends the request as the client sent it, since the client has no event.
	Restart Decision = "restart"
	// AttemptsSpent ends the stream, since no further server may get the request.
	AttemptsSpent Decision = "attempts_spent"
	// TooLate ends it, since the client would have given up before the next event.
	TooLate Decision = "too_late"
	// Unplaceable ends it, since the ids of its events are not consecutive, so that a missing event could not be noticed.
	Unplaceable Decision = "unplaceable"
)

// Sends reports whether the request is sent again.
func (d Decision) Sends() bool { return d == Continue || d == Restart }

// Decide decides what becomes of a stream that its server broke off.
//
// Load pattern: servers crash or are taken away while they run many streams each. Without resumption the clients repeat
// all of them from the start, prompt and output, at the servers that are left, and programs end late or not at all.
//
// A run counts toward MaxAttempts unless its server has ended. A run without any event always counts: requests that crash
// servers as soon as they run must not reach more of them than without resumption.
func Decide(b Break) Decision {
	switch next := b.At.Add(b.FirstEvent); {
	case b.Position.unplaceable:
		return Unplaceable
	case !next.Before(b.LastRelayed.Add(b.Patience)), !next.Before(b.RespondBy):
		return TooLate
	case b.Sends-b.Uncounted < b.MaxAttempts:
	case b.ServerEnded && b.Uncounted < maxUncounted && b.Position.started:
	default:
		return AttemptsSpent
	}
	if b.Position.started {
		return Continue
	}
	return Restart
}
