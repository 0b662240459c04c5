package instance

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/feature"
)

// serverSlots is the number of requests that a fake backend server runs concurrently.
const serverSlots = 8

// busySite is a site whose only model server has all of its places taken, by turns that end when the test says so.
type busySite struct {
	*site
	n *node
	// finish lets one of the turns end; each value received from started is a turn that the server began.
	finish  chan struct{}
	started chan string
	turns   sync.WaitGroup
}

// newBusySite starts one instance. Turns of the account "other" have a higher priority than those of "acme".
func newBusySite(t *testing.T, without ...string) *busySite {
	s := &busySite{site: newSite(t), finish: make(chan struct{}), started: make(chan string, 100)}
	features, err := feature.Without(without)
	if err != nil {
		t.Fatal(err)
	}
	s.features = features
	c := strings.ReplaceAll(fmt.Sprintf(configuration, 2, 1000, 1000), `"timeoutMs":4000`, `"timeoutMs":4000,"goalMs":2000,"priority":3`)
	c = strings.ReplaceAll(c, `"name":"other"`, `"name":"other","priority":1`)
	s.store.PutKeyed("keyed.op", "config", []byte(c))
	s.n = s.start()
	// The instance learns how long a turn takes.
	s.llm.EventInterval = 60 * time.Millisecond
	for i := range 3 {
		if a := s.turn(s.n, s.call(fmt.Sprint("warm", i), "key-a")); a.status != http.StatusOK {
			t.Fatal(a.status)
		}
	}
	s.llm.EventInterval = 0
	s.llm.Handler = func(_ http.ResponseWriter, r *http.Request, _ string) bool {
		s.started <- r.Header.Get("Program-Id")
		<-s.finish
		return false
	}
	for i := range serverSlots {
		s.begin(fmt.Sprint("busy", i), "key-a")
		<-s.started
	}
	return s
}

func (s *busySite) call(program, key string) call {
	return call{path: "/chat/x", program: program, key: key, budget: 900}
}

// begin sends the first turn of a program and returns its response once there is one.
func (s *busySite) begin(program, key string) <-chan response {
	out := make(chan response, 1)
	s.turns.Go(func() { out <- s.do(s.n, s.call(program, key)) })
	return out
}

// end lets all turns end.
func (s *busySite) end() {
	close(s.finish)
	s.turns.Wait()
}

func TestWaitingProgramsBeginInOrderOfPriority(t *testing.T) {
	is := is.New(t)
	s := newBusySite(t)
	low := s.begin("low", "key-a")
	time.Sleep(50 * time.Millisecond)
	high := s.begin("high", "key-b")
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(s.started), 0) // nothing is sent to a server without a free place
	s.finish <- struct{}{}
	is.Equal(<-s.started, "high")
	s.finish <- struct{}{}
	is.Equal(<-s.started, "low")
	s.end()
	is.Equal((<-low).status, http.StatusOK)
	is.Equal((<-high).status, http.StatusOK)
}

// The load is the same as above; without admission the server gets everything in order of arrival.
func TestNothingWaitsWithoutAdmission(t *testing.T) {
	is := is.New(t)
	s := newBusySite(t, string(feature.Admission))
	s.begin("low", "key-a")
	is.Equal(<-s.started, "low")
	s.end()
}

func TestProgramThatGetsNoPlaceIsRefusedInTimeAndNeverRuns(t *testing.T) {
	is := is.New(t)
	s := newBusySite(t)
	begun := time.Now()
	a := <-s.begin("refused", "key-a")
	took := time.Since(begun)
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(took < 700*time.Millisecond) // a quarter of the objective, with room for a busy computer
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 0 && after <= 1) // the client honours it
	// A turn of a program under way is sent to wait at the server instead.
	s.turns.Go(func() {
		s.do(s.n, call{path: "/chat/x", program: "warm0", previous: "none", budget: 900})
	})
	s.end()
	for _, e := range s.llm.Executions() {
		is.True(e.Header.Get("Program-Id") != "refused")
	}
}

func TestPlannedStopServesTheRequestsThatWait(t *testing.T) {
	is := is.New(t)
	s := newBusySite(t)
	s.start() // takes over the partitions
	waiting := s.begin("waiting", "key-a")
	time.Sleep(50 * time.Millisecond)
	s.n.stop()
	s.eventually("not ready", func() bool { return !s.n.Ready() })
	s.finish <- struct{}{}
	is.Equal(<-s.started, "waiting")
	s.end()
	a := <-waiting
	is.Equal(a.status, http.StatusOK)
	is.True(!a.broken)
}

func TestWaitingRequestOfAClientThatLeftIsNotSent(t *testing.T) {
	is := is.New(t)
	s := newBusySite(t)
	ctx, leave := context.WithTimeout(t.Context(), 60*time.Millisecond)
	defer leave()
	is.True(s.doWithin(ctx, s.n, s.call("left", "key-b")).broken)
	behind := s.begin("behind", "key-a")
	time.Sleep(50 * time.Millisecond)
	s.finish <- struct{}{}
	is.Equal(<-s.started, "behind")
	s.end()
	is.Equal((<-behind).status, http.StatusOK)
	for _, e := range s.llm.Executions() {
		is.True(e.Header.Get("Program-Id") != "left")
	}
}

// Load pattern: an account asks for more than its rate, and its clients send the whole prompt with each turn, so that nothing
// in a request tells whether it begins a program.
func TestProgramsUnderWayKeepTheRateOnRoutesWithoutHistory(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	const rate, drained = 20, 14
	s.configure(2, rate)
	n := s.start()
	turn := func(program string) response {
		return s.do(n, call{path: "/quote/x", program: program, budget: 100_000})
	}
	s.eventually("a program begins", func() bool { return turn("under way").status == http.StatusOK })
	programs := 0
	s.eventually("no program begins", func() bool {
		var reads sync.WaitGroup
		for range drained {
			reads.Go(func() { s.do(n, call{path: "/read/x"}) })
		}
		reads.Wait()
		programs++
		begun := turn(fmt.Sprint("new", programs))
		is.Equal(turn("under way").status, http.StatusOK)
		if begun.status == http.StatusTooManyRequests {
			return true
		}
		time.Sleep(time.Second) // the bucket fills again
		return false
	})
	for _, e := range s.llm.Executions() {
		is.True(e.Header.Get("Program-Id") != fmt.Sprint("new", programs))
	}
	s.eventually("programs begin again", func() bool { return turn("later").status == http.StatusOK })
}
