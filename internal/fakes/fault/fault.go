// Package fault injects faults into the fakes at run time.
package fault

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Mode is a kind of fault. Each fake documents the modes that it supports.
type Mode string

// Modes of the fakes.
const (
	// Hang accepts requests and never responds.
	Hang Mode = "hang"
	// Silent stops sending on the connections that are open, without closing them; new connections work.
	Silent Mode = "silent"
	// Crash closes all connections and drops new requests for the delay.
	Crash Mode = "crash"
	// CrashAfterEffect executes the request and closes the connection without a response.
	CrashAfterEffect Mode = "crash_after_effect"
	// Late responds after the delay.
	Late Mode = "late"
	// Slow adds the delay to each request.
	Slow Mode = "slow"
	// Mismatched responds with the content and the id of another request.
	Mismatched Mode = "crossed"
	// WrongID responds with the id of another request.
	WrongID Mode = "wrong_id"
	// Truncate ends a stream without usage and end marker.
	Truncate Mode = "truncate"
	// Lose executes the request, never responds and keeps the connection open.
	Lose Mode = "lose"
	// LoseResponse executes the request and closes the connection without a response.
	LoseResponse Mode = "lose_answer"
	// Refuse responds with 503 without executing the request.
	Refuse Mode = "refuse"
	// Error500 responds with 500 without executing the request.
	Error500 Mode = "error500"
	// Outage responds with 503 to every request.
	Outage Mode = "outage"
	// Stale keeps reporting the state at the time the fault was set.
	Stale Mode = "stale"
)

// Spec is the body of PUT /fault.
type Spec struct {
	Mode Mode `json:"mode"`
	// Times is the number of requests that fail; with 0 requests fail until the fault is removed.
	Times   int   `json:"times"`
	DelayMS int64 `json:"delay_ms"`
	// AfterChunks is the number of content chunks sent before a stream fails.
	AfterChunks int `json:"after_chunks"`
}

// Delay returns DelayMS as a duration.
func (s Spec) Delay() time.Duration { return time.Duration(s.DelayMS) * time.Millisecond }

// Injector holds at most one active fault. The zero value has none.
type Injector struct {
	// OnSet, if not nil, is called after each Set without the lock held. It must be assigned before the switch is used.
	OnSet func(Spec)

	mu        sync.Mutex
	spec      Spec
	remaining int
}

// Set activates the fault and replaces the previous one.
func (in *Injector) Set(spec Spec) {
	in.mu.Lock()
	in.spec, in.remaining = spec, spec.Times
	in.mu.Unlock()
	if in.OnSet != nil {
		in.OnSet(spec)
	}
}

// Clear removes the fault.
func (in *Injector) Clear() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.spec, in.remaining = Spec{}, 0
}

// Next returns the active fault if its mode is one of modes, and counts the call against Spec.Times.
func (in *Injector) Next(modes ...Mode) (Spec, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.spec.Mode == "" || !slices.Contains(modes, in.spec.Mode) {
		return Spec{}, false
	}
	spec := in.spec
	if in.spec.Times > 0 {
		if in.remaining--; in.remaining <= 0 {
			in.spec = Spec{}
		}
	}
	return spec, true
}

// Register adds the routes PUT /fault and DELETE /fault to mux.
func (in *Injector) Register(mux *http.ServeMux) {
	mux.HandleFunc("PUT /fault", func(w http.ResponseWriter, r *http.Request) {
		var spec Spec
		if err := json.NewDecoder(r.Body).Decode(&spec); err != nil || spec.Mode == "" {
			http.Error(w, "bad fault", http.StatusBadRequest)
			return
		}
		in.Set(spec)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("DELETE /fault", func(w http.ResponseWriter, _ *http.Request) {
		in.Clear()
		w.WriteHeader(http.StatusNoContent)
	})
}

// Sleep sleeps for d or until the request is cancelled. It reports whether the request is still active.
func Sleep(r *http.Request, d time.Duration) bool {
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

// AbortConnection closes the connection of the current request without a response. It does not return.
func AbortConnection() { panic(http.ErrAbortHandler) }

// BlockRequest holds the request without a response until the client disconnects, then drops it. It does not return. It
// first reads the body, because the server detects a disconnect only after the end of the body.
func BlockRequest(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	AbortConnection()
}

// WriteJSON writes v as a JSON response.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
