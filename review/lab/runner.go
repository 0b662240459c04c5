package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Runner is the stand-in for one runner: a model runner that answers with a stream of events, or a plain service.
type Runner struct {
	ID, Service, Zone string
	Slots             int
	// Events is the number of events of a stream, zero for a plain service.
	Events int
	// Work is how long a request takes.
	Work time.Duration
	// Answer, if not nil, answers a request of a plain service that has run. It returns false for the usual answer.
	Answer func(w http.ResponseWriter, r *http.Request, id string) bool

	site    *Site
	address string
	born    int64
	server  *http.Server

	mu     sync.Mutex
	seq    int
	active int
	most   int
	ran    map[string]int
}

// StartRunner starts a runner at an address of its own and registers it. Fields other than the exported ones are set here.
func (s *Site) StartRunner(r *Runner) error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.Host(), runnerPort))
	if err != nil {
		return err
	}
	r.site, r.address, r.born, r.ran = s, l.Addr().String(), time.Now().UnixMilli(), map[string]int{}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	r.Register("ready")
	return nil
}

// Register writes the runner's entry with a state.
func (r *Runner) Register(state string) {
	r.mu.Lock()
	r.seq++
	seq := r.seq
	r.mu.Unlock()
	b, err := json.Marshal(map[string]any{
		"service": r.Service, "addr": r.address, "zone": r.Zone, "version": "v1", "slots": r.Slots, "state": state, "coldLeftMs": 0,
		"seq": seq, "born": r.born,
	})
	if err != nil {
		panic(err)
	}
	r.site.Store.PutKeyed("keyed.servers", r.ID, b)
}

// Leave drains the runner, ends it and removes its entry, as in a planned replacement.
func (r *Runner) Leave(drain time.Duration) {
	r.Register("draining")
	time.Sleep(drain)
	r.site.Store.PutKeyed("keyed.servers", r.ID, nil)
	_ = r.server.Close()
}

// Ran is how often a request has run here.
func (r *Runner) Ran(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id]
}

// Most is the largest number of requests that were in progress at once since the last call.
func (r *Runner) Most() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.most
	r.most = r.active
	return n
}

// begin counts a request that begins to run; it returns false if the runner is full.
func (r *Runner) begin(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active >= r.Slots {
		return false
	}
	r.active++
	r.most = max(r.most, r.active)
	r.ran[id]++
	return true
}

func (r *Runner) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	n, err := io.Copy(io.Discard, req.Body)
	if err != nil {
		return
	}
	if e := req.Header.Get("Expect-Instance"); e != "" && e != r.ID {
		w.Header().Set("Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !r.begin(id) {
		w.Header().Set("Request-Id", id)
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.end()
	if r.Events == 0 {
		time.Sleep(r.Work)
		if r.Answer != nil && r.Answer(w, req, id) {
			return
		}
		r.Sign(w, id)
		fmt.Fprintf(w, "done %s", id)
		return
	}
	r.site.Note("runner %s runs %s of program %s: %d bytes", r.ID, id, req.Header.Get("Program-Id"), n)
	r.Sign(w, id)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range r.Events {
		time.Sleep(r.Work / time.Duration(r.Events))
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i+1, id, i+1)
		w.(http.Flusher).Flush()
	}
}

// Sign sets what every answer of a request that has run bears.
func (r *Runner) Sign(w http.ResponseWriter, id string) {
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Stamp", Stamp(id))
}

// Stamp is the signature of the answer to a request.
func Stamp(id string) string { return "3e1b." + id }
