package ratelimit

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/berylpond/berylpond/internal/backendlimit"
	"github.com/berylpond/berylpond/internal/routing"
)

// coldRule is the bound on the requests that a cold server gets in any coldWindow.
type coldRule struct{ perSecond, excess, slack float64 }

func (r coldRule) limit(id string) ServerLimit {
	rate, burst := ColdBucket(r.perSecond, r.excess, r.slack)
	return ServerLimit{Server: backendlimit.Server{ID: id}, RequestsPerSecond: rate, Cold: true, Burst: burst}
}

// check fails if any window of arrivals, in steps of tick, exceeds the bound. It returns the busiest window.
func (r coldRule) check(t interface{ Fatalf(string, ...any) }, arrivals []int) int {
	most := 0
	for i := range arrivals {
		sum := 0
		for _, n := range arrivals[i:min(i+int(coldWindow/tick), len(arrivals))] {
			sum += n
		}
		if allowed := r.perSecond*r.excess + r.slack; float64(sum) > allowed {
			t.Fatalf("%d requests in %v, %v are allowed", sum, coldWindow, allowed)
		}
		most = max(most, sum)
	}
	return most
}

// coldTraffic lets each instance try that many requests in a step, which arrive at the server up to ColdSendDelay later.
func (s *simulation) coldTraffic(limit ServerLimit, tries int, step int, arrivals []int) {
	s.now = s.now.Add(tick)
	for _, i := range rand.Perm(len(s.limiters)) {
		l := s.limiters[i]
		l.exchange(context.Background())
		for range tries {
			if !l.isEmpty(limit) && l.askForServer(limit) {
				arrivals[min(step+rand.IntN(int(ColdSendDelay/tick)), len(arrivals)-1)]++
			}
		}
	}
}

// Load pattern: a server comes back cold while the holder of its bucket changes, is lost, or serves only a part of the
// instances.
func TestColdServerStaysWithinItsBoundWhileHoldersChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "instances")
		s := newSimulation(n, routing.Account{Name: "a"})
		rule := coldRule{
			perSecond: rapid.Float64Range(0, 40).Draw(t, "per second"), excess: rapid.Float64Range(1, 2).Draw(t, "excess"),
			slack: rapid.Float64Range(0, 10).Draw(t, "slack"),
		}
		limit, holder, cutOff := rule.limit("x"), 0, 0
		arrivals := make([]int, int(8*time.Second/tick))
		for step := range arrivals {
			if rapid.IntRange(0, 30).Draw(t, "change") == 0 {
				next := rapid.IntRange(0, n-1).Draw(t, "holder")
				s.changeHolder(holder, next, rapid.Bool().Draw(t, "hand over"))
				holder = next
			}
			if rapid.IntRange(0, 40).Draw(t, "cut") == 0 {
				cutOff = rapid.IntRange(0, n-1).Draw(t, "cut off")
			}
			for i := range s.reaches {
				s.reaches[i] = holder
				if i < cutOff {
					s.reaches[i] = -1
				}
			}
			s.coldTraffic(limit, rapid.IntRange(0, 3).Draw(t, "tries"), step, arrivals)
		}
		rule.check(t, arrivals)
	})
}

// Load pattern: 60 instances have requests for the only server, which is cold.
func TestColdServerServesSixtyInstancesWithinItsBound(t *testing.T) {
	is := is.New(t)
	s := newSimulation(60, routing.Account{Name: "a"})
	rule := coldRule{perSecond: 20, excess: 1.5, slack: 5}
	arrivals := make([]int, int(6*time.Second/tick))
	for step := range arrivals {
		tries := 2
		if idle := step % 50; idle < 20 {
			tries = 0 // the bucket fills
		}
		s.coldTraffic(rule.limit("x"), tries, step, arrivals)
	}
	total := 0
	for _, n := range arrivals {
		total += n
	}
	t.Logf("%d in 6 s, at most %d in %v", total, rule.check(t, arrivals), coldWindow)
	is.True(total >= 6*20*6/10*3/4) // it is used while there is a demand
}

