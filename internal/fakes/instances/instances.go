// Package instances is a fake of the platform's list of live and leaving instances. Reads return the list as it was one
// lag ago.
//
// Faults: stale (reads return the list as it was when the fault was set), outage, slow, hang.
package instances

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/berylpond/berylpond/internal/fakes/fault"
)

// Instance is an entry of the list.
type Instance struct {
	ID         string `json:"id"`
	Kind       string `json:"kind"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	Pool       string `json:"pool,omitempty"`
	State      string `json:"state"`
}

// List is the response of GET /v1/instances.
type List struct {
	Instances []Instance `json:"instances"`
}

type lagRequest struct {
	LagMS int64 `json:"lag_ms"`
}

type version struct {
	at   time.Time
	list map[string]Instance
}

// Server is the fake instance list. It implements http.Handler.
type Server struct {
	// Faults holds the fault set with PUT /fault.
	Faults fault.Injector

	mux *http.ServeMux
	now func() time.Time

	mu       sync.Mutex
	lag      time.Duration
	versions []version
	stale    []Instance
}

// Option configures a new Server.
type Option func(*Server)

// WithLag sets the age of the returned list. PUT /lag {"lag_ms":N} changes it at run time.
func WithLag(d time.Duration) Option { return func(s *Server) { s.lag = d } }

// WithClock replaces the source of time.
func WithClock(now func() time.Time) Option { return func(s *Server) { s.now = now } }

// New returns a server with an empty list.
func New(opts ...Option) *Server {
	s := &Server{mux: http.NewServeMux(), now: time.Now}
	for _, o := range opts {
		o(s)
	}
	s.versions = []version{{list: map[string]Instance{}}}
	s.Faults.OnSet = func(f fault.Spec) {
		if f.Mode == fault.Stale {
			s.freezeList()
		}
	}
	s.Faults.Register(s.mux)
	s.mux.HandleFunc("GET /v1/instances", s.handleList)
	s.mux.HandleFunc("PUT /v1/instances/{id}", s.handlePut)
	s.mux.HandleFunc("DELETE /v1/instances/{id}", s.handleDelete)
	s.mux.HandleFunc("PUT /lag", s.handleLag)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetLag changes the age of the returned list.
func (s *Server) SetLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = d
}

// Put adds or replaces an entry.
func (s *Server) Put(i Instance) { s.update(func(l map[string]Instance) { l[i.ID] = i }) }

// Delete removes an entry.
func (s *Server) Delete(id string) { s.update(func(l map[string]Instance) { delete(l, id) }) }

func (s *Server) update(f func(map[string]Instance)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := maps.Clone(s.versions[len(s.versions)-1].list)
	f(list)
	s.versions = append(s.versions, version{at: s.now(), list: list})
}

// List returns the entries as they were one lag ago, sorted by id.
func (s *Server) List() []Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	cutoff := s.now().Add(-s.lag)
	i := len(s.versions) - 1
	for i > 0 && s.versions[i].at.After(cutoff) {
		i--
	}
	out := []Instance{}
	for _, id := range slices.Sorted(maps.Keys(s.versions[i].list)) {
		out = append(out, s.versions[i].list[id])
	}
	return out
}

func (s *Server) freezeList() {
	list := s.List()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = list
}

func (s *Server) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	f, ok := s.Faults.Next(fault.Outage, fault.Slow, fault.Hang)
	if !ok {
		return true
	}
	switch f.Mode {
	case fault.Outage:
		http.Error(w, "instance list is away", http.StatusServiceUnavailable)
		return false
	case fault.Hang:
		fault.BlockRequest(r)
	}
	return fault.Sleep(r, f.Delay())
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	if _, ok := s.Faults.Next(fault.Stale); ok {
		s.mu.Lock()
		list := s.stale
		s.mu.Unlock()
		fault.WriteJSON(w, List{Instances: list})
		return
	}
	fault.WriteJSON(w, List{Instances: s.List()})
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	var i Instance
	if err := json.NewDecoder(r.Body).Decode(&i); err != nil {
		http.Error(w, "bad instance", http.StatusBadRequest)
		return
	}
	if !s.applyFaults(w, r) {
		return
	}
	i.ID = r.PathValue("id")
	s.Put(i)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	s.Delete(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleLag(w http.ResponseWriter, r *http.Request) {
	var body lagRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, "bad lag", http.StatusBadRequest)
		return
	}
	s.SetLag(time.Duration(body.LagMS) * time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
}
