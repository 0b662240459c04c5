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

// Limits of the platform's rule on backend servers that announce a limit.
const (
	serverWindow    = 4 * time.Second
	serverExcess    = 1.5
	serverTolerance = 5
)

// take lets every instance exchange a message with the holder and try that many requests to a limited server; it returns
// how many were permitted.
func (s *simulation) take(limit ServerLimit, tries int) int {
	s.now = s.now.Add(tick)
	sent := 0
	for _, l := range s.limiters {
		l.exchange(context.Background())
		for range tries {
			if l.askForServer(limit) {
				sent++
			}
		}
	}
	return sent
}

// askForServer is AskForServer in simulated time: the holder answers at once.
func (l *Limiter) askForServer(limit ServerLimit) bool {
	s, w := l.waitForServer(limit, true)
	if w == nil {
		return true
	}
	l.exchange(context.Background())
	return l.cancelWait(&s.tokenState, w) == nil
}

func TestServerStaysWithinItsLimitWhileHoldersChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "instances")
		s := newSimulation(n, routing.Account{Name: "a"})
		limit := ServerLimit{Server: backendlimit.Server{ID: "x"}, RequestsPerSecond: rapid.Float64Range(0, 100).Draw(t, "limit")}
		holder := 0
		var sent []int
		for range int(10 * time.Second / tick) {
			if rapid.IntRange(0, 40).Draw(t, "change") == 0 {
				next := rapid.IntRange(0, n-1).Draw(t, "holder")
				s.changeHolder(holder, next, true)
				holder = next
			}
			for i := range s.reaches {
				s.reaches[i] = holder
			}
			sent = append(sent, s.take(limit, rapid.IntRange(0, 3).Draw(t, "tries")))
		}
		steps := int(serverWindow / tick)
		for i := 0; i+steps <= len(sent); i++ {
			sum := 0
			for _, k := range sent[i : i+steps] {
				sum += k
			}
			if allowed := limit.RequestsPerSecond*serverWindow.Seconds()*serverExcess + serverTolerance; float64(sum) > allowed {
				t.Fatalf("%d requests in %v, %v are allowed", sum, serverWindow, allowed)
			}
		}
	})
}

// Load pattern: the instances of one data centre send nearly all requests to its servers, each of them few.
func TestLimitIsUsedByTheInstancesThatNeedIt(t *testing.T) {
	is := is.New(t)
	s := newSimulation(90, routing.Account{Name: "a"})
	busy := s.limiters[:30]
	const perSecond = 20
	limit := ServerLimit{Server: backendlimit.Server{ID: "x"}, RequestsPerSecond: perSecond}
	sent := 0
	for range int(5 * time.Second / tick) {
		s.now = s.now.Add(tick)
		for _, l := range s.limiters {
			l.exchange(context.Background())
		}
		// Two of the instances have a request in each step of 50 ms.
		for range 2 {
			if busy[rand.IntN(len(busy))].askForServer(limit) {
				sent++
			}
		}
	}
	t.Logf("%d of %d", sent, 5*perSecond)
	is.True(sent >= 5*perSecond*3/4)
}

func TestWaitingRequestGetsTheNextToken(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, routing.Account{Name: "a"})
	l := s.limiters[0]
	limit := ServerLimit{Server: backendlimit.Server{ID: "x"}, RequestsPerSecond: 10}
	is.True(!l.TakeForServer(limit))
	served := make(chan *Denial)
	go func() { served <- l.AwaitServer(context.Background(), limit) }()
	for !l.hasWaiters() {
		time.Sleep(time.Millisecond)
	}
	l.exchange(context.Background()) // creates the bucket, which is empty
	s.now = s.now.Add(150 * time.Millisecond)
	l.exchange(context.Background())
	is.Equal(<-served, nil)
}

