// Package service is a fake of a plain service. It counts the effects of its requests, so that tests can check that
// requests that must not be repeated are executed at most once.
//
// Faults: hang (no effect, no response), slow (delay before the effect), late (delay after the effect),
// crash_after_effect and lose_answer (effect, then the connection is closed), lose (effect, no response), error500 and
// refuse (no effect), wrong_id (effect, response with another id), silent (all open connections stop sending), crash
// (drops new requests for the delay).
package service

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/berylpond/berylpond/internal/fakes/fault"
	"github.com/berylpond/berylpond/internal/fakes/record"
)

const (
	// RequestIDHeader carries the id of a request, in the request and in its response.
	RequestIDHeader = "X-Request-Id"
	wrongID         = "another-request"
)

// EffectRequest is the body of POST /effects/NAME.
type EffectRequest struct {
	Key string `json:"key"`
}

// EffectResponse is the response of POST /effects/NAME. Count is the number of effects under the key so far.
type EffectResponse struct {
	RequestID string `json:"request_id"`
	Name      string `json:"name"`
	Key       string `json:"key"`
	Count     int    `json:"count"`
}

// Effects is the response of GET /effects.
type Effects struct {
	Total     int            `json:"total"`
	ByRequest map[string]int `json:"by_request"`
	ByKey     map[string]int `json:"by_key"`
}

// Server is the fake service. It implements http.Handler.
type Server struct {
	// Faults holds the fault set with PUT /fault.
	Faults fault.Injector
	// Received records the requests that the service receives.
	Received record.Recorder

	mux         *http.ServeMux
	connections *fault.Connections
	latency     time.Duration

	mu        sync.Mutex
	effects   Effects
	downUntil time.Time
}

// Option configures a new Server.
type Option func(*Server)

// WithLatency sets the processing time of each request.
func WithLatency(d time.Duration) Option { return func(s *Server) { s.latency = d } }

// New returns a service whose counters are zero.
func New(opts ...Option) *Server {
	s := &Server{mux: http.NewServeMux(), connections: fault.NewConnections()}
	s.effects = Effects{ByRequest: map[string]int{}, ByKey: map[string]int{}}
	for _, o := range opts {
		o(s)
	}
	s.Faults.OnSet = s.onFault
	s.Faults.Register(s.mux)
	s.Received.Register(s.mux)
	s.mux.HandleFunc("POST /effects/{name}", s.handleEffect)
	s.mux.HandleFunc("GET /effects", func(w http.ResponseWriter, _ *http.Request) { fault.WriteJSON(w, s.Effects()) })
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Effects returns the counters.
func (s *Server) Effects() Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Effects{
		Total: s.effects.Total, ByRequest: maps.Clone(s.effects.ByRequest), ByKey: maps.Clone(s.effects.ByKey),
	}
}

func (s *Server) onFault(f fault.Spec) {
	switch f.Mode {
	case fault.Silent:
		s.Faults.Clear()
		s.connections.SilenceAll()
	case fault.Crash:
		s.Faults.Clear()
		s.mu.Lock()
		s.downUntil = time.Now().Add(f.Delay())
		s.mu.Unlock()
	}
}

func (s *Server) handleEffect(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(RequestIDHeader)
	body, err := s.Received.Record(r, func([]byte) string { return id })
	var in EffectRequest
	if err != nil || json.Unmarshal(body, &in) != nil {
		http.Error(w, "bad effect", http.StatusBadRequest)
		return
	}
	s.connections.Track(r)
	s.mu.Lock()
	down := time.Now().Before(s.downUntil)
	s.mu.Unlock()
	if down {
		fault.AbortConnection()
	}
	if !s.applyFaultsBefore(w, r) {
		return
	}
	out := s.recordEffect(id, r.PathValue("name"), in.Key)
	s.applyFaultsAfter(r, &out)
	s.connections.BlockIfSilenced(r)
	w.Header().Set(RequestIDHeader, out.RequestID)
	fault.WriteJSON(w, out)
}

// applyFaultsBefore applies the latency and the faults before the effect. It reports whether the request should be
// executed.
func (s *Server) applyFaultsBefore(w http.ResponseWriter, r *http.Request) bool {
	if !fault.Sleep(r, s.latency) {
		return false
	}
	f, ok := s.Faults.Next(fault.Hang, fault.Slow, fault.Error500, fault.Refuse)
	if !ok {
		return true
	}
	switch f.Mode {
	case fault.Hang:
		fault.BlockRequest(r)
	case fault.Error500:
		http.Error(w, "internal error", http.StatusInternalServerError)
		return false
	case fault.Refuse:
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return false
	}
	return fault.Sleep(r, f.Delay())
}

// applyFaultsAfter applies the faults after the effect.
func (s *Server) applyFaultsAfter(r *http.Request, out *EffectResponse) {
	f, ok := s.Faults.Next(fault.CrashAfterEffect, fault.LoseResponse, fault.Lose, fault.Late, fault.WrongID)
	if !ok {
		return
	}
	switch f.Mode {
	case fault.CrashAfterEffect, fault.LoseResponse:
		fault.AbortConnection()
	case fault.Lose:
		fault.BlockRequest(r)
	case fault.Late:
		fault.Sleep(r, f.Delay())
	case fault.WrongID:
		out.RequestID = wrongID
	}
}

func (s *Server) recordEffect(id, name, key string) EffectResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effects.Total++
	s.effects.ByRequest[id]++
	s.effects.ByKey[key]++
	return EffectResponse{RequestID: id, Name: name, Key: key, Count: s.effects.ByKey[key]}
}
