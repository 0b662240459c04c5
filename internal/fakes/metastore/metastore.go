// Package metastore is a stand-in for the users' platform's metadata store: a log with conditional appends, topics that
// keep the newest record of each key, and groups that share out partitions. It keeps everything in memory.
//
// Faults are set for a predicate on the caller's request, so that some callers can be turned away while others are
// served.
package metastore

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Mode is a way of failing a call.
type Mode int

const (
	// Serve answers as usual.
	Serve Mode = iota
	// Refuse answers 503 and does nothing.
	Refuse
	// Silent does nothing and never answers.
	Silent
	// Lose takes effect and never answers.
	Lose
	// Late never answers and takes effect after Store.Delay, if the condition still holds then.
	Late
)

// Store is the stand-in. It is an http.Handler.
type Store struct {
	// Fault decides how a call fails; nil serves all.
	Fault func(r *http.Request) Mode
	// Delay is when late appends take effect.
	Delay time.Duration
	// Partitions is the number of partitions of a topic.
	Partitions int

	mu      sync.Mutex
	parts   map[string]*part
	groups  map[string]*group
	changed chan struct{}
	calls   map[string]int
}

type part struct {
	first   int64
	records [][]byte
}

func (p *part) end() int64 { return p.first + int64(len(p.records)) }

type group struct {
	generation int64
	members    map[string]*member
	owners     map[int]string
	topic      string
}

type member struct {
	generation int64
	until      time.Time
}

// New returns an empty store.
func New(partitions int) *Store {
	return &Store{
		Partitions: partitions, parts: map[string]*part{}, groups: map[string]*group{}, changed: make(chan struct{}),
		calls: map[string]int{},
	}
}

// Calls returns how often a path was called.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// SetFault replaces Fault.
func (s *Store) SetFault(f func(r *http.Request) Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Fault = f
}

// Put adds a record with a key to a keyed topic, as the operator or a backend server would; no value drops the key.
func (s *Store) Put(topic, key string, value []byte) {
	b := append([]byte{byte(len(key))}, key...)
	s.Add(topic, 0, append(b, value...))
}

// Add appends a record.
func (s *Store) Add(topic string, number int, record []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, number)
	p.records = append(p.records, record)
	s.wake()
}

// Records returns the records of a partition.
func (s *Store) Records(topic string, number int) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([][]byte(nil), s.part(topic, number).records...)
}

// Trim forgets the records before an offset.
func (s *Store) Trim(topic string, number int, before int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, number)
	n := min(max(before-p.first, 0), int64(len(p.records)))
	p.first, p.records = p.first+n, p.records[n:]
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) part(topic string, number int) *part {
	key := topic + "/" + strconv.Itoa(number)
	if s.parts[key] == nil {
		s.parts[key] = &part{}
	}
	return s.parts[key]
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.calls[r.URL.Path]++
	fault, mode := s.Fault, Serve
	s.mu.Unlock()
	if fault != nil {
		mode = fault(r)
	}
	switch mode {
	case Refuse:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Silent:
		<-r.Context().Done()
		return
	case Lose:
		s.handle(&discard{}, r, body)
		<-r.Context().Done()
		return
	case Late:
		time.AfterFunc(s.Delay, func() { s.handle(&discard{}, r, body) })
		<-r.Context().Done()
		return
	}
	s.handle(w, r, body)
}

func (s *Store) handle(w http.ResponseWriter, r *http.Request, body []byte) {
	switch r.URL.Path {
	case "/api/log-append":
		s.append(w, r, body)
	case "/api/log-read":
		s.read(w, r)
	case "/api/log-newest":
		s.newest(w, r)
	case "/api/log-trim":
		before, _ := strconv.ParseInt(r.URL.Query().Get("before"), 10, 64)
		topic, number := partition(r)
		s.Trim(topic, number, before)
		reply(w, http.StatusOK, map[string]any{})
	case "/api/log-join":
		s.join(w, body)
	case "/api/log-leave":
		s.leave(w, body)
	case "/api/log-owners":
		s.owners(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func partition(r *http.Request) (string, int) {
	n, _ := strconv.Atoi(r.URL.Query().Get("part"))
	return r.URL.Query().Get("topic"), n
}

func (s *Store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	topic, number := partition(r)
	if topic == "keyed.op" || topic == "keyed.servers" {
		reply(w, http.StatusForbidden, map[string]any{})
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			break
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, number)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(p.end(), 10) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": p.end()})
		return
	}
	offset := p.end()
	p.records = append(p.records, records...)
	s.wake()
	reply(w, http.StatusOK, map[string]any{"offset": offset, "end": p.end()})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	topic, number := partition(r)
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p, changed := s.part(topic, number), s.changed
		if from < p.first {
			first := p.first
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if from < p.end() || wait == 0 {
			b := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
			b = binary.BigEndian.AppendUint64(b, uint64(p.first))
			for _, rec := range p.records[min(from-p.first, int64(len(p.records))):] {
				b = binary.BigEndian.AppendUint32(b, uint32(len(rec)))
				b = append(b, rec...)
			}
			s.mu.Unlock()
			_, _ = w.Write(b)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	topic, number := partition(r)
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, number)
	values := map[string][]byte{}
	for _, rec := range p.records {
		key, value := string(rec[1:1+rec[0]]), rec[1+rec[0]:]
		if len(value) == 0 {
			delete(values, key)
			continue
		}
		values[key] = value
	}
	var keys []string
	for k := range values {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	const page = 3
	more := len(keys) > page
	if more {
		keys = keys[:page]
	}
	items := []map[string]any{}
	for _, k := range keys {
		items = append(items, map[string]any{"key": k, "value": values[k]})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": p.end()})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// discard takes answers that nobody gets.
type discard struct{}

func (*discard) Header() http.Header         { return http.Header{} }
func (*discard) Write(b []byte) (int, error) { return len(b), nil }
func (*discard) WriteHeader(int)             {}
