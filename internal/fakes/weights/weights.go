// Package weights is a stand-in for the platform's weight store, whose bytes per second are limited for all readers
// together.
//
// Faults: outage, slow (the delay before each read), hang.
package weights

import (
	"net/http"
	"strconv"

	"golang.org/x/time/rate"

	"github.com/berylpond/berylpond/internal/fakes/fault"
)

const (
	defaultSize    = 64 << 20
	defaultRate    = 256 << 20
	pieceBytes     = 64 << 10
	retryAfterBusy = "1"
)

// Server is the weight store. It is an http.Handler.
type Server struct {
	// Faults is the switch behind PUT /fault.
	Faults fault.Switch

	mux     *http.ServeMux
	sizes   map[string]int64
	rate    float64
	slots   chan struct{}
	limiter *rate.Limiter
}

// Option changes a Server under construction.
type Option func(*Server)

// WithWeights adds weights of size bytes. Without it every name is there, with a default size.
func WithWeights(name string, size int64) Option {
	return func(s *Server) { s.sizes[name] = size }
}

// WithRate limits the bytes per second of all readers together.
func WithRate(bytesPerSecond float64) Option { return func(s *Server) { s.rate = bytesPerSecond } }

// WithMaxReaders answers 429 to readers above n.
func WithMaxReaders(n int) Option {
	return func(s *Server) {
		if n > 0 {
			s.slots = make(chan struct{}, n)
		}
	}
}

// New returns a weight store.
func New(opts ...Option) *Server {
	s := &Server{mux: http.NewServeMux(), sizes: map[string]int64{}, rate: defaultRate}
	for _, o := range opts {
		o(s)
	}
	s.limiter = rate.NewLimiter(rate.Limit(s.rate), pieceBytes)
	s.Faults.Register(s.mux)
	s.mux.HandleFunc("GET /v1/weights/{name}", s.handleGet)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	f, _ := s.Faults.Take(fault.Outage, fault.Slow, fault.Hang)
	switch f.Mode {
	case fault.Outage:
		http.Error(w, "weight store is away", http.StatusServiceUnavailable)
		return
	case fault.Hang:
		fault.Block(r)
	}
	if !fault.Wait(r, f.Delay()) {
		return
	}
	if !s.enter() {
		w.Header().Set("Retry-After", retryAfterBusy)
		http.Error(w, "too many readers", http.StatusTooManyRequests)
		return
	}
	defer s.leave()
	size, ok := s.sizes[r.PathValue("name")]
	switch {
	case ok:
	case len(s.sizes) > 0:
		http.Error(w, "no such weights", http.StatusNotFound)
		return
	default:
		size = defaultSize
	}
	s.send(w, r, size)
}

func (s *Server) enter() bool {
	if s.slots == nil {
		return true
	}
	select {
	case s.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *Server) leave() {
	if s.slots != nil {
		<-s.slots
	}
}

func (s *Server) send(w http.ResponseWriter, r *http.Request, size int64) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	piece := make([]byte, pieceBytes)
	for size > 0 {
		n := min(size, pieceBytes)
		if err := s.limiter.WaitN(r.Context(), int(n)); err != nil {
			fault.Drop()
		}
		if _, err := w.Write(piece[:n]); err != nil {
			return
		}
		size -= n
	}
}
