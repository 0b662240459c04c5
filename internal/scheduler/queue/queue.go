package queue

import (
	"container/heap"
	"math"
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// everyone is the account of all calls where accounts are not told apart.
const everyone = ""

// newProgramService is the service that a program not yet begun is taken to have had, in cost units, so that programs
// already begun go first.
const newProgramService = 1 << 16

// Queue is not safe for concurrent use.
type Queue struct {
	settings *framework.Settings
	accounts map[string]*account
	items    map[string]*Item
	timers   byGiveUp
	start    time.Time
	seq      uint64
	// virtual is the start tag of the call that was granted last.
	virtual float64
	// meanCost is a moving mean of the calls' cost.
	meanCost float64
}

type account struct {
	name   string
	weight float64
	// finish is the virtual time at which the service received so far ends.
	finish  float64
	waiting byKey
	// unbegun counts the waiting calls of programs not yet begun.
	unbegun int
	// open counts the account's granted calls.
	open int
	// refused counts the refusals since the account's last grant.
	refused int
}

// New returns an empty queue. The settings may change later.
func New(s *framework.Settings) *Queue {
	return &Queue{settings: s, accounts: map[string]*account{}, items: map[string]*Item{}}
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return len(q.items) }

// Arrival is a call to be queued.
type Arrival struct {
	Call framework.Call
	// Service is what its root program has received so far, in cost units.
	Service float64
	// Age is the time since its root program began.
	Age time.Duration
	// GiveUp is when the call is refused if it still waits.
	GiveUp time.Time
}

// maxAge bounds the age that counts, so that a program that loops without end does not go first for ever.
const maxAge = time.Minute

// Push queues a call.
func (q *Queue) Push(now time.Time, in Arrival) {
	c := in.Call
	if q.start.IsZero() {
		q.start = now
	}
	a := q.account(&c)
	if len(a.waiting) == 0 {
		a.finish = max(a.finish, q.virtual-q.credit(a))
	}
	q.seq++
	it := &Item{Call: c, Enqueued: now, GiveUp: in.GiveUp, account: a, seq: q.seq}
	if q.settings.ProgramOrder {
		began := now.Sub(q.start) - min(maxAge, in.Age)
		it.key = orderKey(q.effective(&c, in.Service), began, q.settings.AgeingHalf)
	} else {
		it.key = float64(q.seq)
	}
	if !c.Begun() {
		a.unbegun++
	}
	q.items[c.ID] = it
	heap.Push(&a.waiting, it)
	heap.Push(&q.timers, it)
}

// effective is the service by which a program is ordered. The call's own cost is part of it.
func (q *Queue) effective(c *framework.Call, service float64) float64 {
	if !c.Begun() {
		return newProgramService
	}
	return service + float64(c.NewTokens) + float64(c.ExpectedOutput)*q.settings.Cost.Completion
}

func (q *Queue) account(c *framework.Call) *account {
	name := everyone
	if q.settings.FairAccounts {
		name = c.Account
	}
	a := q.accounts[name]
	if a == nil {
		a = &account{name: name, finish: math.Inf(-1)}
		q.accounts[name] = a
	}
	a.weight = 1
	if q.settings.FairAccounts && c.Weight > 0 {
		a.weight = c.Weight
	}
	return a
}

// Pop takes out the call that goes next, or nil. The caller must pass it to Charge or to Return.
func (q *Queue) Pop() *Item {
	a := q.next()
	if a == nil {
		return nil
	}
	return heap.Pop(&a.waiting).(*Item)
}

// next returns the account that goes first: of those whose service is within the fairness window of the least served
// one, the account whose first call has the smallest key.
func (q *Queue) next() *account {
	var least *account
	for _, a := range q.accounts {
		if len(a.waiting) > 0 && (least == nil || a.finish < least.finish || (a.finish == least.finish && a.name < least.name)) {
			least = a
		}
	}
	if least == nil {
		return nil
	}
	best, limit := least, least.finish+q.window()
	for _, a := range q.accounts {
		if len(a.waiting) > 0 && a.finish <= limit && byKeyLess(a.waiting[0], best.waiting[0]) {
			best = a
		}
	}
	return best
}

func byKeyLess(a, b *Item) bool { return byKey{a, b}.Less(0, 1) }

// window is the lead in service, in cost units, that one account may have over another for the sake of latency.
func (q *Queue) window() float64 {
	o := q.settings.Objective
	fair := max(0.25, o.Share(o.WorstServedAccount))
	return q.meanCost * min(4, o.Share(o.ProgramLatency)/fair)
}

// creditCalls is the service, in mean calls, that an account which asked for less than its share may catch up on.
const creditCalls = 64

// credit lets an account's short bursts above its share go ahead of accounts that are above theirs all the time.
func (q *Queue) credit(a *account) float64 { return creditCalls * q.meanCost / a.weight }

// Return puts a popped call back, with its order unchanged.
func (q *Queue) Return(it *Item) {
	if !it.gone {
		heap.Push(&it.account.waiting, it)
	}
}

// Charge removes a popped call that was granted, and counts its expected cost as service of its account.
func (q *Queue) Charge(it *Item, cost float64) {
	a := it.account
	q.virtual = max(q.virtual, a.finish)
	a.finish += cost / a.weight
	a.refused = 0
	a.open++
	if q.meanCost == 0 {
		q.meanCost = cost
	}
	q.meanCost += meanCostGain * (cost - q.meanCost)
	q.forget(it)
}

const meanCostGain = 0.05

// Settle corrects the service of an account by the difference of a call's real to its expected cost.
func (q *Queue) Settle(accountName string, difference float64) {
	if !q.settings.FairAccounts {
		accountName = everyone
	}
	a := q.accounts[accountName]
	if a == nil {
		return
	}
	a.finish += difference / a.weight
	a.open--
	q.collect(a)
}

// collect forgets an account that has nothing open and is not ahead of the others.
func (q *Queue) collect(a *account) {
	if len(a.waiting) == 0 && a.open <= 0 && a.finish <= q.virtual-q.credit(a) {
		delete(q.accounts, a.name)
	}
}

// Remove takes out a waiting call. It returns nil when there is none.
func (q *Queue) Remove(id string) *Item {
	it := q.items[id]
	if it == nil {
		return nil
	}
	if it.index != absent {
		heap.Remove(&it.account.waiting, it.index)
	}
	q.forget(it)
	q.collect(it.account)
	return it
}

// forget drops the bookkeeping of an item that is in no account's heap.
func (q *Queue) forget(it *Item) {
	it.gone = true
	if it.timer != absent {
		heap.Remove(&q.timers, it.timer)
	}
	if !it.Call.Begun() {
		it.account.unbegun--
	}
	delete(q.items, it.Call.ID)
}

// Expired takes out one call whose time to give up has come, or returns nil.
func (q *Queue) Expired(now time.Time) *Item {
	if len(q.timers) == 0 || q.timers[0].GiveUp.After(now) {
		return nil
	}
	return q.Remove(q.timers[0].Call.ID)
}
