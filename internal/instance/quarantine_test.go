package instance

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/fakes/runner"
)

// deadlyBody is the input of the request that crashes the servers of a crashSite.
const deadlyBody = "deadly"

// crashSite has servers of one service that crash as soon as they begin to run a certain request.
type crashSite struct {
	*site
	servers []*runner.Server
	// runs counts how often a server began to run the deadly request.
	runs atomic.Int32
}

func newCrashSite(t *testing.T, servers int) *crashSite {
	s := &crashSite{site: newSite(t)}
	s.store.PutKeyed("keyed.servers", s.llm.ID, s.llm.Registration("draining"))
	for i := range servers {
		b := runner.Start(fmt.Sprint("model-", i), "llm", 4)
		b.EventInterval = 50 * time.Millisecond
		b.Handler = func(w http.ResponseWriter, r *http.Request, body string) bool {
			if !strings.HasSuffix(body, deadlyBody) {
				return false
			}
			s.runs.Add(1)
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			w.Header().Set("Response-Stamp", "s")
			w.Header().Set("Content-Type", "text/event-stream")
			w.(http.Flusher).Flush()
			b.Crash()
			return true
		}
		s.servers = append(s.servers, b)
		s.store.PutKeyed("keyed.servers", b.ID, b.Registration("ready"))
		t.Cleanup(func() {
			b.CloseClientConnections()
			b.Close()
		})
	}
	return s
}

// crash sends the deadly request to each of the instances in turn until it has crashed the given number of servers, and
// restarts them.
func (s *crashSite) crash(crashes int32, nodes ...*node) {
	s.t.Helper()
	runs, reports := s.runs.Load(), s.crashReports(nodes)
	for i := 0; s.runs.Load() < crashes; i++ {
		if i > 20 {
			s.t.Fatalf("the request ran %d times in %d attempts", s.runs.Load(), i)
		}
		s.do(nodes[i%len(nodes)], call{path: "/quote/x", body: deadlyBody})
	}
	// An instance takes a server that accepts connections again for one that has not crashed.
	s.eventually("the crashes are noticed", func() bool {
		return s.crashReports(nodes)-reports >= float64(s.runs.Load()-runs)
	})
	s.restart()
}

// crashReports returns how many reports of crashes the instances have made.
func (s *crashSite) crashReports(nodes []*node) float64 {
	s.t.Helper()
	var sum float64
	for _, n := range nodes {
		sum += s.metricOf(n, "berylpond_quarantine_crash_reports_total").GetCounter().GetValue()
	}
	return sum
}

func (s *crashSite) restart() {
	s.t.Helper()
	for _, b := range s.servers {
		// Restart fails for servers that are up, since their address is in use.
		if b.Restart() == nil {
			s.store.PutKeyed("keyed.servers", b.ID, b.Registration("ready"))
		}
	}
}

// refuses reports whether every copy of the deadly request is refused without running, at each of the instances.
func (s *crashSite) refuses(nodes ...*node) bool {
	s.t.Helper()
	before := s.runs.Load()
	refused := true
	for _, n := range nodes {
		for range 4 {
			a := s.do(n, call{path: "/quote/x", body: deadlyBody})
			refused = refused && a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != ""
		}
	}
	s.restart()
	return refused && s.runs.Load() == before
}

// Guards against one request crashing server after server, whichever instances its copies come to.
func TestRequestThatCrashedThreeServersIsNotSentOn(t *testing.T) {
	is := is.New(t)
	s := newCrashSite(t, 6)
	nodes := []*node{s.start(), s.start(), s.start()}
	s.turn(nodes[0], call{path: "/quote/x", body: "hello"})
	s.crash(3, nodes...)
	time.Sleep(contactTolerance)
	is.True(s.refuses(nodes...))

	restarted := s.start()
	is.True(s.refuses(restarted))
	is.Equal(s.turn(restarted, call{path: "/quote/x", body: "hello"}).status, http.StatusOK)
}

// Guards against the loss of all instances making them forget which requests crash servers.
func TestQuarantineOutlivesTheLossOfAllInstances(t *testing.T) {
	is := is.New(t)
	s := newCrashSite(t, 6)
	nodes := []*node{s.start(), s.start()}
	s.turn(nodes[0], call{path: "/quote/x", body: "hello"})
	s.crash(3, nodes...)
	time.Sleep(contactTolerance)
	s.stopAll()
	s.nodes = nil
	is.True(s.refuses(s.start()))
}

// Guards against refusing requests that only ran beside the one that crashes servers. Load pattern: each crash breaks off all
// that runs on the server, and the clients of all of it try again.
func TestRequestsBesideTheOneThatCrashesServersAreServed(t *testing.T) {
	is := is.New(t)
	s := newCrashSite(t, 4)
	nodes := []*node{s.start(), s.start()}
	s.turn(nodes[0], call{path: "/quote/x", body: "hello"})
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range 24 {
		wg.Go(func() {
			for {
				s.do(nodes[i%2], call{path: "/quote/x", body: fmt.Sprint("bystander ", i)})
				select {
				case <-stop:
					return
				default:
				}
			}
		})
	}
	for crashes := range int32(3) {
		s.crash(crashes+1, nodes...)
		time.Sleep(500 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	time.Sleep(contactTolerance)
	is.True(s.refuses(nodes...))
	for i := range 24 {
		is.Equal(s.turn(nodes[i%2], call{path: "/quote/x", body: fmt.Sprint("bystander ", i)}).status, http.StatusOK)
	}
}
