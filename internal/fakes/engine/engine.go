// Package engine is a fake of a model engine with continuous batching in scaled time, a prefix cache of limited size,
// responses that are a function of their requests, and fault injection.
//
// Faults: hang (accepts requests, but neither runs them nor responds), silent (times 0: all open connections stop
// sending; times N: the next N streams stop sending after after_chunks), crash (closes all connections, discards the
// requests and the cache, and drops new requests for the delay), late (the response starts after the delay), crossed
// (responds with the content and id of another request), truncate (the stream ends after after_chunks without usage and
// end marker), lose (runs to the end and never responds), refuse (503 without running), slow (the delay between
// chunks).
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
	// maxResumable is the number of requests whose streams can be resumed.
	maxResumable = 4096
)

// Server is the fake engine. It implements http.Handler; Close stops its goroutine.
type Server struct {
	// Faults holds the fault set with PUT /fault.
	Faults fault.Injector
	// Received records the requests that the engine receives.
	Received record.Recorder

	mux         *http.ServeMux
	connections *fault.Connections
	wake        chan struct{}
	stop        chan struct{}
	done        chan struct{}
	closeOnce   sync.Once

	timeScale     float64
	prefillRate   float64
	decodeRate    float64
	transferRate  float64
	maxBatch      int
	capacity      int
	eventDelay    time.Duration
	loadReportAge time.Duration
	modelLoadTime time.Duration
	ignoreFencing bool

	mu              sync.Mutex
	cache           *cache
	queue           []*execution
	batch           []*execution
	activeTokens    int
	requests        *lru.Cache[string, *execution]
	executionCounts map[string]int
	messageCounts   map[string]int
	models          map[string]bool
	role            string
	fencingToken    int64
	orders          []Order
	downUntil       time.Time
	crashed         chan struct{}
	lastLoad        Load
	lastLoadAt      time.Time
}

// Option configures a new Server.
type Option func(*Server)

// WithTimeScale makes engine time run scale times as fast as wall-clock time.
func WithTimeScale(scale float64) Option { return func(s *Server) { s.timeScale = scale } }

// WithRates sets the prefill and decode throughput of the whole batch, in tokens per second of engine time.
func WithRates(prefill, decode float64) Option {
	return func(s *Server) { s.prefillRate, s.decodeRate = prefill, decode }
}

// WithMaxBatch limits the number of requests in the batch.
func WithMaxBatch(n int) Option { return func(s *Server) { s.maxBatch = n } }

// WithCapacity sets the memory size in tokens, shared by the cache and running requests.
func WithCapacity(tokens int) Option { return func(s *Server) { s.capacity = tokens } }

// WithTransferRate sets the throughput of cache export and import in tokens per second of engine time; 0 makes
// transfers immediate.
func WithTransferRate(rate float64) Option { return func(s *Server) { s.transferRate = rate } }

// WithCacheEvents delays cache events and drops every dropEvery-th one; 0 drops none.
func WithCacheEvents(delay time.Duration, dropEvery int64) Option {
	return func(s *Server) { s.eventDelay, s.cache.dropEvery = delay, dropEvery }
}

// WithLoadReportAge sets the age at which a load report is replaced by a new one.
func WithLoadReportAge(d time.Duration) Option { return func(s *Server) { s.loadReportAge = d } }

// WithModels sets the loaded models. Without it, every model is served.
func WithModels(names ...string) Option {
	return func(s *Server) {
		s.models = map[string]bool{}
		for _, n := range names {
			s.models[n] = true
		}
	}
}

// WithModelLoadTime sets the duration of a load order, in engine time.
func WithModelLoadTime(d time.Duration) Option { return func(s *Server) { s.modelLoadTime = d } }

// WithoutFencing makes the engine accept orders with stale fencing tokens.
func WithoutFencing() Option { return func(s *Server) { s.ignoreFencing = true } }

// New starts an engine.
func New(opts ...Option) *Server {
	s := &Server{
		mux: http.NewServeMux(), connections: fault.NewConnections(),
		wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
		timeScale: 1, prefillRate: defaultPrefillRate, decodeRate: defaultDecodeRate,
		maxBatch: defaultMaxBatch, capacity: defaultCapacity,
		cache: newCache(), executionCounts: map[string]int{}, messageCounts: map[string]int{}, crashed: make(chan struct{}),
	}
	s.requests, _ = lru.New[string, *execution](maxResumable)
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

// Close stops the engine's goroutine. Running requests make no further progress.
func (s *Server) Close() {
	s.closeOnce.Do(func() { close(s.stop) })
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
		fault.WriteJSON(w, Executions{Counts: s.Executions(), Messages: s.receivedMessages()})
	})
}

// handle registers a handler that never responds on silenced connections and drops requests while the engine is down
// after a crash.
func (s *Server) handle(pattern string, h http.HandlerFunc) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		s.connections.Track(r)
		s.mu.Lock()
		down := time.Now().Before(s.downUntil)
		s.mu.Unlock()
		if down {
			fault.AbortConnection()
		}
		h(w, r)
	})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Executions returns the number of runs by request id.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.executionCounts))
	for id, n := range s.executionCounts {
		out[id] = n
	}
	return out
}

func (s *Server) receivedMessages() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.messageCounts)
}

func (s *Server) onFault(f fault.Spec) {
	switch {
	case f.Mode == fault.Crash:
		s.Faults.Clear()
		s.crash(f.Delay())
	case f.Mode == fault.Silent && f.Times == 0:
		s.Faults.Clear()
		s.connections.SilenceAll()
	}
}

// crash discards requests and cache. Counters and recorded requests are kept for the tests.
func (s *Server) crash(down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downUntil = time.Now().Add(down)
	for _, x := range append(s.batch, s.queue...) {
		x.state, x.crashed = cancelled, true
		x.notify()
	}
	s.batch, s.queue, s.activeTokens = nil, nil, 0
	s.requests.Purge()
	dropEvery := s.cache.dropEvery
	s.cache = newCache()
	s.cache.dropEvery = dropEvery
	close(s.crashed)
	s.crashed = make(chan struct{})
}

// transferTime returns the wall-clock duration of an export or import.
func (s *Server) transferTime(tokens int) time.Duration {
	if s.transferRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / s.transferRate / s.timeScale * float64(time.Second))
}
