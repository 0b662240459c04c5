package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/berylpond/berylpond/internal/placement"
)

// load is what arrives at one service, and the places that the service has.
type load struct {
	seed     uint64
	duration time.Duration
	// places of the service, and what remains of them from lossFrom to lossTo.
	places, placesLeft int
	lossFrom, lossTo   time.Duration
	// programs per second of each account, and the factor by which those of the loud account exceed it from loudFrom to loudTo.
	accounts int
	// instances that the requests come to at random, one if zero. Each knows what it has sent itself, and learns what the others
	// have sent every loadsEvery.
	instances        int
	loadsEvery       time.Duration
	programsPerS     float64
	loudFactor       float64
	loudFrom, loudTo time.Duration
	// everyoneIsLoud makes it a burst of all accounts.
	everyoneIsLoud bool
	turns          int
	turnTime       time.Duration
	pause          time.Duration
	objective      time.Duration
	// aimFactor times the time of a program on idle servers, and the objective, is its time to finish.
	aimFactor float64
}

const (
	clientDeadline = 4 * time.Second
	// clientAttempts is how often a client sends a request, turnTries how often it tries a turn.
	clientAttempts = 2
	turnTries      = 3
)

// result is what the clients saw.
type result struct {
	programs []*replayedProgram
	// refusedUnderWay counts refusals of turns of programs under way, admittedFirst the first turns admitted by each moment.
	refusedUnderWay []time.Duration
	admittedFirst   []time.Duration
	longestHold     time.Duration
	refusals        int
	retryAfters     []time.Duration
}

type replayedProgram struct {
	account   string
	began     time.Duration
	ended     time.Duration
	finishBy  time.Duration
	turn, try int
	turnTimes []time.Duration
	pauses    []time.Duration
	refused   bool
	isDone    bool
}

func (p *replayedProgram) inTime() bool { return p.isDone && p.ended <= p.finishBy }

// replay plays a load in virtual time, with the decisions of a queue, or with every request sent at once.
type replay struct {
	load
	result
	rng    *rand.Rand
	now    time.Duration
	events events
	queues []*Queue
	// inFlight counts the requests that each instance has sent. The rest is their state when loads were last exchanged.
	inFlight     []int
	knownOwn     []int
	knownAll     int
	lastExchange time.Duration
	on           bool
	running      int
	// backlog holds the requests that wait at the servers.
	backlog []*attempt
	waiting map[*Waiter]*attempt
}

