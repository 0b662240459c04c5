package ratelimit

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/routing"
)

// programLoad is programs of one account whose requests come to any instance.
type programLoad struct {
	seed      uint64
	instances int
	perS      float64
	// requests of a program, one after the other; a request comes so long after the one before it.
	requests int
	gap      time.Duration
	// limit of the account before and from loweredAt.
	limit, lowered float64
	loweredAt      time.Duration
	duration       time.Duration
}

// tolerableBroken is the share of the programs begun that may be broken off for their account's rate.
const tolerableBroken = 0.01

// clientTries is how often a client sends a request before its program fails, tryGap the time between two tries.
const (
	clientTries = 6
	tryGap      = 300 * time.Millisecond
)

type simProgram struct {
	began     time.Duration
	sent      int
	tries     int
	next      time.Duration
	isBroken  bool
	isRefused bool
}

// play returns the programs of a load. knowsFirst tells whether first requests are known as such.
func (l programLoad) play(knowsFirst bool) []*simProgram {
	rng := rand.New(rand.NewPCG(l.seed, 1))
	a := routing.Account{Name: "a", RequestsPerSecond: l.limit, Burst: l.limit}
	s := newSimulation(l.instances, a)
	for range int(warmUpTime / tick) {
		s.step(0)
	}
	var programs []*simProgram
	for at := time.Duration(0); at < l.duration; at += tick {
		s.now = s.now.Add(tick)
		if at >= l.loweredAt {
			a.RequestsPerSecond, a.Burst = l.lowered, l.lowered
			s.holders[0].configuration().Accounts[a.Name] = a
		}
		if rng.Float64() < l.perS*tick.Seconds() {
			programs = append(programs, &simProgram{began: at, next: at})
		}
		due := make([][]*simProgram, l.instances)
		for _, p := range programs {
			if p.next <= at && !p.isBroken && !p.isRefused && p.sent < l.requests {
				i := rng.IntN(l.instances)
				due[i] = append(due[i], p)
			}
		}
		for i, lim := range s.limiters {
			if len(due[i]) == 0 && int(at/tick)%int(heartbeat/tick) == 0 {
				lim.exchange(context.Background())
			}
			for _, p := range due[i] {
				p.request(at, l, lim, a, knowsFirst)
			}
		}
	}
	return programs
}

// request sends the next request of the program to an instance.
func (p *simProgram) request(at time.Duration, load programLoad, l *Limiter, a routing.Account, knowsFirst bool) {
	state := l.states[a.Name]
	state.arrivals++
	granted := state.takeToken(l.now())
	if !granted {
		w := state.addWaiter(l.now())
		l.exchange(context.Background())
		granted = l.cancelWait(state, w) == nil
	}
	if granted && knowsFirst && p.sent == 0 && l.DenyProgram(a) != nil {
		l.Refund(a)
		granted = false
	}
	if granted {
		p.sent, p.tries, p.next = p.sent+1, 0, at+load.gap
		return
	}
	p.next = at + tryGap
	if p.tries++; p.tries == clientTries {
		p.isRefused, p.isBroken = p.sent == 0, p.sent > 0
	}
}

// Load pattern: the limit of an account is lowered to half of what its programs ask for, while many of them are under way.
func TestLoweredLimitIsFollowedByFewerProgramsNotByBrokenOnes(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		l := programLoad{
			seed: seed, instances: 20, perS: 8, requests: 12, gap: 100 * time.Millisecond, limit: 120, lowered: 50,
			loweredAt: 3 * time.Second, duration: 15 * time.Second,
		}
		count := func(programs []*simProgram) (begun, broken, refused int) {
			for _, p := range programs {
				if p.sent > 0 {
					begun++
				}
				if p.isBroken {
					broken++
				}
				if p.isRefused {
					refused++
				}
			}
			return begun, broken, refused
		}
		begun, broken, refused := count(l.play(true))
		begunWithout, brokenWithout, _ := count(l.play(false))
		t.Logf("seed %d: %d programs begun, %d broken, %d refused; if first requests aren't known %d begun, %d broken", seed,
			begun, broken, refused, begunWithout, brokenWithout)
		is.True(float64(broken) <= tolerableBroken*float64(begun))
		is.True(float64(brokenWithout) > tolerableBroken*float64(begunWithout)) // the load is hard
	}
}
