package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/placement"
)

const (
	// backlogTime is how soon after a burst callers expect to be served as before it.
	backlogTime = 2 * time.Second
	// nearlyAll is the share of programs that must end in time where there is room for them.
	nearlyAll = 0.98
	// wellUsed is the share of the programs that the places can carry which must end in time under overload.
	wellUsed = 0.8
	step     = 100 * time.Millisecond
)

// carried is the share of the programs begun in a time that the places of that time can carry.
func (l load) carried(from, to time.Duration) float64 {
	r := &replay{load: l}
	var places, programs float64
	for r.now = from; r.now < to; r.now += time.Millisecond {
		places += float64(r.placesNow())
		for a := range l.accounts {
			rate := l.programsPerS
			if r.isLoud(a) {
				rate *= l.loudFactor
			}
			programs += rate / 1000
		}
	}
	return min(places*float64(time.Millisecond)/float64(l.turnTime)/float64(l.turns)/programs, 1)
}

// busyService is a service that is seven tenths taken before anything happens.
func busyService(seed uint64) load {
	return load{
		seed: seed, duration: 14 * time.Second, places: 40, accounts: 10, programsPerS: 7, loudFactor: 1, turns: 4,
		turnTime: 100 * time.Millisecond, pause: 50 * time.Millisecond, objective: 400 * time.Millisecond, aimFactor: 1.7,
	}
}

// refusesUnderWayBesideFirstTurns reports whether a turn of a program under way was refused while a first turn was admitted.
func (r result) refusesUnderWayBesideFirstTurns() bool {
	for _, at := range r.refusedUnderWay {
		for _, first := range r.admittedFirst {
			if first > at-step && first < at+step {
				return true
			}
		}
	}
	return false
}

// checkBounds checks what holds under any load.
func (r result) checkBounds(is *is.I, l load) {
	is.Helper()
	is.True(!r.refusesUnderWayBesideFirstTurns())
	is.True(r.longestHold <= l.objective/holdFraction) // nobody is held longer than a refusal is of use
	distinct := map[time.Duration]bool{}
	for _, after := range r.retryAfters {
		is.True(after > 0 && after <= clientDeadline/honouredFraction)
		distinct[after] = true
	}
	is.True(len(distinct) >= len(r.retryAfters)/2) // clients are not told to come back at one moment
}

func TestNothingWaitsAndNothingIsRefusedBesideFreePlaces(t *testing.T) {
	is := is.New(t)
	l := busyService(1)
	l.programsPerS = 4
	r := l.play(true)
	is.Equal(r.refusals, 0)
	is.Equal(r.longestHold, time.Duration(0))
	is.Equal(r.inTimeShare(begunBetween(0, l.duration)), 1.0)
}

// Load pattern: for three seconds, two and a half times as many programs begin.
func TestBacklogEndsSoonAfterABurst(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		l := busyService(seed)
		l.everyoneIsLoud, l.loudFactor, l.loudFrom, l.loudTo = true, 2.5, 2*time.Second, 5*time.Second
		afterwards := begunBetween(l.loudTo+backlogTime, l.duration)
		during := begunBetween(l.loudFrom, l.loudTo+backlogTime)
		r, without := l.play(true), l.play(false)
		t.Logf("seed %d: in time %.3f during and %.3f after, %d refusals; without admission %.3f and %.3f", seed,
			r.inTimeShare(during), r.inTimeShare(afterwards), r.refusals, without.inTimeShare(during), without.inTimeShare(afterwards))
		r.checkBounds(is, l)
		is.True(r.inTimeShare(afterwards) >= nearlyAll)
		is.True(without.inTimeShare(afterwards) < nearlyAll) // the load is hard
		is.True(r.inTimeShare(during) >= wellUsed*l.carried(l.loudFrom, l.loudTo+backlogTime))
		is.True(without.inTimeShare(during) < wellUsed*l.carried(l.loudFrom, l.loudTo+backlogTime))
	}
}

// Load pattern: the same burst over many instances, which learn of each other's requests a few times a second.
func TestBacklogEndsSoonAfterABurstOverManyInstances(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		l := busyService(seed)
		l.places, l.programsPerS = 5*l.places, 5*l.programsPerS
		l.instances, l.loadsEvery = 40, 350*time.Millisecond
		l.everyoneIsLoud, l.loudFactor, l.loudFrom, l.loudTo = true, 2.5, 2*time.Second, 5*time.Second
		afterwards := begunBetween(l.loudTo+backlogTime, l.duration)
		during := begunBetween(l.loudFrom, l.loudTo+backlogTime)
		r := l.play(true)
		t.Logf("seed %d: in time %.3f during and %.3f after, %d refusals", seed, r.inTimeShare(during), r.inTimeShare(afterwards),
			r.refusals)
		is.True(r.inTimeShare(during) >= wellUsed*l.carried(l.loudFrom, l.loudTo+backlogTime))
		is.True(r.inTimeShare(afterwards) >= nearlyAll)
	}
}

// Load pattern: half of the servers are lost for five seconds.
func TestBacklogEndsSoonAfterServersReturn(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		l := busyService(seed)
		l.lossFrom, l.lossTo, l.placesLeft = 2*time.Second, 7*time.Second, l.places/2
		afterwards := begunBetween(l.lossTo+backlogTime, l.duration)
		during := begunBetween(l.lossFrom, l.lossTo)
		r, without := l.play(true), l.play(false)
		t.Logf("seed %d: in time %.3f during and %.3f after, %d refusals; without admission %.3f and %.3f", seed,
			r.inTimeShare(during), r.inTimeShare(afterwards), r.refusals, without.inTimeShare(during), without.inTimeShare(afterwards))
		r.checkBounds(is, l)
		is.True(r.inTimeShare(afterwards) >= nearlyAll)
		is.True(r.inTimeShare(during) >= wellUsed*l.carried(l.lossFrom, l.lossTo))
		is.True(without.inTimeShare(during) < wellUsed*l.carried(l.lossFrom, l.lossTo)) // the load is hard
	}
}