// Guards against the tokens of an instance's own share, of which each instance would have one.
func TestInstanceWithoutAHolderSendsAColdServerNothing(t *testing.T) {
	is := is.New(t)
	s := newSimulation(60, routing.Account{Name: "a"})
	rule := coldRule{perSecond: 20, excess: 1.5, slack: 5}
	arrivals := make([]int, int(30*time.Second/tick))
	for i := range s.reaches {
		s.reaches[i] = -1
	}
	for step := range arrivals {
		s.coldTraffic(rule.limit("x"), 2, step, arrivals)
	}
	is.Equal(rule.check(t, arrivals), 0)
}

// Load pattern: a server that is used at its announced limit turns cold; the instances hold tokens for it.
func TestTokensFromBeforeAServerIsColdAreDropped(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, routing.Account{Name: "a"})
	l, warm := s.limiters[0], ServerLimit{Server: backendlimit.Server{ID: "x"}, RequestsPerSecond: 100}
	for range 20 {
		s.take(warm, 1)
	}
	l.mu.Lock()
	l.server(warm).addWaiter(s.now)
	l.server(warm).addWaiter(s.now)
	l.mu.Unlock()
	l.servers[warm.Server].batches = []tokenBatch{{tokens: 5, expires: s.now.Add(grantTTL)}}
	cold := coldRule{perSecond: 20, excess: 1.5, slack: 5}.limit("x")
	is.True(!l.TakeForServer(cold))
	is.Equal(l.servers[warm.Server].heldTokens(s.now), int64(0))

	// The bucket had room for 50 tokens.
	granted := 0
	for range 10 {
		if l.askForServer(cold) {
			granted++
		}
	}
	is.True(granted <= 2)
}

func TestColdBucketIsDerivedFromTheBound(t *testing.T) {
	is := is.New(t)
	rate, burst := ColdBucket(20, 1.5, 5)
	is.Equal(rate, 20.0)
	is.Equal(burst, 2.5)
	rate, burst = ColdBucket(20, 0, 0) // no excess is tolerated
	is.Equal(rate, 12.0)
	is.Equal(burst, 1.0)
	rate, burst = ColdBucket(1, 1.5, 0)
	is.Equal(rate, 0.0) // two holders with one token each would exceed it
	is.Equal(burst, 0.0)
	is.Equal(backendlimit.Limit{}.WithCold(20, 2.5), backendlimit.Limit{Announced: true, RequestsPerSecond: 20, Cold: true, Burst: 2.5})
	announced := backendlimit.Limit{Announced: true, RequestsPerSecond: 10}
	is.Equal(announced.WithCold(20, 2.5), backendlimit.Limit{Announced: true, RequestsPerSecond: 10, Cold: true, Burst: 1.25})
}

// Load pattern: the holder is killed while 60 instances send to a cold server; the next one is known 1.5 s later.
func TestNextHolderServesAColdServerWithinItsBound(t *testing.T) {
	is := is.New(t)
	s := newSimulation(60, routing.Account{Name: "a"})
	rule := coldRule{perSecond: 20, excess: 1.5, slack: 5}
	lost, found := int(2*time.Second/tick), int(3500*time.Millisecond/tick)
	arrivals := make([]int, int(6*time.Second/tick))
	for step := range arrivals {
		if step == lost {
			s.changeHolder(0, 1, false)
		}
		for i := range s.reaches {
			switch {
			case step >= found:
				s.reaches[i] = 1
			case step >= lost:
				s.reaches[i] = -1
			}
		}
		s.coldTraffic(rule.limit("x"), 2, step, arrivals)
	}
	rule.check(t, arrivals)
	inFlight := int((grantTTL + ColdSendDelay) / tick)
	for _, n := range arrivals[lost+inFlight : found] {
		is.Equal(n, 0) // nobody grants
	}
	served := 0
	for _, n := range arrivals[len(arrivals)-int(time.Second/tick):] {
		served += n
	}
	is.True(served >= 15)
}

// Guards against a holder that gets its instances back granting what another one has granted meanwhile.
func TestColdBucketFillsAtTheShareThatItHad(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := &bucket{filled: now, created: now}
	b.grantCold(1, 2.5, 0, now)
	is.Equal(b.grantCold(20, 2.5, 10, now.Add(time.Second)).Tokens, int64(1))
	is.Equal(b.grantCold(20, 2.5, 10, now.Add(2*time.Second)).Tokens, int64(2))
}
