package ratelimit

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/routing"
)

// Limits of the platform's rule on rates, and the step and warm-up time of the simulation.
const (
	window     = 5 * time.Second
	excess     = 0.1
	tolerance  = 20
	tick       = 50 * time.Millisecond
	warmUpTime = 2 * time.Second
)

// simulation is a set of instances in simulated time, each of which can hold the buckets.
type simulation struct {
	now      time.Time
	account  routing.Account
	holders  []*BucketHolder
	limiters []*Limiter
	// reaches is, by instance, the index of the holder that it reaches, or -1.
	reaches []int
	// isolatedSince is, by instance, when it lost the store, or zero while it reaches the store. Only a holder that has
	// lost the store may continue after another one has taken over the buckets.
	isolatedSince []time.Time
	// released holds the former holders that have released the buckets and can still be reached. They continue to serve
	// the instances that request tokens from them.
	released map[string]bool
	// refundEvery makes each so manyth admitted request end without having run, and its token is refunded; zero for none.
	refundEvery int
	// tokens counts the tokens taken.
	tokens int
}

func newSimulation(n int, a routing.Account) *simulation {
	s := &simulation{now: time.Now(), account: a, reaches: make([]int, n), isolatedSince: make([]time.Time, n), released: map[string]bool{}}
	c := &routing.Configuration{Accounts: map[string]routing.Account{a.Name: a}}
	configuration := func() *routing.Configuration { return c }
	clock := func() time.Time { return s.now }
	for i := range n {
		self := fmt.Sprint("instance-", i)
		members := func() []string {
			var out []string
			for j := range n {
				if j != i {
					out = append(out, fmt.Sprint("instance-", j))
				}
			}
			return out
		}
		h := NewBucketHolder(configuration, members, self, func() HolderState { return s.holderState(self) }, func() time.Duration { return s.sinceContact(i) })
		h.now = clock
		l := NewLimiter(configuration, members, self, &simHolderClient{s, i})
		l.now, l.started = clock, s.now
		l.states[a.Name] = &tokenState{}
		s.holders, s.limiters = append(s.holders, h), append(s.limiters, l)
	}
	return s
}

func (s *simulation) sinceContact(i int) time.Duration {
	if s.isolatedSince[i].IsZero() {
		return 0
	}
	return s.now.Sub(s.isolatedSince[i])
}

func (s *simulation) holderState(instance string) HolderState {
	if s.released[instance] {
		return Retiring
	}
	return Holding
}

// changeHolder makes next the holder, either because the old one is isolated or after a hand-over that some instances
// notice later than others.
func (s *simulation) changeHolder(old, next int, handOver bool) {
	if old == next {
		return
	}
	s.isolatedSince[next] = time.Time{}
	delete(s.released, s.holders[next].self)
	if handOver {
		s.released[s.holders[old].self] = true
		return
	}
	s.isolatedSince[old] = s.now
}

// simHolderClient reaches only the holder that its instance reaches, and released holders.
type simHolderClient struct {
	*simulation
	instance int
}

func (t *simHolderClient) Holder() string {
	if t.reaches[t.instance] < 0 {
		return ""
	}
	return t.holders[t.reaches[t.instance]].self
}

func (t *simHolderClient) Take(_ context.Context, holder string, r *turnv1.TakeRequest) (*turnv1.TakeResponse, error) {
	if holder == "" || holder != t.Holder() && !t.released[holder] {
		return nil, errors.New("the holder is unreachable")
	}
	for _, h := range t.holders {
		if h.self == holder {
			return h.Take(context.Background(), r)
		}
	}
	return nil, errors.New("unknown holder")
}

// step advances the time by one tick and runs admit for each instance; it returns the number of admitted requests.
func (s *simulation) step(wanted int) int {
	s.now = s.now.Add(tick)
	admitted := 0
	for _, l := range s.limiters {
		admitted += s.admit(l, wanted)
	}
	return admitted
}

// admit lets one instance exchange a message with the holder and then take tokens for up to wanted requests; it returns
// how many got one and ran.
func (s *simulation) admit(l *Limiter, wanted int) int {
	state := l.states[s.account.Name]
	state.arrivals += int64(wanted)
	l.exchange(context.Background())
	ran := 0
	for range wanted {
		if !state.takeToken(s.now) {
			break
		}
		if s.tokens++; s.refundEvery > 0 && s.tokens%s.refundEvery == 0 {
			l.Refund(s.account)
			continue
		}
		ran++
	}
	return ran
}

