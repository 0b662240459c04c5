// Package metastore is a fake of the platform's metadata store. It has a log with conditional appends, keyed topics
// whose newest records can be listed, and groups that assign partitions to their members. It stores everything in
// memory.
//
// Faults are chosen by a function of the request, so that some clients can be refused while others are served.
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

// Mode is the way in which a request is handled.
type Mode int

const (
	// Serve handles the request without a fault.
	Serve Mode = iota
	// Refuse responds with 503 without executing the request.
	Refuse
	// Silent neither executes the request nor responds.
	Silent
	// Lose executes the request and never responds.
	Lose
	// Late executes the request after Store.Delay, when its condition is checked, and never responds.
	Late
)

// Store is the fake metadata store. It implements http.Handler.
type Store struct {
	// Fault returns the mode for a request; if it is nil, every request is served.
	Fault func(r *http.Request) Mode
	// Delay is the delay of requests in mode Late.
	Delay time.Duration
	// Partitions is the number of partitions of a topic.
	Partitions int
	// MaxRecordBytes and MaxAppendBytes bound a record and the records of one append; zero means no limit. Appends beyond
	// them are rejected as a whole.
	MaxRecordBytes, MaxAppendBytes int

	mu         sync.Mutex
	partitions map[string]*partition
	groups     map[string]*group
	changed    chan struct{}
	calls      map[string]int
}

type partition struct {
	first   int64
	records [][]byte
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

type group struct {
	generation int64
	members    map[string]*member
	owners     map[int]string
	topic      string
}

type member struct {
	generation int64
	expiresAt  time.Time
}

// New returns an empty store.
func New(partitions int) *Store {
	return &Store{
		Partitions: partitions, partitions: map[string]*partition{}, groups: map[string]*group{},
		changed: make(chan struct{}), calls: map[string]int{},
	}
}

// Calls returns the number of requests to a path.
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

// PutKeyed appends a record to a keyed topic, as an operator or a backend server would. An empty value deletes the key.
func (s *Store) PutKeyed(topic, key string, value []byte) {
	b := append([]byte{byte(len(key))}, key...)
	s.Append(topic, 0, append(b, value...))
}

// Append appends a record.
func (s *Store) Append(topic string, number int, record []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, number)
	p.records = append(p.records, record)
	s.notify()
}

// Records returns the records of a partition.
func (s *Store) Records(topic string, number int) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([][]byte(nil), s.partition(topic, number).records...)
}

// Trim removes the records before an offset.
func (s *Store) Trim(topic string, number int, before int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, number)
	n := min(max(before-p.first, 0), int64(len(p.records)))
	p.first, p.records = p.first+n, p.records[n:]
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) partition(topic string, number int) *partition {
	key := topic + "/" + strconv.Itoa(number)
	if s.partitions[key] == nil {
		s.partitions[key] = &partition{}
	}
	return s.partitions[key]
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
		s.handle(&discardWriter{}, r, body)
		<-r.Context().Done()
		return
	case Late:
		time.AfterFunc(s.Delay, func() { s.handle(&discardWriter{}, r, body) })
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
		topic, number := partitionParams(r)
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

func partitionParams(r *http.Request) (string, int) {
	n, _ := strconv.Atoi(r.URL.Query().Get("part"))
	return r.URL.Query().Get("topic"), n
}

func (s *Store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	topic, number := partitionParams(r)
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
	if s.isTooLarge(records) {
		reply(w, http.StatusRequestEntityTooLarge, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, number)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(p.end(), 10) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": p.end()})
		return
	}
	offset := p.end()
	p.records = append(p.records, records...)
	s.notify()
	reply(w, http.StatusOK, map[string]any{"offset": offset, "end": p.end()})
}

// pageBytes is the size of the page that a read asks for. A page has one record at least.
func pageBytes(r *http.Request) int {
	kb, err := strconv.Atoi(r.URL.Query().Get("maxKb"))
	if err != nil || kb <= 0 {
		kb = 1 << 10
	}
	return kb << 10
}

func (s *Store) isTooLarge(records [][]byte) bool {
	total := 0
	for _, r := range records {
		if total += len(r); s.MaxRecordBytes > 0 && len(r) > s.MaxRecordBytes {
			return true
		}
	}
	return s.MaxAppendBytes > 0 && total > s.MaxAppendBytes
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	topic, number := partitionParams(r)
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p, changed := s.partition(topic, number), s.changed
		if from < p.first {
			first := p.first
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if from < p.end() || wait == 0 {
			b := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
			b = binary.BigEndian.AppendUint64(b, uint64(p.first))
			for i, rec := range p.records[min(from-p.first, int64(len(p.records))):] {
				if i > 0 && len(b)+len(rec) > pageBytes(r) {
					break
				}
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
	topic, number := partitionParams(r)
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, number)
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

// discardWriter discards the response of a request in mode Lose or Late.
type discardWriter struct{}

func (*discardWriter) Header() http.Header         { return http.Header{} }
func (*discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (*discardWriter) WriteHeader(int)             {}
