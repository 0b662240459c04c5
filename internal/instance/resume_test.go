package instance

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/fakes/runner"
	"github.com/berylpond/berylpond/internal/feature"
)

// run is what a server does with one run of a stream: it sends events and ends as told.
type run struct {
	// first and last are the ids of the events that it sends; there are none if last is zero.
	first, last int
	end         func(s *runner.Server, w http.ResponseWriter, r *http.Request)
}

func breakOff(*runner.Server, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func breakOffInEvent(id int) func(*runner.Server, http.ResponseWriter, *http.Request) {
	return func(_ *runner.Server, w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, "id: %d\ndata: hal", id)
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

func jump(_ *runner.Server, w http.ResponseWriter, _ *http.Request) {
	fmt.Fprint(w, "id: 9\ndata: x\n\n")
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

func crash(s *runner.Server, _ http.ResponseWriter, _ *http.Request) { s.Crash() }

// refused is a run that the server refuses with a status.
func refused(status int) run {
	return run{first: -status}
}

// scripted is two servers of one service. The runs of the requests at either follow a script.
type scripted struct {
	mu     sync.Mutex
	script []run
	// seen are the headers of the runs.
	seen []http.Header
}

// replaceServers replaces the servers of the site's service by two that follow a script, until the test ends.
func (s *site) replaceServers(t *testing.T, script ...run) *scripted {
	p := &scripted{script: script}
	s.store.PutKeyed("keyed.servers", s.llm.ID, s.llm.Registration("draining"))
	for i := range 2 {
		b := runner.Start(fmt.Sprint(t.Name(), "-", i), "llm", 1)
		b.Handler = func(w http.ResponseWriter, r *http.Request, _ string) bool {
			p.serve(b, w, r)
			return true
		}
		s.store.PutKeyed("keyed.servers", b.ID, b.Registration("ready"))
		t.Cleanup(func() {
			s.store.PutKeyed("keyed.servers", b.ID, b.Registration("draining"))
			b.CloseClientConnections()
			b.Close()
		})
	}
	s.eventually("the servers are known", func() bool { return s.usesOnly(t.Name()) })
	return p
}

// usesOnly reports whether every instance knows both servers of a test, and no other of their service as ready.
func (s *site) usesOnly(test string) bool {
	for _, n := range s.nodes {
		ready := 0
		for _, e := range n.fleet.Entries() {
			switch {
			case e.Service != "llm" || e.Draining:
			case strings.HasPrefix(e.ID, test+"-"):
				ready++
			default:
				return false
			}
		}
		if ready != 2 {
			return false
		}
	}
	return true
}

func (s *scripted) serve(b *runner.Server, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	n := len(s.seen)
	s.seen = append(s.seen, r.Header.Clone())
	step := run{first: 1, last: 1}
	if n < len(s.script) {
		step = s.script[n]
	}
	s.mu.Unlock()
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if step.first < 0 {
		if -step.first == http.StatusServiceUnavailable {
			w.Header().Set("Not-Run", "1")
		}
		w.WriteHeader(-step.first)
		return
	}
	w.Header().Set("Response-Stamp", fmt.Sprint("stamp-", n))
	w.Header().Set("Content-Type", "text/event-stream")
	w.(http.Flusher).Flush()
	for id := step.first; id <= step.last; id++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
		w.(http.Flusher).Flush()
	}
	if step.end != nil {
		step.end(b, w, r)
	}
}

// runs returns the headers of the runs.
func (s *scripted) runs() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.seen...)
}

// pieces is the body of a stream of the events from the first to the last.
func pieces(first, last int) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b.String()
}

// Load pattern: a server is lost while it runs a stream. Fails without resumption: the client gets the events of the first
// run and a broken connection.
func TestBrokenStreamGoesOnAtAnotherServer(t *testing.T) {
	s := newSite(t)
	n := s.start()
	for name, c := range map[string]struct {
		path   string
		script []run
		// after is the Last-Event-Id of the second run, stamp the signature of the response.
		after, stamp string
	}{
		"between events":         {"/replan/x", []run{{1, 2, breakOff}, {3, 4, nil}}, "2", "stamp-0"},
		"in an event":            {"/replan/x", []run{{1, 2, breakOffInEvent(3)}, {3, 4, nil}}, "2", "stamp-0"},
		"in the last event":      {"/replan/x", []run{{1, 3, breakOffInEvent(4)}, {4, 4, nil}}, "3", "stamp-0"},
		"after the last event":   {"/replan/x", []run{{1, 4, breakOff}, {1, 0, nil}}, "4", "stamp-0"},
		"before the first event": {"/replan/x", []run{{1, 0, breakOff}, {1, 4, nil}}, "", "stamp-1"},
		"in the first event":     {"/replan/x", []run{{1, 0, breakOffInEvent(1)}, {1, 4, nil}}, "", "stamp-1"},
		"an event is repeated":   {"/replan/x", []run{{1, 2, breakOff}, {2, 4, nil}}, "2", "stamp-0"},
		"all are repeated":       {"/replan/x", []run{{1, 2, breakOff}, {1, 4, nil}}, "2", "stamp-0"},
		"server ended":           {"/replan-once/x", []run{{1, 2, crash}, {3, 4, nil}}, "2", "stamp-0"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			servers := s.replaceServers(t, c.script...)
			a := s.turn(n, call{path: c.path})
			is.Equal(a.status, http.StatusOK)
			is.Equal(a.body, pieces(1, 4))
			is.True(!a.broken)
			is.Equal(a.header.Get("Response-Stamp"), c.stamp)
			runs := servers.runs()
			is.Equal(len(runs), 2)
			is.Equal(runs[1].Get("Last-Event-Id"), c.after)
			is.Equal(runs[0].Get("Request-Id"), runs[1].Get("Request-Id"))
			is.True(runs[0].Get("Expect-Instance") != runs[1].Get("Expect-Instance"))
		})
	}
}