func TestAccountStaysWithinItsRateWhileHoldersChangeAndInstancesAreIsolated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := routing.Account{Name: "a", RequestsPerSecond: rapid.Float64Range(20, 400).Draw(t, "rate")}
		a.Burst = a.RequestsPerSecond * rapid.Float64Range(0.2, 1).Draw(t, "burst")
		n := rapid.IntRange(2, 11).Draw(t, "instances")
		s := newSimulation(n, a)
		s.refundEvery = rapid.SampledFrom([]int{0, 1, 2, 10}).Draw(t, "refundEvery")
		limit := (a.RequestsPerSecond*window.Seconds()+a.Burst)*(1+excess) + tolerance
		var admitted []int
		old, next := 0, 0
		for i := range int(20 * time.Second / tick) {
			if i%40 == 39 && rapid.Bool().Draw(t, "change") {
				// Some instances keep reaching the old holder, some reach none, and the others reach the new one.
				old, next = next, rapid.IntRange(0, n-1).Draw(t, "holder")
				s.changeHolder(old, next, rapid.Bool().Draw(t, "handOver"))
				for j := range s.reaches {
					s.reaches[j] = []int{next, next, old, -1}[rapid.IntRange(0, 3).Draw(t, "reach")]
				}
			}
			admitted = append(admitted, s.step(int(a.RequestsPerSecond)))
			sum := 0
			for _, u := range admitted[max(0, len(admitted)-int(window/tick)):] {
				sum += u
			}
			if float64(sum) > limit {
				t.Fatalf("%d requests in a window, limit %.0f, rate %.0f, burst %.0f", sum, limit, a.RequestsPerSecond, a.Burst)
			}
		}
	})
}

func TestDemandBelowTheRateIsServed(t *testing.T) {
	is := is.New(t)
	s := newSimulation(9, routing.Account{Name: "a", RequestsPerSecond: 400, Burst: 400})
	for range int(warmUpTime / tick) {
		s.step(1)
	}
	requested, admitted := 0, 0
	for range int(10 * time.Second / tick) {
		admitted += s.step(1)
		requested += len(s.limiters)
	}
	is.Equal(admitted, requested)
}

// When the instances of a zone are isolated, their clients' traffic moves to the remaining instances, which must be
// able to use the rate that the isolated ones no longer need.
func TestDemandBelowTheRateIsServedWhileInstancesAreIsolated(t *testing.T) {
	for _, tt := range []struct {
		name string
		// before is the holder until the isolation, reachedAfter the one that the isolated instances reach after it.
		before, reachedAfter int
	}{{"the holder stays", 0, -1}, {"the holder is isolated", 8, 8}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(9, routing.Account{Name: "a", RequestsPerSecond: 400, Burst: 400})
			for j := range s.reaches {
				s.reaches[j] = tt.before
			}
			for range int(warmUpTime / tick) {
				s.step(1)
			}
			for j := 6; j < 9; j++ {
				s.isolatedSince[j], s.reaches[j] = s.now, tt.reachedAfter
			}
			for j := range 6 {
				s.reaches[j] = 0
			}
			requested, admitted := 0, 0
			for i := range int(10 * time.Second / tick) {
				s.now = s.now.Add(tick)
				for j, l := range s.limiters {
					if j >= 6 {
						l.exchange(t.Context())
						continue
					}
					// Three quarters of the rate, all of it at the two thirds of the instances that are not isolated.
					wanted := 2 + i%2
					got := s.admit(l, wanted)
					if i > int(3*time.Second/tick) {
						requested, admitted = requested+wanted, admitted+got
					}
				}
			}
			is.Equal(admitted, requested)
		})
	}
}

// isGranted reports whether a request that waits at the instance gets a token with the instance's next request to the
// holder.
func (s *simulation) isGranted(l *Limiter) bool {
	w := &waiter{granted: make(chan bool, 1)}
	l.states[s.account.Name].waiters = []*waiter{w}
	l.exchange(context.Background())
	select {
	case ok := <-w.granted:
		return ok
	default:
		return false
	}
}

// A program of a small account may make several calls at once through different instances.
func TestSmallAccountMayUseItsWholeBurstAtOnce(t *testing.T) {
	is := is.New(t)
	s := newSimulation(9, routing.Account{Name: "a", RequestsPerSecond: 4, Burst: 4})
	for range int(warmUpTime / tick) {
		s.step(0)
	}
	s.now = s.now.Add(tick)
	for _, l := range s.limiters[:4] {
		is.True(s.isGranted(l))
	}
}

// A program whose budget is spent sends twice the account's rate. All of its requests are refused, so the account's other
// program, which stays well below the rate, must get a token for each of its requests.
func TestRefusedRequestsLeaveTheRateToOthers(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, routing.Account{Name: "a", RequestsPerSecond: 20, Burst: 20})
	l, state := s.limiters[0], s.limiters[0].states["a"]
	s.step(0)
	served := 0
	const ticks = int(10 * time.Second / tick)
	for i := range ticks {
		s.now = s.now.Add(tick)
		state.arrivals += 2
		l.exchange(t.Context())
		for range 2 {
			if state.takeToken(s.now) {
				l.Refund(s.account)
			}
		}
		if i%4 != 0 {
			continue
		}
		state.arrivals++
		if s.isGranted(l) {
			served++
		}
	}
	is.Equal(served, ticks/4)
}

