package queue

import (
	"container/heap"
	"math"
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// sharedAccount is the account of all calls when FairQueueing is off.
const sharedAccount = ""

// newProgramService is the attained service, in cost units, assumed for a program that has not had a turn yet, so that
// programs with earlier turns are served first.
const newProgramService = 1 << 16

// Queue holds the waiting calls of one group. It is not safe for concurrent use.
type Queue struct {
	settings  *framework.Settings
	accounts  map[string]*account
	items     map[string]*Item
	expiries  expiryHeap
	startTime time.Time
	seq       uint64
	// virtualTime is the start tag of the last granted call.
	virtualTime float64
	// meanCost is a moving mean of the cost of a call.
	meanCost float64
}

type account struct {
	name   string
	weight float64
	// finishTag is the virtual time at which the service received so far ends.
	finishTag float64
	waiting   keyHeap
	// waitingNew counts the waiting calls of programs that have not had a turn yet.
	waitingNew int
	// inFlight counts the account's granted calls that have not been settled.
	inFlight int
	// refusedSinceGrant counts the refusals since the account's last grant.
	refusedSinceGrant int
}

// New returns an empty queue. It reads the settings at each use, so they may change later.
func New(s *framework.Settings) *Queue {
	return &Queue{settings: s, accounts: map[string]*account{}, items: map[string]*Item{}}
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return len(q.items) }

// Arrival is a call to be queued.
type Arrival struct {
	Call framework.Call
	// AttainedService is what its root program has received so far, in cost units.
	AttainedService float64
	// ProgramAge is the time since the first call of its root program.
	ProgramAge time.Duration
	// ExpiresAt is when the call is refused if it is still waiting.
	ExpiresAt time.Time
}

// maxProgramAge bounds the age used for ordering, so that a program that never ends does not gain priority without
// limit.
const maxProgramAge = time.Minute

// Push queues a call.
func (q *Queue) Push(now time.Time, in Arrival) {
	c := in.Call
	if q.startTime.IsZero() {
		q.startTime = now
	}
	a := q.account(&c)
	if len(a.waiting) == 0 {
		a.finishTag = max(a.finishTag, q.virtualTime-q.burstCredit(a))
	}
	q.seq++
	it := &Item{Call: c, Enqueued: now, ExpiresAt: in.ExpiresAt, account: a, seq: q.seq}
	if q.settings.LeastAttainedService {
		startOffset := now.Sub(q.startTime) - min(maxProgramAge, in.ProgramAge)
		it.sortKey = sortKey(q.effectiveService(&c, in.AttainedService), startOffset, q.settings.AgeingHalfLife)
	} else {
		it.sortKey = float64(q.seq)
	}
	if !c.Started() {
		a.waitingNew++
	}
	q.items[c.ID] = it
	heap.Push(&a.waiting, it)
	heap.Push(&q.expiries, it)
}

// effectiveService returns the service by which a call is ordered. It includes the expected cost of the call itself.
func (q *Queue) effectiveService(c *framework.Call, service float64) float64 {
	if !c.Started() {
		return newProgramService
	}
	return service + float64(c.NewTokens) + float64(c.ExpectedOutput)*q.settings.Cost.Completion
}

func (q *Queue) account(c *framework.Call) *account {
	name := sharedAccount
	if q.settings.FairQueueing {
		name = c.Account
	}
	a := q.accounts[name]
	if a == nil {
		a = &account{name: name, finishTag: math.Inf(-1)}
		q.accounts[name] = a
	}
	a.weight = 1
	if q.settings.FairQueueing && c.Weight > 0 {
		a.weight = c.Weight
	}
	return a
}

// Pop removes and returns the call to serve next, or nil if none waits. The caller must pass it to Charge or to
// Requeue.
func (q *Queue) Pop() *Item {
	a := q.nextAccount()
	if a == nil {
		return nil
	}
	return heap.Pop(&a.waiting).(*Item)
}

// nextAccount returns the account to serve next: among the accounts whose service is within the fairness window of the
// least-served one, the account whose first call has the smallest sort key.
func (q *Queue) nextAccount() *account {
	var least *account
	for _, a := range q.accounts {
		if len(a.waiting) > 0 && (least == nil || a.finishTag < least.finishTag || (a.finishTag == least.finishTag && a.name < least.name)) {
			least = a
		}
	}
	if least == nil {
		return nil
	}
	best, limit := least, least.finishTag+q.fairnessWindow()
	for _, a := range q.accounts {
		if len(a.waiting) > 0 && a.finishTag <= limit && itemLess(a.waiting[0], best.waiting[0]) {
			best = a
		}
	}
	return best
}

func itemLess(a, b *Item) bool { return keyHeap{a, b}.Less(0, 1) }

// fairnessWindow returns how much more service, in cost units, one account may have received than another in exchange
// for lower program latency.
func (q *Queue) fairnessWindow() float64 {
	o := q.settings.Objective
	fairnessWeight := max(0.25, o.RelativeWeight(o.WorstServedAccount))
	return q.meanCost * min(4, o.RelativeWeight(o.ProgramLatency)/fairnessWeight)
}

// burstCreditCalls bounds the service, in mean call costs, that an account with less demand than its share can catch up
// on.
const burstCreditCalls = 64

// burstCredit lets short bursts of an account above its share go ahead of accounts that exceed theirs continuously.
func (q *Queue) burstCredit(a *account) float64 { return burstCreditCalls * q.meanCost / a.weight }

// Requeue puts a popped call back with its order unchanged.
func (q *Queue) Requeue(it *Item) {
	if !it.removed {
		heap.Push(&it.account.waiting, it)
	}
}

// Charge removes a popped call that was granted and charges its expected cost to its account.
func (q *Queue) Charge(it *Item, cost float64) {
	a := it.account
	q.virtualTime = max(q.virtualTime, a.finishTag)
	a.finishTag += cost / a.weight
	a.refusedSinceGrant = 0
	a.inFlight++
	if q.meanCost == 0 {
		q.meanCost = cost
	}
	q.meanCost += meanCostGain * (cost - q.meanCost)
	q.unregister(it)
}

// meanCostGain is the weight of a new sample in meanCost.
const meanCostGain = 0.05

// AdjustCharge adjusts the service of an account by the difference between the actual and the expected cost of a call.
func (q *Queue) AdjustCharge(accountName string, difference float64) {
	if !q.settings.FairQueueing {
		accountName = sharedAccount
	}
	a := q.accounts[accountName]
	if a == nil {
		return
	}
	a.finishTag += difference / a.weight
	a.inFlight--
	q.removeIfIdle(a)
}

// removeIfIdle removes an account that has no calls and whose finish tag carries no state: a new account would start at
// the same one.
func (q *Queue) removeIfIdle(a *account) {
	if len(a.waiting) == 0 && a.inFlight <= 0 && a.finishTag <= q.virtualTime-q.burstCredit(a) {
		delete(q.accounts, a.name)
	}
}

// Remove removes and returns a waiting call, or nil if there is none with that ID.
func (q *Queue) Remove(id string) *Item {
	it := q.items[id]
	if it == nil {
		return nil
	}
	if it.heapIndex != notInHeap {
		heap.Remove(&it.account.waiting, it.heapIndex)
	}
	q.unregister(it)
	q.removeIfIdle(it.account)
	return it
}

// unregister removes an item that is in no account's heap from the queue's other structures.
func (q *Queue) unregister(it *Item) {
	it.removed = true
	if it.expiryIndex != notInHeap {
		heap.Remove(&q.expiries, it.expiryIndex)
	}
	if !it.Call.Started() {
		it.account.waitingNew--
	}
	delete(q.items, it.Call.ID)
}

// PopExpired removes and returns one call whose ExpiresAt time has passed, or nil if there is none.
func (q *Queue) PopExpired(now time.Time) *Item {
	if len(q.expiries) == 0 || q.expiries[0].ExpiresAt.After(now) {
		return nil
	}
	return q.Remove(q.expiries[0].Call.ID)
}
