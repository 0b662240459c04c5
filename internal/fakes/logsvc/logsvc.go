// Package logsvc is a stand-in for the platform's append-only log service. It keeps its streams in memory.
//
// Faults: outage (503 to everything), hang, slow (delay before each request), lose_answer (an append takes effect and
// its connection is closed without an answer), late (an append takes effect after the delay even if its client has
// given up by then).
package logsvc

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/berylpond/berylpond/internal/fakes/fault"
)

const (
	defaultMaxRead  = 1000
	maxWait         = 30 * time.Second
	maxBodyBytes    = 64 << 20
	retryAfterLimit = "1"
)

// AppendRequest is the body of POST /v1/append.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse answers POST /v1/append.
type AppendResponse struct {
	FirstOffset int64 `json:"first_offset"`
}

// Record is one record of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// ReadResponse answers GET /v1/read. First is the oldest offset still kept, End the offset after the newest.
type ReadResponse struct {
	First   int64    `json:"first"`
	End     int64    `json:"end"`
	Records []Record `json:"records"`
}

// Stats answers GET /stats.
type Stats struct {
	Appends  int64 `json:"appends"`
	Records  int64 `json:"records"`
	Refused  int64 `json:"refused"`
	Bytes    int64 `json:"bytes"`
	LostAcks int64 `json:"lost_answers"`
}

type stored struct {
	data []byte
	at   time.Time
}

type stream struct {
	first   int64
	records []stored
	// grown is closed and replaced at each append.
	grown chan struct{}
}

// Server is the log service. It is an http.Handler.
type Server struct {
	// Faults is the switch behind PUT /fault.
	Faults fault.Switch

	mux      *http.ServeMux
	latency  time.Duration
	maxAge   time.Duration
	maxCount int
	limiter  *rate.Limiter
	now      func() time.Time

	mu      sync.Mutex
	streams map[string]*stream
	stats   Stats
}

// Option changes a Server under construction.
type Option func(*Server)

// WithRetention keeps records for age and at most count for each stream; zero means no limit.
func WithRetention(age time.Duration, count int) Option {
	return func(s *Server) { s.maxAge, s.maxCount = age, count }
}

// WithAppendLimit refuses appends above perSecond with 429. A burst of a tenth of a second is allowed.
func WithAppendLimit(perSecond float64) Option {
	return func(s *Server) {
		if perSecond > 0 {
			s.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
		}
	}
}

// WithLatency adds d to each request.
func WithLatency(d time.Duration) Option { return func(s *Server) { s.latency = d } }

// WithClock replaces the source of the time by which records age.
func WithClock(now func() time.Time) Option { return func(s *Server) { s.now = now } }

// New returns a log without records.
func New(opts ...Option) *Server {
	s := &Server{mux: http.NewServeMux(), streams: map[string]*stream{}, now: time.Now}
	for _, o := range opts {
		o(s)
	}
	s.Faults.Register(s.mux)
	s.mux.HandleFunc("POST /v1/append", s.handleAppend)
	s.mux.HandleFunc("GET /v1/read", s.handleRead)
	s.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { fault.JSON(w, s.Stats()) })
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Stats returns the counts since the start.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Append adds records to a stream, past all limits and faults, and returns the first offset.
func (s *Server) Append(name string, records [][]byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	first := st.first + int64(len(st.records))
	now := s.now()
	for _, data := range records {
		st.records = append(st.records, stored{data: data, at: now})
		s.stats.Bytes += int64(len(data))
	}
	s.stats.Appends++
	s.stats.Records += int64(len(records))
	s.expire(st)
	close(st.grown)
	st.grown = make(chan struct{})
	return first
}

// stream returns the named stream; s.mu is held.
func (s *Server) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{grown: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// expire drops what is past retention; s.mu is held.
func (s *Server) expire(st *stream) {
	drop := 0
	if s.maxCount > 0 {
		drop = max(0, len(st.records)-s.maxCount)
	}
	if s.maxAge > 0 {
		limit := s.now().Add(-s.maxAge)
		for drop < len(st.records) && st.records[drop].at.Before(limit) {
			drop++
		}
	}
	if drop == 0 {
		return
	}
	st.records = append([]stored(nil), st.records[drop:]...)
	st.first += int64(drop)
}

// admit applies latency and the faults that hit every request. It reports whether to go on.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	if !fault.Wait(r, s.latency) {
		return false
	}
	f, ok := s.Faults.Take(fault.Outage, fault.Slow, fault.Hang)
	if !ok {
		return true
	}
	switch f.Mode {
	case fault.Outage:
		http.Error(w, "log is away", http.StatusServiceUnavailable)
		return false
	case fault.Hang:
		fault.Block(r)
	}
	return fault.Wait(r, f.Delay())
}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	var body AppendRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil || len(body.Records) == 0 {
		http.Error(w, "bad append", http.StatusBadRequest)
		return
	}
	if !s.admit(w, r) {
		return
	}
	if s.limiter != nil && !s.limiter.Allow() {
		s.count(func(st *Stats) { st.Refused++ })
		w.Header().Set("Retry-After", retryAfterLimit)
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	if f, ok := s.Faults.Take(fault.Late); ok {
		time.Sleep(f.Delay())
	}
	first := s.Append(r.URL.Query().Get("stream"), body.Records)
	if _, ok := s.Faults.Take(fault.LoseAnswer); ok {
		s.count(func(st *Stats) { st.LostAcks++ })
		fault.Drop()
	}
	fault.JSON(w, AppendResponse{FirstOffset: first})
}

func (s *Server) count(f func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.stats)
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "bad offset", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(q.Get("max"))
	if err != nil || limit <= 0 {
		limit = defaultMaxRead
	}
	waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if !s.admit(w, r) {
		return
	}
	deadline := time.Now().Add(min(maxWait, time.Duration(waitMS)*time.Millisecond))
	for {
		page, grown := s.read(q.Get("stream"), from, limit)
		left := time.Until(deadline)
		if len(page.Records) > 0 || left <= 0 || page.First > from {
			fault.JSON(w, page)
			return
		}
		if !waitGrown(r, grown, left) {
			return
		}
	}
}

// waitGrown returns false when the request has ended.
func waitGrown(r *http.Request, grown <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-grown:
	case <-t.C:
	case <-r.Context().Done():
		return false
	}
	return true
}

func (s *Server) read(name string, from int64, limit int) (ReadResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	s.expire(st)
	page := ReadResponse{First: st.first, End: st.first + int64(len(st.records)), Records: []Record{}}
	for o := max(from, st.first); o < page.End && len(page.Records) < limit; o++ {
		page.Records = append(page.Records, Record{Offset: o, Data: st.records[o-st.first].data})
	}
	return page, st.grown
}
