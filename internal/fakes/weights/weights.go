// Package weights is a fake of the platform's weight store. All readers share one limit on the bytes per second.
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
	defaultSize       = 64 << 20
	defaultRate       = 256 << 20
	chunkBytes        = 64 << 10
	retryAfterSeconds = "1"
)

// Server is the fake weight store. It implements http.Handler.
type Server struct {
	// Faults holds the fault set with PUT /fault.
	Faults fault.Injector

	mux     *http.ServeMux
	sizes   map[string]int64
	rate    float64
	readers chan struct{}
	limiter *rate.Limiter
}

// Option configures a new Server.
type Option func(*Server)

// WithWeights adds weights of size bytes. Without it every name exists with a default size.
func WithWeights(name string, size int64) Option {
	return func(s *Server) { s.sizes[name] = size }
}

// WithRate limits the total throughput of all readers.
func WithRate(bytesPerSecond float64) Option { return func(s *Server) { s.rate = bytesPerSecond } }

// WithMaxReaders limits the number of concurrent readers; further requests get 429.
func WithMaxReaders(n int) Option {
	return func(s *Server) {
		if n > 0 {
			s.readers = make(chan struct{}, n)
		}
	}
}

// New returns a weight store.
func New(opts ...Option) *Server {
	s := &Server{mux: http.NewServeMux(), sizes: map[string]int64{}, rate: defaultRate}
	for _, o := range opts {
		o(s)
	}
	s.limiter = rate.NewLimiter(rate.Limit(s.rate), chunkBytes)
	s.Faults.Register(s.mux)
	s.mux.HandleFunc("GET /v1/weights/{name}", s.handleGet)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	f, _ := s.Faults.Next(fault.Outage, fault.Slow, fault.Hang)
	switch f.Mode {
	case fault.Outage:
		http.Error(w, "weight store is away", http.StatusServiceUnavailable)
		return
	case fault.Hang:
		fault.BlockRequest(r)
	}
	if !fault.Sleep(r, f.Delay()) {
		return
	}
	if !s.acquireReader() {
		w.Header().Set("Retry-After", retryAfterSeconds)
		http.Error(w, "too many readers", http.StatusTooManyRequests)
		return
	}
	defer s.releaseReader()
	size, ok := s.sizes[r.PathValue("name")]
	switch {
	case ok:
	case len(s.sizes) > 0:
		http.Error(w, "no such weights", http.StatusNotFound)
		return
	default:
		size = defaultSize
	}
	s.sendWeights(w, r, size)
}

func (s *Server) acquireReader() bool {
	if s.readers == nil {
		return true
	}
	select {
	case s.readers <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *Server) releaseReader() {
	if s.readers != nil {
		<-s.readers
	}
}

func (s *Server) sendWeights(w http.ResponseWriter, r *http.Request, size int64) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	chunk := make([]byte, chunkBytes)
	for size > 0 {
		n := min(size, chunkBytes)
		if err := s.limiter.WaitN(r.Context(), int(n)); err != nil {
			fault.AbortConnection()
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		size -= n
	}
}
