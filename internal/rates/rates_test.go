package rates

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

// Bounds of the platform's rule on rates.
const (
	window     = 5 * time.Second
	excess     = 0.1
	slack      = 20
	tick       = 50 * time.Millisecond
	startedFor = 2 * time.Second
)

// simulation is a fleet of instances in simulated time, each of which could hold the buckets.
type simulation struct {
	now     time.Time
	account routing.Account
	holders []*Holder
	lessees []*Lessee
	// asks is the index of the holder that an instance reaches, or -1.
	asks []int
	// cutSince is when an instance lost the store, zero while it reaches it. Only one that has lost it can go on as a
	// holder after another has taken the buckets.
	cutSince []time.Time
	// released holds the instances that were the holder, have given the buckets up and can still be asked; they go on for
	// those that do.
	released map[string]bool
}

func newSimulation(n int, a routing.Account) *simulation {
	s := &simulation{now: time.Now(), account: a, asks: make([]int, n), cutSince: make([]time.Time, n), released: map[string]bool{}}
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
		h := NewHolder(configuration, members, self, func() Tenure { return s.tenure(self) }, func() time.Duration { return s.silence(i) })
		h.now = clock
		l := NewLessee(configuration, members, self, &taker{s, i})
		l.now, l.started = clock, s.now
		l.leases[a.Name] = &lease{}
		s.holders, s.lessees = append(s.holders, h), append(s.lessees, l)
	}
	return s
}

func (s *simulation) silence(i int) time.Duration {
	if s.cutSince[i].IsZero() {
		return 0
	}
	return s.now.Sub(s.cutSince[i])
}

func (s *simulation) tenure(instance string) Tenure {
	if s.released[instance] {
		return Retiring
	}
	return Holding
}

// change makes next the holder: cut off from the one before, or after a hand-over that some instances learn of late.
func (s *simulation) change(old, next int, handOver bool) {
	if old == next {
		return
	}
	s.cutSince[next] = time.Time{}
	delete(s.released, s.holders[next].self)
	if handOver {
		s.released[s.holders[old].self] = true
		return
	}
	s.cutSince[old] = s.now
}

// taker reaches the holder that its instance asks, and no other.
type taker struct {
	*simulation
	instance int
}

func (t *taker) Holder() string {
	if t.asks[t.instance] < 0 {
		return ""
	}
	return t.holders[t.asks[t.instance]].self
}

func (t *taker) Take(_ context.Context, holder string, r *turnv1.TakeRequest) (*turnv1.TakeResponse, error) {
	if holder == "" || holder != t.Holder() && !t.released[holder] {
		return nil, errors.New("the holder is not reached")
	}
	for _, h := range t.holders {
		if h.self == holder {
			return h.Take(context.Background(), r)
		}
	}
	return nil, errors.New("there is no such holder")
}

// step lets each instance exchange a message and then use tokens for up to wanted requests; it returns how many ran.
func (s *simulation) step(wanted int) int {
	s.now = s.now.Add(tick)
	used := 0
	for _, l := range s.lessees {
		used += s.use(l, wanted)
	}
	return used
}

// use lets one instance exchange a message and use tokens for up to wanted requests; it returns how many ran.
func (s *simulation) use(l *Lessee, wanted int) int {
	lease := l.leases[s.account.Name]
	lease.arrivals += int64(wanted)
	l.exchange(context.Background())
	for n := range wanted {
		if !lease.take(s.now) {
			return n
		}
	}
	return wanted
}