// Whatever the second server does, a stream that lacks an event must not look complete.
func TestStreamThatCannotBeResumedEndsBroken(t *testing.T) {
	s := newSite(t)
	n := s.start()
	s.features = without(feature.Resume)
	off := s.start()
	for name, c := range map[string]struct {
		path   string
		script []run
		runs   int
		node   *node
	}{
		"the second server refuses":    {"/replan/x", []run{{1, 2, breakOff}, refused(503)}, 2, n},
		"the second server fails":      {"/replan/x", []run{{1, 2, breakOff}, refused(500)}, 2, n},
		"the second server skips one":  {"/replan/x", []run{{1, 2, breakOff}, {4, 5, nil}}, 2, n},
		"the second server breaks off": {"/replan/x", []run{{1, 1, breakOff}, {2, 2, breakOff}, {3, 3, nil}}, 2, n},
		"ids are not consecutive":      {"/replan/x", []run{{2, 2, jump}}, 1, n},
		"no attempt is left":           {"/replan-once/x", []run{{1, 2, breakOff}}, 1, n},
		"the route is not resumable":   {"/quote/x", []run{{1, 2, breakOff}}, 1, n},
		"the feature is off":           {"/replan/x", []run{{1, 2, breakOff}}, 1, off},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			servers := s.replaceServers(t, c.script...)
			a := s.turn(c.node, call{path: c.path})
			is.Equal(a.status, http.StatusOK)
			is.True(a.broken)
			is.Equal(len(servers.runs()), c.runs)
		})
	}
}

func without(n feature.Name) feature.Set {
	s, err := feature.Without([]string{string(n)})
	if err != nil {
		panic(err)
	}
	return s
}

func TestStreamIsNotResumedForAClientThatHasLeft(t *testing.T) {
	is := is.New(t)
	ctx, leave := context.WithCancel(context.Background())
	s := newSite(t)
	servers := s.replaceServers(t, run{1, 2, func(s *runner.Server, w http.ResponseWriter, r *http.Request) {
		leave()
		<-r.Context().Done()
		breakOff(s, w, r)
	}})
	n := s.start()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, n.url+"/replan/x", nil)
	is.NoErr(err)
	r.Host = "h.example"
	r.Header.Set("Request-Id", "gone")
	r.Header.Set("Api-Key", "key-a")
	if resp, err := http.DefaultClient.Do(r); err == nil {
		resp.Body.Close()
	}
	time.Sleep(300 * time.Millisecond)
	is.Equal(len(servers.runs()), 1)
}

// A client may resume by itself: what it sends is passed on, and moves on with the events that it gets.
func TestResumptionByTheClientIsServed(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	servers := s.replaceServers(t, run{3, 3, breakOff}, run{4, 4, nil})
	a := s.turn(s.start(), call{path: "/replan/x", lastEvent: "2"})
	is.Equal(a.body, pieces(3, 4))
	is.True(!a.broken)
	runs := servers.runs()
	is.Equal(len(runs), 2)
	is.Equal(runs[0].Get("Last-Event-Id"), "2")
	is.Equal(runs[1].Get("Last-Event-Id"), "3")
}

// The tokens of both runs that reached the client are charged, each once.
func TestBudgetCountsBothRunsOfAResumedStream(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	servers := s.replaceServers(t, run{1, 2, breakOff}, run{2, 3, nil})
	n := s.start()
	// The first turn takes 30 tokens, those after it 10 each, and each reserves 30.
	const budget = 60
	turn := func() int {
		status := s.turn(n, call{path: "/replan/x", program: "p", budget: budget}).status
		time.Sleep(200 * time.Millisecond)
		return status
	}
	is.Equal(turn(), http.StatusOK)
	is.Equal(turn(), http.StatusOK)
	is.Equal(turn(), http.StatusPaymentRequired)
	is.Equal(len(servers.runs()), 3)
}
