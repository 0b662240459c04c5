// Package runner is a fake of a backend server on the platform: a model engine that streams events, or a plain service.
// It records the requests that it executes.
package runner

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Execution is a request that the server has executed.
type Execution struct {
	ID, Method, Target, Account string
	Body                        string
	Header                      http.Header
	// Cancelled is set if the client disconnected before the end of the stream.
	Cancelled bool
}

// Server is the fake backend server.
type Server struct {
	*httptest.Server
	ID, Service string
	// Events is the number of events of a stream; with 0 the server is a plain service.
	Events int
	// EventInterval is the delay after each event, or before the response of a plain service.
	EventInterval time.Duration
	// Incarnation changes with each start.
	Incarnation int
	// ColdLeft is how much longer the server says that it is cold.
	ColdLeft time.Duration
	// Handler, if not nil, is called first for each request. If it returns true, it has handled the request.
	Handler func(w http.ResponseWriter, r *http.Request, body string) bool

	mu         sync.Mutex
	executions []*Execution
}

// Start starts a server at an address of its own.
func Start(id, service string, events int) *Server {
	s := &Server{ID: id, Service: service, Events: events, Incarnation: 1}
	s.Server = httptest.NewServer(s)
	return s
}

// Registration returns the JSON document with which the server registers itself on the platform.
func (s *Server) Registration(state string) []byte {
	host, port, _ := net.SplitHostPort(s.Listener.Addr().String())
	b, _ := json.Marshal(map[string]any{
		"service": s.Service, "addr": net.JoinHostPort(host, port), "zone": "a", "slots": 8, "state": state, "seq": 1,
		"born": s.Incarnation, "coldLeftMs": s.ColdLeft.Milliseconds(),
	})
	return b
}

// Crash breaks every connection and refuses new ones until Restart. A handler may call it.
func (s *Server) Crash() {
	s.mu.Lock()
	crashed := s.Server
	s.mu.Unlock()
	crashed.Listener.Close()
	crashed.CloseClientConnections()
}

// Restart starts a crashed server at its former address, as a new incarnation.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := net.Listen("tcp", s.Listener.Addr().String())
	if err != nil {
		return err
	}
	s.Server = httptest.NewUnstartedServer(s)
	s.Server.Listener.Close()
	s.Server.Listener = l
	s.Server.Start()
	s.Incarnation++
	return nil
}

// Executions returns the executed requests.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Execution, 0, len(s.executions))
	for _, r := range s.executions {
		out = append(out, *r)
	}
	return out
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if e := r.Header.Get("Expect-Instance"); e != "" && e != s.ID {
		w.Header().Set("Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.Handler != nil && s.Handler(w, r, string(b)) {
		return
	}
	execution := &Execution{
		ID: r.Header.Get("Request-Id"), Method: r.Method, Target: r.RequestURI, Account: r.Header.Get("Tenant"),
		Body: string(b), Header: r.Header,
	}
	s.mu.Lock()
	s.executions = append(s.executions, execution)
	n := len(s.executions)
	s.mu.Unlock()
	w.Header().Set("Request-Id", execution.ID)
	w.Header().Set("Response-Stamp", "stamp-"+execution.ID)
	if s.Events == 0 {
		time.Sleep(s.EventInterval)
		fmt.Fprintf(w, "%s answers %s", s.ID, execution.ID)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range s.Events {
		fmt.Fprintf(w, "id: %d\ndata: %s/%d.%d\n\n", i+1, s.ID, n, i+1)
		w.(http.Flusher).Flush()
		select {
		case <-time.After(s.EventInterval):
		case <-r.Context().Done():
			s.mu.Lock()
			execution.Cancelled = true
			s.mu.Unlock()
			return
		}
	}
}
