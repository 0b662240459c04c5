// Package tool is a fake of a tool service for agents: a call takes a configurable time, and its output is a function
// of the tool's name and the input.
//
// Faults: hang, slow (adds the delay to the call's time), error500, refuse.
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

// CallRequest is the body of POST /call/NAME. DurationMS, if positive, overrides the server's latency.
type CallRequest struct {
	Input      string `json:"input"`
	DurationMS int64  `json:"duration_ms,omitempty"`
}

// CallResponse is the response of POST /call/NAME.
type CallResponse struct {
	RequestID string `json:"request_id,omitempty"`
	Output    string `json:"output"`
}

// Server is the fake tool service. It implements http.Handler.
type Server struct {
	// Faults holds the fault set with PUT /fault.
	Faults fault.Injector
	// Received records the calls that the service receives.
	Received record.Recorder

	mux     *http.ServeMux
	latency time.Duration
	calls   atomic.Int64
}

// Option configures a new Server.
type Option func(*Server)

// WithLatency sets the duration of calls without a DurationMS.
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

// Calls returns the number of executed calls.
func (s *Server) Calls() int64 { return s.calls.Load() }

// Output returns the output of the named tool for an input.
func Output(name, input string) string {
	return fmt.Sprintf("%s:%016x", name, xxhash.Sum64String(input))
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(requestIDHeader)
	body, err := s.Received.Record(r, func([]byte) string { return id })
	var in CallRequest
	if err != nil || json.Unmarshal(body, &in) != nil {
		http.Error(w, "bad call", http.StatusBadRequest)
		return
	}
	d := s.latency
	if in.DurationMS > 0 {
		d = min(maxCallTime, time.Duration(in.DurationMS)*time.Millisecond)
	}
	f, _ := s.Faults.Next(fault.Hang, fault.Slow, fault.Error500, fault.Refuse)
	switch f.Mode {
	case fault.Hang:
		fault.BlockRequest(r)
	case fault.Error500:
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	case fault.Refuse:
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	case fault.Slow:
		d += f.Delay()
	}
	if !fault.Sleep(r, d) {
		return
	}
	s.calls.Add(1)
	w.Header().Set(requestIDHeader, id)
	fault.WriteJSON(w, CallResponse{RequestID: id, Output: Output(r.PathValue("name"), in.Input)})
}