func TestAccountStaysWithinItsRateWhileHoldersChangeAndInstancesAreCutOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := routing.Account{Name: "a", Rate: rapid.Float64Range(20, 400).Draw(t, "rate")}
		a.Burst = a.Rate * rapid.Float64Range(0.2, 1).Draw(t, "burst")
		n := rapid.IntRange(2, 11).Draw(t, "instances")
		s := newSimulation(n, a)
		limit := (a.Rate*window.Seconds()+a.Burst)*(1+excess) + slack
		var used []int
		old, next := 0, 0
		for i := range int(20 * time.Second / tick) {
			if i%40 == 39 && rapid.Bool().Draw(t, "change") {
				// Some instances stay with the old holder, some reach none, the others get a new one.
				old, next = next, rapid.IntRange(0, n-1).Draw(t, "holder")
				s.change(old, next, rapid.Bool().Draw(t, "handOver"))
				for j := range s.asks {
					s.asks[j] = []int{next, next, old, -1}[rapid.IntRange(0, 3).Draw(t, "reach")]
				}
			}
			used = append(used, s.step(int(a.Rate)))
			sum := 0
			for _, u := range used[max(0, len(used)-int(window/tick)):] {
				sum += u
			}
			if float64(sum) > limit {
				t.Fatalf("%d requests in a window, limit %.0f, rate %.0f, burst %.0f", sum, limit, a.Rate, a.Burst)
			}
		}
	})
}

func TestDemandBelowTheRateIsServed(t *testing.T) {
	is := is.New(t)
	s := newSimulation(9, routing.Account{Name: "a", Rate: 400, Burst: 400})
	for range int(startedFor / tick) {
		s.step(1)
	}
	asked, used := 0, 0
	for range int(10 * time.Second / tick) {
		used += s.step(1)
		asked += len(s.lessees)
	}
	is.Equal(used, asked)
}

// A zone of a fleet is cut off, and the traffic of its clients goes to the rest, whose rate must bear it.
func TestDemandBelowTheRateIsServedWhileInstancesAreCutOff(t *testing.T) {
	for _, tt := range []struct {
		name string
		// before is the holder until the cut, reached the one that the cut-off instances reach after it.
		before, reached int
	}{{"the holder stays", 0, -1}, {"the holder is cut off", 8, 8}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(9, routing.Account{Name: "a", Rate: 400, Burst: 400})
			for j := range s.asks {
				s.asks[j] = tt.before
			}
			for range int(startedFor / tick) {
				s.step(1)
			}
			for j := 6; j < 9; j++ {
				s.cutSince[j], s.asks[j] = s.now, tt.reached
			}
			for j := range 6 {
				s.asks[j] = 0
			}
			asked, used := 0, 0
			for i := range int(10 * time.Second / tick) {
				s.now = s.now.Add(tick)
				for j, l := range s.lessees {
					if j >= 6 {
						l.exchange(t.Context())
						continue
					}
					// Three quarters of the rate, all of it at two thirds of the instances.
					wanted := 2 + i%2
					got := s.use(l, wanted)
					if i > int(3*time.Second/tick) {
						asked, used = asked+wanted, used+got
					}
				}
			}
			is.Equal(used, asked)
		})
	}
}

// isGranted reports whether a request that waits at the instance gets a token with its next message to the holder.
func (s *simulation) isGranted(l *Lessee) bool {
	w := &waiter{granted: make(chan bool, 1)}
	l.leases[s.account.Name].waiters = []*waiter{w}
	l.exchange(context.Background())
	select {
	case ok := <-w.granted:
		return ok
	default:
		return false
	}
}

// A small account's program makes several calls at once, through several instances.
func TestSmallAccountMayUseItsWholeBurstAtOnce(t *testing.T) {
	is := is.New(t)
	s := newSimulation(9, routing.Account{Name: "a", Rate: 4, Burst: 4})
	for range int(startedFor / tick) {
		s.step(0)
	}
	s.now = s.now.Add(tick)
	for _, l := range s.lessees[:4] {
		is.True(s.isGranted(l))
	}
}

func TestNewHolderServesASmallAccountAtOnce(t *testing.T) {
	is := is.New(t)
	s := newSimulation(9, routing.Account{Name: "a", Rate: 8, Burst: 8})
	for _, l := range s.lessees[:4] {
		is.True(s.isGranted(l))
	}
}

