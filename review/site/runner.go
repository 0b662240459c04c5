package site

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Events and EventBytes are the number of events of a turn, and the bytes of data of each.
const Events, EventBytes = 10, 100

// plainWork is how long a plain service works on a request, eventInterval the time between two events of a turn.
const plainWork, eventInterval = 50 * time.Millisecond, 10 * time.Millisecond

// OutputBytes is what a turn adds to a history beside its input: the data of its events, each followed by a line feed.
const OutputBytes = Events * (EventBytes + 1)

// Runner is a sound runner: a model server that streams events, or a plain service.
type Runner struct {
	ID, service string

	mu  sync.Mutex
	ran map[string]Run
}

// Run is a request that the runner ran.
type Run struct {
	Bytes int
	// At is when the request had arrived.
	At time.Time
	// Ended is set once the whole answer was written.
	Ended bool
}

func newRunner(id, service string) *Runner {
	return &Runner{ID: id, service: service, ran: map[string]Run{}}
}

// Ran returns what is known of the run of a request.
func (r *Runner) Ran(id string) (Run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run, ok := r.ran[id]
	return run, ok
}

func (r *Runner) note(id string, run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[id] = run
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	id := req.Header.Get("Request-Id")
	if e := req.Header.Get("Expect-Instance"); e != "" && e != r.ID {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := Run{Bytes: len(body), At: time.Now()}
	r.note(id, run)
	ended := run
	ended.Ended = true
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Stamp", r.ID+"."+id)
	if r.service != "llm" {
		time.Sleep(plainWork)
		fmt.Fprintf(w, "%s answers %s", r.ID, id)
		r.note(id, ended)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range Events {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("o", EventBytes))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(eventInterval):
		case <-req.Context().Done():
			return
		}
	}
	r.note(id, ended)
}

// Ran returns the run of a request at any runner.
func (s *Site) Ran(id string) (Run, bool) {
	for _, r := range s.Runners {
		if run, ok := r.Ran(id); ok {
			return run, true
		}
	}
	return Run{}, false
}