// Load pattern: one account sends ten times its traffic for five seconds.
func TestAccountWithinItsRateIsServedBesideALoudOne(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		l := busyService(seed)
		l.programsPerS = 6
		l.loudFactor, l.loudFrom, l.loudTo = 10, 2*time.Second, 7*time.Second
		quiet := func(p *replayedProgram) bool {
			return p.account != "a" && begunBetween(l.loudFrom, l.loudTo+backlogTime)(p)
		}
		r, without := l.play(true), l.play(false)
		t.Logf("seed %d: quiet accounts in time %.3f, %d refusals; without admission %.3f", seed, r.inTimeShare(quiet), r.refusals,
			without.inTimeShare(quiet))
		r.checkBounds(is, l)
		is.True(r.inTimeShare(quiet) >= nearlyAll)
		is.True(without.inTimeShare(quiet) < nearlyAll)
	}
}

var now = epoch

// offer offers a request with defaults to a queue whose places are taken, and returns it.
func offer(q *Queue, change func(*Request)) *Waiter {
	r := Request{Account: "a", Arrived: now, RespondBy: now.Add(time.Second), Objective: 400 * time.Millisecond}
	change(&r)
	w, _ := q.Offer(now, r, full)
	return w
}

var full = placement.Outlook{Servers: 1, Places: 10, Service: 50 * time.Millisecond}

func withFree(n int) placement.Outlook {
	o := full
	o.Free = n
	return o
}

func TestFreePlacesGoToTheMostUrgentFirst(t *testing.T) {
	is := is.New(t)
	q := NewQueue(nil)
	first := func(r *Request) {
		r.Class, r.Objective, r.RespondBy = FirstTurn, 4*time.Second, now.Add(10*time.Second)
	}
	late := offer(q, func(r *Request) { first(r); r.FinishBy = now.Add(time.Millisecond) })
	sibling := offer(q, first)
	other := offer(q, func(r *Request) { first(r); r.Account = "b" })
	underWay := offer(q, func(r *Request) {})
	urgent := offer(q, func(r *Request) { first(r); r.Priority = -1 })
	again := offer(q, func(r *Request) { first(r); r.Account, r.RefusedBefore = "c", true })
	for _, want := range []*Waiter{urgent, underWay, again, other, sibling, late} {
		decided := q.Review(now, withFree(1))
		is.Equal(len(decided), 1)
		is.Equal(decided[0], want)
		is.Equal(want.Decision.Cause, CauseFree)
		q.Sent()
		q.Ended(full.Service) // and its place is the next free one
	}
}

func TestUnknownFiguresAdmit(t *testing.T) {
	is := is.New(t)
	q := NewQueue(nil)
	for _, o := range []placement.Outlook{{}, {Servers: 1, Places: 10}, {Places: 10, Service: time.Second}} {
		w, _ := q.Offer(now, Request{Class: FirstTurn, Arrived: now, RespondBy: now.Add(time.Second), Objective: time.Second}, o)
		is.Equal(w.Decision.Cause, CauseUnknown)
	}
	is.Equal(offer(q, func(r *Request) { r.Objective = 0 }).Decision.Cause, CauseUnknown) // as does a route without objective
}

func TestWhatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	q := NewQueue(nil)
	o := full
	o.Wait = 2 * time.Second
	w, _ := q.Offer(now, Request{Arrived: now, RespondBy: now.Add(time.Second), Objective: time.Second}, o)
	is.Equal(w.Decision.Outcome, Refuse)
	is.Equal(w.Decision.Cause, CauseTooLate)
	is.True(w.Decision.RetryAfter <= time.Second/honouredFraction) // the client honours it
}

func TestTurnUnderWayIsSentOnWhenNoPlaceComesFree(t *testing.T) {
	is := is.New(t)
	q := NewQueue(nil)
	w := offer(q, func(r *Request) {})
	is.Equal(q.Len(), 1)
	is.Equal(len(q.Review(w.heldUntil(), full)), 1)
	is.Equal(w.Decision.Outcome, Admit)
	is.Equal(w.Decision.Cause, CauseHeld)
}

func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	q := NewQueue(nil)
	for range 2 * maxWaiting {
		offer(q, func(r *Request) { r.Class = FirstTurn; r.Bytes = 1 })
	}
	is.True(q.Len() <= maxWaiting)
	q = NewQueue(nil)
	large := offer(q, func(r *Request) { r.Class = FirstTurn; r.Bytes = maxWaitingBytes })
	is.Equal(q.Len(), 1)
	is.Equal(offer(q, func(r *Request) { r.Class = FirstTurn; r.Bytes = 1 }).Decision.Cause, CauseQueueFull)
	q.Withdraw(large)
	is.Equal(q.Len(), 0)
	is.Equal(q.bytes, 0)
	is.Equal(q.Review(now, withFree(1)), nil)
}

func BenchmarkOffer(b *testing.B) {
	q := NewQueue(nil)
	for range maxWaiting / 4 {
		offer(q, func(*Request) {})
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Withdraw(offer(q, func(*Request) {}))
	}
}
