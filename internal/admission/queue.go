package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/berylpond/berylpond/internal/placement"
)

// plentyFree is the share of the places that must be free for first turns to begin whatever the instance has in flight.
const plentyFree = 0.5

// refusedCredit is the number of turns of its account by which a request goes ahead whose program was refused before.
const refusedCredit = 1

// Waiter is a request that waits for a place.
type Waiter struct {
	Request
	// Decision is set once the request waits no longer.
	Decision Decision
	// tag orders the requests of different accounts: the virtual time at which the account's turn comes.
	tag float64
	seq uint64
	// sendAt is when a request under way is sent to wait at a server instead.
	sendAt time.Time
}

// Queue holds the requests that wait at one instance for places of one service. Accounts are served in turn (start-time
// fair queueing). It is not safe for concurrent use.
type Queue struct {
	pace pace
	// spread returns a random number in [0, 1).
	spread  func() float64
	waiting []*Waiter
	bytes   int
	seq     uint64
	// reserved counts the requests that were admitted to a free place and not sent yet.
	reserved int
	// virtualTime is the tag of the last admitted request, and finished the tag after the last waiting request by account.
	virtualTime float64
	finished    map[string]float64
}

// NewQueue returns an empty queue. spread returns a random number in [0, 1).
func NewQueue(spread func() float64) *Queue {
	if spread == nil {
		spread = rand.Float64
	}
	return &Queue{spread: spread, finished: map[string]float64{}, pace: pace{firstShare: 1, comeBacks: map[string]time.Time{}}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Offer decides on a new request and on those that wait. The new one is among the decided ones unless it has to wait.
// Each admitted request must be reported to Sent, and to Ended after that.
func (q *Queue) Offer(now time.Time, r Request, o placement.Outlook) (w *Waiter, decided []*Waiter) {
	w = &Waiter{Request: r}
	switch {
	case r.Objective <= 0 || o.Servers == 0 || o.Free <= 0 && q.pace.service(o) <= 0:
		q.admit(w, Decision{Cause: CauseUnknown, Outlook: o})
		return w, []*Waiter{w}
	case len(q.waiting) == 0 && q.hasRoom(now, r.Class, o):
		q.admit(w, Decision{Cause: CauseFree, Outlook: o})
		return w, []*Waiter{w}
	}
	q.enqueue(now, w, o)
	return w, q.Review(now, o)
}

func (q *Queue) enqueue(now time.Time, w *Waiter, o placement.Outlook) {
	q.seq++
	w.seq = q.seq
	w.tag = max(q.virtualTime, q.finished[w.Account])
	q.finished[w.Account] = w.tag + 1
	if w.RefusedBefore {
		w.tag -= refusedCredit
	}
	w.sendAt = w.heldUntil()
	if soon := now.Add(q.pace.expected(o, w.Class, ahead{})); soon.Before(w.sendAt) {
		w.sendAt = soon
	}
	q.waiting = append(q.waiting, w)
	q.bytes += w.Bytes
}

// Review decides on the waiting requests: a place may have come free, or the time of one of them be over.
func (q *Queue) Review(now time.Time, o placement.Outlook) (decided []*Waiter) {
	if len(q.waiting) == 0 {
		return nil
	}
	q.sort(now, o)
	var first ahead
	for i := 0; i < len(q.waiting); {
		w := q.waiting[i]
		d := q.decide(now, w, o, i, q.pace.expected(o, w.Class, first))
		if d.Outcome == Wait {
			first[w.Class]++
			i++
			continue
		}
		q.remove(i)
		decided = append(decided, w)
		if d.Outcome == Admit {
			q.virtualTime = max(q.virtualTime, w.tag)
			q.admit(w, d)
			continue
		}
		q.giveBack(w)
		d.RetryAfter = q.retryAfter(now, w, d)
		w.Decision = d
	}
	if len(q.waiting) == 0 {
		clear(q.finished)
	}
	return decided
}

// retryAfter returns when a refused request should come back. A program that can't end in time any more loses nothing by
// coming back later, when those that can have been served.
func (q *Queue) retryAfter(now time.Time, w *Waiter, d Decision) time.Duration {
	expected := d.Expected
	if !w.canFinish(now.Add(expected), q.pace.service(d.Outlook)) {
		expected = comeBackHorizon
	}
	return q.pace.comeBack(now, w.Account, expected, q.pace.firstInterval(d.Outlook), w.RespondBy.Sub(now), q.spread())
}

// sort puts the requests that go first to the front.
func (q *Queue) sort(now time.Time, o placement.Outlook) {
	service := q.pace.service(o)
	slices.SortFunc(q.waiting, func(a, b *Waiter) int {
		switch {
		case a.Priority != b.Priority:
			return a.Priority - b.Priority
		case a.Class != b.Class:
			return int(a.Class - b.Class)
		case a.canFinish(now, service) != b.canFinish(now, service):
			return trueFirst(a.canFinish(now, service))
		case a.tag != b.tag:
			return compare(a.tag < b.tag)
		default:
			return compare(a.seq < b.seq)
		}
	})
}

func compare(less bool) int {
	if less {
		return -1
	}
	return 1
}

func trueFirst(a bool) int { return compare(a) }

// decide decides on a waiting request with so many ahead of it.
func (q *Queue) decide(now time.Time, w *Waiter, o placement.Outlook, ahead int, expected time.Duration) Decision {
	d := Decision{Expected: expected, Ahead: ahead, Outlook: o}
	left := w.RespondBy.Sub(now)
	switch {
	case q.hasRoom(now, w.Class, o):
		d.Outcome, d.Cause = Admit, CauseFree
	case o.Servers == 0 || q.pace.service(o) <= 0:
		d.Outcome, d.Cause = Admit, CauseUnknown
	case d.Expected >= left || w.Class == FirstTurn && d.Expected+q.pace.service(o) > left:
		d.Outcome, d.Cause = Refuse, CauseTooLate
	case w.Class == UnderWay && !now.Before(w.sendAt):
		d.Outcome, d.Cause = Admit, CauseHeld
	case w.Class == FirstTurn && now.Add(d.Expected).After(w.heldUntil()):
		d.Outcome, d.Cause = Refuse, CauseNoRoom
	case ahead >= maxWaiting || q.bytes > maxWaitingBytes && ahead == len(q.waiting)-1:
		d.Outcome, d.Cause = Refuse, CauseQueueFull
		if w.Class == UnderWay {
			d.Outcome = Admit
		}
	}
	return d
}

// hasRoom reports whether a request of the class may begin. Turns under way take any free place. First turns also keep to the
// instance's share of the places: what others have sent is known late, and all of them see the same free places.
func (q *Queue) hasRoom(now time.Time, c Class, o placement.Outlook) bool {
	isFree := o.Free > q.reserved
	if c == UnderWay || float64(o.Free) >= plentyFree*float64(o.Places) {
		return isFree
	}
	share := q.pace.share(now, o)
	if isFree {
		share = max(share, 1)
	}
	return float64(q.pace.inFlight+q.reserved) < share
}

func (q *Queue) remove(i int) {
	w := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.bytes -= w.Bytes
}

// giveBack makes the account's next request take the turn of one that got no place.
func (q *Queue) giveBack(w *Waiter) {
	q.finished[w.Account] = max(q.finished[w.Account]-1, q.virtualTime)
}

// admit reserves a place for the request until it is sent.
func (q *Queue) admit(w *Waiter, d Decision) {
	d.Outcome = Admit
	w.Decision = d
	q.reserved++
	q.pace.admitted(w.Class)
}

// Withdraw removes a request whose client has left. It does nothing if the request waits no longer.
func (q *Queue) Withdraw(w *Waiter) {
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.remove(i)
		q.giveBack(w)
	}
}

// Sent records that an admitted request was given a server, which counts it from now on.
func (q *Queue) Sent() {
	q.reserved--
	q.pace.inFlight++
}

// NotSent records that an admitted request was not sent.
func (q *Queue) NotSent() { q.reserved-- }

// Ended records that a sent request has left its server, and how long it was there.
func (q *Queue) Ended(took time.Duration) { q.pace.ended(took) }
