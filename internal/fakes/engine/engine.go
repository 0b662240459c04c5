// Package engine is a stand-in for a model engine: continuous batching at scaled time, a prefix cache of limited size,
// answers that are derived from their requests, and faults.
//
// Faults: hang (accepts, never runs nor answers), silent (times 0: all open connections stop sending; times N: the next
// N streams do so after after_chunks), crash (drops all connections, requests and cache, and drops new requests for the
// delay), late (the answer starts after the delay), crossed (the content and id of another request), truncate (the
// stream ends after after_chunks without usage and end marker), lose (runs to the end, never answers), refuse (503
// before running), slow (the delay between chunks).
package engine

import (
	"maps"
	"net/http"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/berylpond/berylpond/internal/fakes/fault"
	"github.com/berylpond/berylpond/internal/fakes/record"
)

const (
	defaultPrefillRate = 8000.0
	defaultDecodeRate  = 1500.0
	defaultMaxBatch    = 32
	defaultCapacity    = 200_000
	// keptRequests is the number of requests whose streams can be resumed.
	keptRequests = 4096
)

// Server is the engine. It is an http.Handler; Close ends its goroutine.
type Server struct {
	// Faults is the switch behind PUT /fault.
	Faults fault.Switch
	// Received holds every request that reached the engine.
	Received record.Recorder

	mux         *http.ServeMux
	connections *fault.Connections
	wake        chan struct{}
	stop        chan struct{}
	done        chan struct{}
	closing     sync.Once

	scale        float64
	prefillRate  float64
	decodeRate   float64
	transferRate float64
	maxBatch     int
	capacity     int
	eventDelay   time.Duration
	loadLag      time.Duration
	loadTime     time.Duration
	ignoreFence  bool

	mu         sync.Mutex
	cache      *cache
	queue      []*execution
	batch      []*execution
	active     int
	requests   *lru.Cache[string, *execution]
	counts     map[string]int
	messages   map[string]int
	models     map[string]bool
	role       string
	fence      int64
	orders     []Order
	downUntil  time.Time
	crashed    chan struct{}
	reported   Load
	reportedAt time.Time
}

// Option changes a Server under construction.
type Option func(*Server)

// WithTimeScale makes engine time pass scale times as fast as the clock.
func WithTimeScale(scale float64) Option { return func(s *Server) { s.scale = scale } }

// WithRates sets the tokens of prompt and of answers, all requests of the batch together, per second of engine time.
func WithRates(prefill, decode float64) Option {
	return func(s *Server) { s.prefillRate, s.decodeRate = prefill, decode }
}

// WithMaxBatch limits the requests that run together.
func WithMaxBatch(n int) Option { return func(s *Server) { s.maxBatch = n } }

// WithCapacity sets the tokens that fit in memory, cached and running together.
func WithCapacity(tokens int) Option { return func(s *Server) { s.capacity = tokens } }

// WithTransferRate sets the tokens per second of engine time of cache export and import; 0 means at once.
func WithTransferRate(rate float64) Option { return func(s *Server) { s.transferRate = rate } }

// WithEvents delays cache events and loses each dropEvery-th; 0 loses none.
func WithEvents(delay time.Duration, dropEvery int64) Option {
	return func(s *Server) { s.eventDelay, s.cache.dropEvery = delay, dropEvery }
}

// WithLoadLag sets how long a load report stays unchanged.
func WithLoadLag(d time.Duration) Option { return func(s *Server) { s.loadLag = d } }

// WithModels sets the models that are loaded. Without it, every model is.
func WithModels(names ...string) Option {
	return func(s *Server) {
		s.models = map[string]bool{}
		for _, n := range names {
			s.models[n] = true
		}
	}
}

// WithModelLoadTime sets the engine time of an order to load.
func WithModelLoadTime(d time.Duration) Option { return func(s *Server) { s.loadTime = d } }

// WithIgnoredFence makes the engine obey orders with old fencing numbers.
func WithIgnoredFence() Option { return func(s *Server) { s.ignoreFence = true } }

// New starts an engine.
func New(opts ...Option) *Server {
	s := &Server{
		mux: http.NewServeMux(), connections: fault.NewConnections(),
		wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
		scale: 1, prefillRate: defaultPrefillRate, decodeRate: defaultDecodeRate,
		maxBatch: defaultMaxBatch, capacity: defaultCapacity,
		cache: newCache(), counts: map[string]int{}, messages: map[string]int{}, crashed: make(chan struct{}),
	}
	s.requests, _ = lru.New[string, *execution](keptRequests)
	for _, o := range opts {
		o(s)
	}
	s.Faults.OnSet = s.onFault
	s.Faults.Register(s.mux)
	s.Received.Register(s.mux)
	s.register()
	go s.run()
	return s
}

// Close ends the engine's goroutine. Requests in progress stand still.
func (s *Server) Close() {
	s.closing.Do(func() { close(s.stop) })
	<-s.done
}

func (s *Server) register() {
	s.handle("POST /v1/chat/completions", s.handleChat)
	s.handle("GET /v1/requests/{id}/stream", s.handleResume)
	s.handle("POST /v1/requests/{id}/cancel", s.handleCancel)
	s.handle("GET /v1/load", s.handleLoad)
	s.handle("GET /v1/cache/events", s.handleEvents)
	s.handle("GET /v1/cache/keys", s.handleKeys)
	s.handle("POST /v1/cache/release", s.handleRelease)
	s.handle("GET /v1/cache/export", s.handleExport)
	s.handle("POST /v1/cache/import", s.handleImport)
	s.handle("POST /v1/orders", s.handleOrder)
	s.handle("GET /v1/orders", s.handleOrders)
	s.mux.HandleFunc("GET /executions", func(w http.ResponseWriter, _ *http.Request) {
		fault.JSON(w, Executions{Counts: s.Executions(), Messages: s.messagesReceived()})
	})
}

// handle adds a route that fails with its connection and with a crash of the engine.
func (s *Server) handle(pattern string, h http.HandlerFunc) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		s.connections.Use(r)
		s.mu.Lock()
		down := time.Now().Before(s.downUntil)
		s.mu.Unlock()
		if down {
			fault.Drop()
		}
		h(w, r)
	})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Executions returns how often each request id was run.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.counts))
	for id, n := range s.counts {
		out[id] = n
	}
	return out
}

func (s *Server) messagesReceived() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.messages)
}

func (s *Server) onFault(f fault.Spec) {
	switch {
	case f.Mode == fault.Crash:
		s.Faults.Clear()
		s.crash(f.Delay())
	case f.Mode == fault.Silent && f.Times == 0:
		s.Faults.Clear()
		s.connections.Silence()
	}
}

// crash loses everything in memory but what tests ask for.
func (s *Server) crash(down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downUntil = time.Now().Add(down)
	for _, x := range append(s.batch, s.queue...) {
		x.state, x.crashed = cancelled, true
		x.notify()
	}
	s.batch, s.queue, s.active = nil, nil, 0
	s.requests.Purge()
	dropEvery := s.cache.dropEvery
	s.cache = newCache()
	s.cache.dropEvery = dropEvery
	close(s.crashed)
	s.crashed = make(chan struct{})
}

// transferTime returns the clock time of an export or import.
func (s *Server) transferTime(tokens int) time.Duration {
	if s.transferRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / s.transferRate / s.scale * float64(time.Second))
}
