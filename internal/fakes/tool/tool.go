// Package tool is a stand-in for a tool service of agents: a call takes a while and answers with a text that is derived
// from its input.
//
// Faults: hang, slow (the delay on top), error500, refuse.
package tool

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/berylpond/berylpond/internal/fakes/fault"
	"github.com/berylpond/berylpond/internal/fakes/record"
)

const (
	requestIDHeader = "X-Request-Id"
	maxCallTime     = 10 * time.Minute
)

// CallRequest is the body of POST /call/NAME. DurationMS overrides how long the call takes.
type CallRequest struct {
	Input      string `json:"input"`
	DurationMS int64  `json:"duration_ms,omitempty"`
}

// CallResponse answers POST /call/NAME.
type CallResponse struct {
	RequestID string `json:"request_id,omitempty"`
	Output    string `json:"output"`
}

// Server is the tool service. It is an http.Handler.
type Server struct {
	// Faults is the switch behind PUT /fault.
	Faults fault.Switch
	// Received holds every call that reached the service.
	Received record.Recorder

	mux     *http.ServeMux
	latency time.Duration
	calls   atomic.Int64
}

// Option changes a Server under construction.
type Option func(*Server)

// WithLatency sets the time of calls that do not give their own.
func WithLatency(d time.Duration) Option { return func(s *Server) { s.latency = d } }

// New returns a tool service.
func New(opts ...Option) *Server {
	s := &Server{mux: http.NewServeMux()}
	for _, o := range opts {
		o(s)
	}
	s.Faults.Register(s.mux)
	s.Received.Register(s.mux)
	s.mux.HandleFunc("POST /call/{name}", s.handleCall)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Calls returns the number of calls that were carried out.
func (s *Server) Calls() int64 { return s.calls.Load() }

// Output returns the answer of the named tool to an input.
func Output(name, input string) string {
	return fmt.Sprintf("%s:%016x", name, xxhash.Sum64String(input))
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(requestIDHeader)
	body, err := s.Received.Take(r, func([]byte) string { return id })
	var in CallRequest
	if err != nil || json.Unmarshal(body, &in) != nil {
		http.Error(w, "bad call", http.StatusBadRequest)
		return
	}
	d := s.latency
	if in.DurationMS > 0 {
		d = min(maxCallTime, time.Duration(in.DurationMS)*time.Millisecond)
	}
	f, _ := s.Faults.Take(fault.Hang, fault.Slow, fault.Error500, fault.Refuse)
	switch f.Mode {
	case fault.Hang:
		fault.Block(r)
	case fault.Error500:
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	case fault.Refuse:
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	case fault.Slow:
		d += f.Delay()
	}
	if !fault.Wait(r, d) {
		return
	}
	s.calls.Add(1)
	w.Header().Set(requestIDHeader, id)
	fault.JSON(w, CallResponse{RequestID: id, Output: Output(r.PathValue("name"), in.Input)})
}