func TestRequestIsDeniedAtOnceIfItsTokenIsFarOff(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, routing.Account{Name: "a"})
	l := s.limiters[0]
	limit := ServerLimit{Server: backendlimit.Server{ID: "x"}, RequestsPerSecond: 0.5}
	served := make(chan *Denial)
	go func() { served <- l.AwaitServer(context.Background(), limit) }()
	for !l.hasWaiters() {
		time.Sleep(time.Millisecond)
	}
	l.exchange(context.Background())
	is.Equal((<-served).RetryAfter, 2*time.Second)
}

func TestUnusedServersAreForgotten(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, routing.Account{Name: "a"})
	l := s.limiters[0]
	l.askForServer(ServerLimit{Server: backendlimit.Server{ID: "x"}, RequestsPerSecond: 5})
	l.exchange(context.Background())
	is.Equal(len(s.holders[0].servers), 1)
	s.now = s.now.Add(2 * serverRetention)
	l.askForServer(ServerLimit{Server: backendlimit.Server{ID: "y"}, RequestsPerSecond: 5})
	l.exchange(context.Background())
	is.Equal(len(l.servers), 1)
	is.Equal(len(s.holders[0].servers), 1)
}

// Guards against a server in need getting a first request of each of hundreds of instances.
func TestOneInstanceTellsTheOthersOfALimitAndItsEnd(t *testing.T) {
	is := is.New(t)
	s := newSimulation(3, routing.Account{Name: "a"})
	server := backendlimit.Server{ID: "x", Incarnation: 7}
	known := make([]backendlimit.State, len(s.limiters))
	for i, l := range s.limiters {
		l.OnLimit = func(of backendlimit.Server, state backendlimit.State) {
			is.Equal(of, server)
			known[i] = known[i].Update(state)
		}
	}
	exchange := func() {
		s.now = s.now.Add(tick)
		for _, l := range s.limiters {
			l.exchange(context.Background())
		}
	}
	exchange()
	limited := backendlimit.State{Limit: backendlimit.Limit{Announced: true, RequestsPerSecond: 4}, AsOf: s.now}
	s.limiters[0].ReportServer(server, limited)
	exchange()
	is.Equal(known[2].Limit, limited.Limit)

	// The next holder learns of it from the instances.
	s.changeHolder(0, 1, true)
	for i := range s.reaches {
		s.reaches[i] = 1
	}
	exchange()
	is.Equal(s.holders[1].limits[server].Limit, limited.Limit)

	s.limiters[2].ReportServer(server, backendlimit.State{AsOf: s.now})
	// A report that is older than the end of the limit does not bring it back.
	s.limiters[1].ReportServer(server, limited)
	exchange()
	exchange()
	for i := range known {
		is.True(i == 2 || !known[i].Announced)
	}
	is.True(!s.holders[1].limits[server].Announced)
	s.now = s.now.Add(2 * liftedRetention)
	exchange()
	is.Equal(len(s.limiters[0].limits), 0)
}

func TestNoTokenIsAskedForWithoutAHolder(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, routing.Account{Name: "a"})
	l := s.limiters[0]
	limit := ServerLimit{Server: backendlimit.Server{ID: "x"}, RequestsPerSecond: 100}
	l.exchange(context.Background())
	s.now = s.now.Add(2 * activeWithin)
	start := time.Now()
	is.True(!l.AskForServer(context.Background(), limit))
	is.True(time.Since(start) < askTimeout/2)
	is.True(!l.hasWaiters())
}

func TestReportsOfAFailedRequestAreRepeated(t *testing.T) {
	is := is.New(t)
	s := newSimulation(2, routing.Account{Name: "a"})
	l, server := s.limiters[1], backendlimit.Server{ID: "x"}
	l.exchange(context.Background())
	l.ReportServer(server, backendlimit.State{Limit: backendlimit.Limit{Announced: true, RequestsPerSecond: 4}, AsOf: s.now})
	s.reaches[1] = -1
	is.True(!l.exchange(context.Background()))
	s.reaches[1] = 0
	is.True(l.exchange(context.Background()))
	is.True(s.holders[0].limits[server].Announced)
	is.Equal(len(l.unreported), 0)
}
