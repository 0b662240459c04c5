// Package fault holds the switch by which tests make a stand-in fail at run time.
package fault

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Mode names a way of failing. Each stand-in documents the modes that it knows.
type Mode string

// Modes of the stand-ins.
const (
	// Hang accepts requests and never answers them.
	Hang Mode = "hang"
	// Silent stops sending on the connections that are open, without closing them; new connections work.
	Silent Mode = "silent"
	// Crash closes all connections and refuses new requests for the delay.
	Crash Mode = "crash"
	// CrashAfterEffect takes effect and closes the connection without an answer.
	CrashAfterEffect Mode = "crash_after_effect"
	// Late answers after the delay.
	Late Mode = "late"
	// Slow adds the delay to each request.
	Slow Mode = "slow"
	// Crossed answers with the content and the id of another request.
	Crossed Mode = "crossed"
	// WrongID answers with the id of another request.
	WrongID Mode = "wrong_id"
	// Truncate ends a stream without usage and end marker.
	Truncate Mode = "truncate"
	// Lose takes effect and never sends the answer.
	Lose Mode = "lose"
	// LoseAnswer takes effect and closes the connection without an answer.
	LoseAnswer Mode = "lose_answer"
	// Refuse answers 503 before any effect.
	Refuse Mode = "refuse"
	// Error500 answers 500 without an effect.
	Error500 Mode = "error500"
	// Outage answers 503 to everything.
	Outage Mode = "outage"
	// Stale freezes what is reported.
	Stale Mode = "stale"
)

// Spec is the body of PUT /fault.
type Spec struct {
	Mode Mode `json:"mode"`
	// Times is the number of requests that fail; 0 means until the fault is removed.
	Times int `json:"times"`
	// DelayMS is in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// AfterChunks is the number of content chunks that pass before a stream fails.
	AfterChunks int `json:"after_chunks"`
}

// Delay returns DelayMS as a duration.
func (s Spec) Delay() time.Duration { return time.Duration(s.DelayMS) * time.Millisecond }

// Switch holds at most one fault. The zero value is off.
type Switch struct {
	// OnSet, if not nil, is called after each Set without the lock held. It is set before the switch is used.
	OnSet func(Spec)

	mu   sync.Mutex
	spec Spec
	left int
}

// Set arms the fault in place of the previous one.
func (s *Switch) Set(spec Spec) {
	s.mu.Lock()
	s.spec, s.left = spec, spec.Times
	s.mu.Unlock()
	if s.OnSet != nil {
		s.OnSet(spec)
	}
}

// Clear removes the fault.
func (s *Switch) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spec, s.left = Spec{}, 0
}

// Take returns the armed fault if its mode is one of modes, and uses up one of its times.
func (s *Switch) Take(modes ...Mode) (Spec, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.spec.Mode == "" || !slices.Contains(modes, s.spec.Mode) {
		return Spec{}, false
	}
	spec := s.spec
	if s.spec.Times > 0 {
		if s.left--; s.left <= 0 {
			s.spec = Spec{}
		}
	}
	return spec, true
}

// Register adds PUT /fault and DELETE /fault to mux.
func (s *Switch) Register(mux *http.ServeMux) {
	mux.HandleFunc("PUT /fault", func(w http.ResponseWriter, r *http.Request) {
		var spec Spec
		if err := json.NewDecoder(r.Body).Decode(&spec); err != nil || spec.Mode == "" {
			http.Error(w, "bad fault", http.StatusBadRequest)
			return
		}
		s.Set(spec)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("DELETE /fault", func(w http.ResponseWriter, _ *http.Request) {
		s.Clear()
		w.WriteHeader(http.StatusNoContent)
	})
}

// Wait sleeps for d or until the request ends. It reports whether the request is still wanted.
func Wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// Drop closes the connection of the current request without an answer. It does not return.
func Drop() { panic(http.ErrAbortHandler) }

// Block holds the request without an answer until the client gives up, then drops it. It does not return. It reads the
// body first, because the server notices only after its end that the client has gone.
func Block(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	Drop()
}

// JSON writes v as the answer.
func JSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