// The list of owners changes before the instances have asked the last holder again.
func TestHandOverInterruptsNoAccount(t *testing.T) {
	is := is.New(t)
	s := newSimulation(9, routing.Account{Name: "a", Rate: 400, Burst: 400})
	for range int(startedFor / tick) {
		s.step(1)
	}
	s.released["instance-0"] = true
	for j := range s.asks {
		s.asks[j] = 1
	}
	asked, used := 0, 0
	for range int(2 * time.Second / tick) {
		used += s.step(1)
		asked += len(s.lessees)
	}
	is.Equal(used, asked)
}

// Between two holders none is listed, and the last one goes on.
func TestHolderGoesOnUntilThereIsAnother(t *testing.T) {
	is := is.New(t)
	s := newSimulation(9, routing.Account{Name: "a", Rate: 400, Burst: 400})
	asked, used := 0, 0
	for i := range int(4 * time.Second / tick) {
		if i == int(startedFor/tick) {
			s.released["instance-0"] = true
			for j := range s.asks {
				s.asks[j] = -1
			}
		}
		n := s.step(1)
		if i >= int(startedFor/tick) {
			asked, used = asked+len(s.lessees), used+n
		}
	}
	is.Equal(used, asked)
}

func TestRequestWaitsForTheNextHolder(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, routing.Account{Name: "a", Rate: 100, Burst: 100})
	s.step(0)
	l := s.lessees[0]
	l.now, s.holders[0].now = time.Now, time.Now
	l.answered, s.asks[0] = time.Now(), -1
	go func() {
		time.Sleep(2 * waitFor)
		l.mu.Lock()
		s.asks[0] = 0
		l.mu.Unlock()
		l.exchange(t.Context())
	}()
	is.Equal(l.Admit(t.Context(), s.account, false), nil)
}

func TestHolderThatIsNoneAnswersSo(t *testing.T) {
	is := is.New(t)
	h := NewHolder(func() *routing.Configuration { return &routing.Configuration{} }, func() []string { return nil }, "a",
		func() Tenure { return NotHolding }, func() time.Duration { return 0 })
	resp, err := h.Take(t.Context(), &turnv1.TakeRequest{Instance: "b"})
	is.NoErr(err)
	is.Equal(resp.Outcome, turnv1.Outcome_OUTCOME_NOT_OWNER)
}

func TestRequestWaitsForATokenAndIsToldWhenThereIsNone(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, routing.Account{Name: "a", Rate: 1, Burst: 1})
	l := s.lessees[0]
	l.now, s.holders[0].now = time.Now, time.Now
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go l.Run(ctx)
	for l.isAlone() {
		time.Sleep(time.Millisecond)
	}
	d := l.Admit(ctx, s.account, false)
	is.True(d != nil)
	is.True(d.OverRate)
	is.True(d.RetryAfter > 0)
	is.Equal(l.Admit(ctx, routing.Account{Name: "unlimited"}, true), nil)
}

func TestNewProgramsWaitWhileTheAccountIsShort(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, routing.Account{Name: "a", Rate: 100, Burst: 100})
	for range int(startedFor / tick) {
		s.step(20)
	}
	l := s.lessees[0]
	d := l.Admit(t.Context(), s.account, true)
	is.True(d != nil)
	is.True(d.OverRate)
	is.True(d.RetryAfter > 0 && d.RetryAfter <= 600*time.Millisecond)
	// Once the demand is gone the bucket fills, and programs are let in again.
	for range int(3 * time.Second / tick) {
		s.step(1)
	}
	is.Equal(l.Admit(t.Context(), s.account, true), nil)
}

// isAlone reports whether no holder has answered yet.
func (l *Lessee) isAlone() bool {
	l.ask()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered.IsZero()
}

func TestRequestWithoutAHolderIsNotCalledOverItsRate(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, routing.Account{Name: "a", Rate: 100, Burst: 100})
	s.asks[0] = -1
	d := s.lessees[0].Admit(t.Context(), s.account, false)
	is.True(d != nil)
	is.True(!d.OverRate)
}