type attempt struct {
	p         *replayedProgram
	n         int
	respondBy time.Duration
	sent      time.Duration
	// instance that the request came to.
	instance int
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (r *replay) after(d time.Duration, do func()) { heap.Push(&r.events, event{r.now + d, do}) }

var epoch = time.Unix(1_000_000, 0)

func (l load) play(on bool) result {
	r := &replay{load: l, on: on, rng: rand.New(rand.NewPCG(l.seed, 1)), waiting: map[*Waiter]*attempt{}}
	n := max(l.instances, 1)
	r.inFlight, r.knownOwn = make([]int, n), make([]int, n)
	for range n {
		r.queues = append(r.queues, NewQueue(r.rng.Float64))
	}
	for a := range l.accounts {
		r.after(0, func() { r.arrive(a) })
	}
	const reviewInterval = 5 * time.Millisecond
	for at := time.Duration(0); at < l.duration+2*clientDeadline; at += reviewInterval {
		heap.Push(&r.events, event{at, r.review})
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return r.result
}

func (r *replay) isLoud(account int) bool {
	return (account == 0 || r.everyoneIsLoud) && r.now >= r.loudFrom && r.now < r.loudTo
}

func (r *replay) arrive(account int) {
	if r.now > r.duration {
		return
	}
	rate := r.programsPerS
	if r.isLoud(account) {
		rate *= r.loudFactor
	}
	r.after(time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		p := &replayedProgram{account: string(rune('a' + account)), began: r.now, turn: 1, try: 1}
		var idle time.Duration
		for range r.turns {
			p.turnTimes, p.pauses = append(p.turnTimes, r.vary(r.turnTime)), append(p.pauses, r.vary(r.pause))
			idle += p.turnTimes[len(p.turnTimes)-1] + p.pauses[len(p.pauses)-1]
		}
		p.finishBy = r.now + time.Duration(r.aimFactor*float64(idle)) + r.objective
		r.programs = append(r.programs, p)
		r.request(&attempt{p: p, n: 1, respondBy: r.now + clientDeadline})
		r.arrive(account)
	})
}

// vary returns a time between half of the mean and one and a half of it.
func (r *replay) vary(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(r.rng.Int64N(int64(mean)))
}

func (r *replay) placesNow() int {
	if r.now >= r.lossFrom && r.now < r.lossTo {
		return r.placesLeft
	}
	return r.places
}

func (r *replay) outlook(instance int) placement.Outlook {
	places := r.placesNow()
	if r.now-r.lastExchange >= r.loadsEvery {
		r.lastExchange, r.knownAll = r.now, r.running+len(r.backlog)
		copy(r.knownOwn, r.inFlight)
	}
	taken := r.knownAll - r.knownOwn[instance] + r.inFlight[instance]
	o := placement.Outlook{Servers: places, Places: places, Free: max(places-taken, 0), Service: r.turnTime}
	if o.Free == 0 {
		o.Wait = time.Duration(max(taken-places, 0)+1) * r.turnTime / time.Duration(places)
	}
	return o
}

func (r *replay) request(a *attempt) {
	if !r.on {
		r.send(a)
		return
	}
	req := Request{
		Account: a.p.account, RefusedBefore: a.p.refused, Arrived: epoch.Add(r.now), RespondBy: epoch.Add(a.respondBy),
		FinishBy: epoch.Add(a.p.finishBy), Objective: r.objective, Bytes: 1,
	}
	if a.p.turn == 1 {
		req.Class = FirstTurn
		req.ProgramTime = time.Duration(r.turns)*(r.turnTime+r.pause) - r.pause
	}
	a.instance = r.rng.IntN(len(r.queues))
	w, decided := r.queues[a.instance].Offer(epoch.Add(r.now), req, r.outlook(a.instance))
	r.waiting[w] = a
	r.settle(decided)
}

func (r *replay) review() {
	for i := range r.queues {
		r.reviewAt(i)
	}
}

func (r *replay) reviewAt(instance int) {
	r.settle(r.queues[instance].Review(epoch.Add(r.now), r.outlook(instance)))
}

func (r *replay) settle(decided []*Waiter) {
	for _, w := range decided {
		a := r.waiting[w]
		delete(r.waiting, w)
		r.longestHold = max(r.longestHold, r.now-w.Arrived.Sub(epoch))
		if w.Decision.Outcome == Admit {
			if w.Class == FirstTurn {
				r.admittedFirst = append(r.admittedFirst, r.now)
			}
			r.queues[a.instance].Sent()
			r.send(a)
			continue
		}
		r.refusals++
		r.retryAfters = append(r.retryAfters, w.Decision.RetryAfter)
		if w.Class == UnderWay {
			r.refusedUnderWay = append(r.refusedUnderWay, r.now)
		}
		a.p.refused = true
		left := a.respondBy - r.now
		wait := min(w.Decision.RetryAfter, left/honouredFraction)
		if a.n < clientAttempts {
			r.after(wait, func() { r.request(&attempt{p: a.p, n: a.n + 1, respondBy: a.respondBy}) })
			continue
		}
		r.failTurn(a)
	}
}

func (r *replay) failTurn(a *attempt) {
	if a.p.try++; a.p.try > turnTries {
		return
	}
	r.after(100*time.Millisecond+time.Duration(r.rng.Int64N(int64(300*time.Millisecond))), func() {
		r.request(&attempt{p: a.p, n: 1, respondBy: r.now + clientDeadline})
	})
}

// leave records that a request has left its server.
func (r *replay) leave(a *attempt) {
	r.inFlight[a.instance]--
	r.queues[a.instance].Ended(r.now - a.sent)
}

func (r *replay) send(a *attempt) {
	r.inFlight[a.instance]++
	a.sent = r.now
	r.backlog = append(r.backlog, a)
	r.start()
}

func (r *replay) start() {
	for r.running < r.placesNow() && len(r.backlog) > 0 {
		a := r.backlog[0]
		r.backlog = r.backlog[1:]
		if r.now > a.respondBy {
			r.leave(a)
			r.failTurn(a)
			continue
		}
		r.running++
		r.after(a.p.turnTimes[a.p.turn-1], func() {
			r.running--
			r.leave(a)
			r.endTurn(a.p)
			r.start()
			r.reviewAt(a.instance)
		})
	}
}

func (r *replay) endTurn(p *replayedProgram) {
	if p.turn++; p.turn > r.turns {
		p.ended, p.isDone = r.now, true
		return
	}
	p.try = 1
	r.after(p.pauses[p.turn-2], func() { r.request(&attempt{p: p, n: 1, respondBy: r.now + clientDeadline}) })
}

// inTimeShare is the share of the programs that ended in time, among those that satisfy the condition.
func (r result) inTimeShare(of func(*replayedProgram) bool) float64 {
	n, inTime := 0, 0
	for _, p := range r.programs {
		if !of(p) {
			continue
		}
		n++
		if p.inTime() {
			inTime++
		}
	}
	return float64(inTime) / float64(max(n, 1))
}

func begunBetween(from, to time.Duration) func(*replayedProgram) bool {
	return func(p *replayedProgram) bool { return p.began >= from && p.began < to }
}
