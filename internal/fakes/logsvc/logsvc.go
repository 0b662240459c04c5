// Package logsvc is a fake of the platform's append-only log service. It stores its streams in memory.
//
// Faults: outage (503 to every request), hang, slow (delay before each request), lose_answer (an append is executed and
// its connection is closed without a response), late (an append is executed after the delay, even if its client has
// disconnected by then).
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
	defaultMaxRead    = 1000
	maxWait           = 30 * time.Second
	maxBodyBytes      = 64 << 20
	retryAfterSeconds = "1"
)

// AppendRequest is the body of POST /v1/append.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse is the response of POST /v1/append.
type AppendResponse struct {
	FirstOffset int64 `json:"first_offset"`
}

// Record is one record of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// ReadResponse is the response of GET /v1/read. First is the oldest retained offset, End the offset after the newest
// record.
type ReadResponse struct {
	First   int64    `json:"first"`
	End     int64    `json:"end"`
	Records []Record `json:"records"`
}

// Stats is the response of GET /stats.
type Stats struct {
	Appends       int64 `json:"appends"`
	Records       int64 `json:"records"`
	Refused       int64 `json:"refused"`
	Bytes         int64 `json:"bytes"`
	LostResponses int64 `json:"lost_answers"`
}

type storedRecord struct {
	data []byte
	at   time.Time
}

type stream struct {
	first   int64
	records []storedRecord
	// appended is closed and replaced by each append.
	appended chan struct{}
}

// Server is the fake log service. It implements http.Handler.
type Server struct {
	// Faults holds the fault set with PUT /fault.
	Faults fault.Injector

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

// Option configures a new Server.
type Option func(*Server)

// WithRetention limits the age of records and their number per stream; zero means no limit.
func WithRetention(age time.Duration, count int) Option {
	return func(s *Server) { s.maxAge, s.maxCount = age, count }
}

// WithAppendLimit limits the rate of appends; appends above it get 429. The burst is a tenth of a second's appends.
func WithAppendLimit(perSecond float64) Option {
	return func(s *Server) {
		if perSecond > 0 {
			s.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
		}
	}
}

// WithLatency delays each request by d.
func WithLatency(d time.Duration) Option { return func(s *Server) { s.latency = d } }

// WithClock replaces the clock that determines the age of records.
func WithClock(now func() time.Time) Option { return func(s *Server) { s.now = now } }

// New returns a log service without records.
func New(opts ...Option) *Server {
	s := &Server{mux: http.NewServeMux(), streams: map[string]*stream{}, now: time.Now}
	for _, o := range opts {
		o(s)
	}
	s.Faults.Register(s.mux)
	s.mux.HandleFunc("POST /v1/append", s.handleAppend)
	s.mux.HandleFunc("GET /v1/read", s.handleRead)
	s.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { fault.WriteJSON(w, s.Stats()) })
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Append adds records to a stream without applying limits and faults, and returns the offset of the first one.
func (s *Server) Append(name string, records [][]byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	first := st.first + int64(len(st.records))
	now := s.now()
	for _, data := range records {
		st.records = append(st.records, storedRecord{data: data, at: now})
		s.stats.Bytes += int64(len(data))
	}
	s.stats.Appends++
	s.stats.Records += int64(len(records))
	s.expire(st)
	close(st.appended)
	st.appended = make(chan struct{})
	return first
}

// stream returns the named stream and creates it if necessary. s.mu must be held.
func (s *Server) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// expire removes records beyond the retention limits. s.mu must be held.
func (s *Server) expire(st *stream) {
	expired := 0
	if s.maxCount > 0 {
		expired = max(0, len(st.records)-s.maxCount)
	}
	if s.maxAge > 0 {
		cutoff := s.now().Add(-s.maxAge)
		for expired < len(st.records) && st.records[expired].at.Before(cutoff) {
			expired++
		}
	}
	if expired == 0 {
		return
	}
	st.records = append([]storedRecord(nil), st.records[expired:]...)
	st.first += int64(expired)
}

// applyFaults applies the latency and the faults that affect every request. It reports whether the request should be
// processed.
func (s *Server) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	if !fault.Sleep(r, s.latency) {
		return false
	}
	f, ok := s.Faults.Next(fault.Outage, fault.Slow, fault.Hang)
	if !ok {
		return true
	}
	switch f.Mode {
	case fault.Outage:
		http.Error(w, "log is away", http.StatusServiceUnavailable)
		return false
	case fault.Hang:
		fault.BlockRequest(r)
	}
	return fault.Sleep(r, f.Delay())
}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	var body AppendRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil || len(body.Records) == 0 {
		http.Error(w, "bad append", http.StatusBadRequest)
		return
	}
	if !s.applyFaults(w, r) {
		return
	}
	if s.limiter != nil && !s.limiter.Allow() {
		s.updateStats(func(st *Stats) { st.Refused++ })
		w.Header().Set("Retry-After", retryAfterSeconds)
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	if f, ok := s.Faults.Next(fault.Late); ok {
		time.Sleep(f.Delay())
	}
	first := s.Append(r.URL.Query().Get("stream"), body.Records)
	if _, ok := s.Faults.Next(fault.LoseResponse); ok {
		s.updateStats(func(st *Stats) { st.LostResponses++ })
		fault.AbortConnection()
	}
	fault.WriteJSON(w, AppendResponse{FirstOffset: first})
}

func (s *Server) updateStats(f func(*Stats)) {
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
	if !s.applyFaults(w, r) {
		return
	}
	deadline := time.Now().Add(min(maxWait, time.Duration(waitMS)*time.Millisecond))
	for {
		page, appended := s.read(q.Get("stream"), from, limit)
		remaining := time.Until(deadline)
		if len(page.Records) > 0 || remaining <= 0 || page.First > from {
			fault.WriteJSON(w, page)
			return
		}
		if !awaitAppend(r, appended, remaining) {
			return
		}
	}
}

// awaitAppend waits for an append, but at most for d. It returns false if the request was cancelled.
func awaitAppend(r *http.Request, appended <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-appended:
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
	return page, st.appended
}