func TestNewHolderServesASmallAccountImmediately(t *testing.T) {
	is := is.New(t)
	s := newSimulation(9, routing.Account{Name: "a", RequestsPerSecond: 8, Burst: 8})
	for _, l := range s.limiters[:4] {
		is.True(s.isGranted(l))
	}
}

// At a hand-over the list of owners changes before the instances have sent another request to the last holder.
func TestHandOverDoesNotInterruptAccounts(t *testing.T) {
	is := is.New(t)
	s := newSimulation(9, routing.Account{Name: "a", RequestsPerSecond: 400, Burst: 400})
	for range int(warmUpTime / tick) {
		s.step(1)
	}
	s.released["instance-0"] = true
	for j := range s.reaches {
		s.reaches[j] = 1
	}
	requested, admitted := 0, 0
	for range int(2 * time.Second / tick) {
		admitted += s.step(1)
		requested += len(s.limiters)
	}
	is.Equal(admitted, requested)
}

// Between two holders none is listed, so the last one must continue to serve.
func TestRetiringHolderServesUntilThereIsANewOne(t *testing.T) {
	is := is.New(t)
	s := newSimulation(9, routing.Account{Name: "a", RequestsPerSecond: 400, Burst: 400})
	requested, admitted := 0, 0
	for i := range int(4 * time.Second / tick) {
		if i == int(warmUpTime/tick) {
			s.released["instance-0"] = true
			for j := range s.reaches {
				s.reaches[j] = -1
			}
		}
		n := s.step(1)
		if i >= int(warmUpTime/tick) {
			requested, admitted = requested+len(s.limiters), admitted+n
		}
	}
	is.Equal(admitted, requested)
}

func TestRequestWaitsForTheNextHolder(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, routing.Account{Name: "a", RequestsPerSecond: 100, Burst: 100})
	s.step(0)
	l := s.limiters[0]
	l.now, s.holders[0].now = time.Now, time.Now
	l.lastResponse, s.reaches[0] = time.Now(), -1
	go func() {
		time.Sleep(2 * maxWait)
		l.mu.Lock()
		s.reaches[0] = 0
		l.mu.Unlock()
		l.exchange(t.Context())
	}()
	is.Equal(l.Admit(t.Context(), s.account, false), nil)
}

func TestInstanceThatIsNotTheHolderAnswersNotOwner(t *testing.T) {
	is := is.New(t)
	h := NewBucketHolder(func() *routing.Configuration { return &routing.Configuration{} },
		func() []string { return nil }, "a",
		func() HolderState { return NotHolding }, func() time.Duration { return 0 })
	resp, err := h.Take(t.Context(), &turnv1.TakeRequest{Instance: "b"})
	is.NoErr(err)
	is.Equal(resp.Outcome, turnv1.Outcome_OUTCOME_NOT_OWNER)
}

func TestRequestWithoutATokenIsDeniedAsOverRate(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, routing.Account{Name: "a", RequestsPerSecond: 1, Burst: 1})
	l := s.limiters[0]
	l.now, s.holders[0].now = time.Now, time.Now
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go l.Run(ctx)
	for l.hasNoResponse() {
		time.Sleep(time.Millisecond)
	}
	d := l.Admit(ctx, s.account, false)
	is.True(d != nil)
	is.True(d.OverRate)
	is.True(d.RetryAfter > 0)
	is.Equal(l.Admit(ctx, routing.Account{Name: "unlimited"}, true), nil)
}

func TestNewProgramsAreRefusedWhileTheBucketIsLow(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, routing.Account{Name: "a", RequestsPerSecond: 100, Burst: 100})
	for range int(warmUpTime / tick) {
		s.step(20)
	}
	l := s.limiters[0]
	d := l.Admit(t.Context(), s.account, true)
	is.True(d != nil)
	is.True(d.OverRate)
	is.True(d.RetryAfter > 0 && d.RetryAfter <= 600*time.Millisecond)
	// Once the demand has dropped, the bucket fills and new programs are admitted again.
	for range int(3 * time.Second / tick) {
		s.step(1)
	}
	is.Equal(l.Admit(t.Context(), s.account, true), nil)
}

// hasNoResponse reports whether no holder has responded yet.
func (l *Limiter) hasNoResponse() bool {
	l.requestExchange()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastResponse.IsZero()
}

func TestRequestWithoutAHolderIsNotDeniedAsOverRate(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, routing.Account{Name: "a", RequestsPerSecond: 100, Burst: 100})
	s.reaches[0] = -1
	d := s.limiters[0].Admit(t.Context(), s.account, false)
	is.True(d != nil)
	is.True(!d.OverRate)
}
