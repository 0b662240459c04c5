package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
)

const (
	// storeBytes is what the store holds in total.
	storeBytes = 400_000_000
)

// fullStore refuses appends with 507 once the store is full. Trimming frees what it deletes.
type fullStore struct {
	mu         sync.Mutex
	partitions map[string]*partitionSize
	total      int64
	refused    int64
}

// partitionSize holds the sizes of the records of a partition from an offset on.
type partitionSize struct {
	first int64
	sizes []int64
}

func (f *fullStore) usage() (bytes, refused int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.total, f.refused
}

func (f *fullStore) wrap(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := r.URL.Query().Get("topic") + "/" + r.URL.Query().Get("part")
		switch r.URL.Path {
		case "/api/log-append":
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			if f.isFull(int64(len(body))) {
				w.WriteHeader(http.StatusInsufficientStorage)
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			answer := &recorder{ResponseWriter: w, status: http.StatusOK}
			store.ServeHTTP(answer, r)
			if answer.status == http.StatusOK {
				f.add(key, body, answer.body)
			}
		case "/api/log-trim":
			if before, err := strconv.ParseInt(r.URL.Query().Get("before"), 10, 64); err == nil {
				f.trim(key, before)
			}
			store.ServeHTTP(w, r)
		default:
			store.ServeHTTP(w, r)
		}
	})
}

func (f *fullStore) isFull(more int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.total+more <= storeBytes {
		return false
	}
	f.refused++
	return true
}

func (f *fullStore) add(key string, body, answer []byte) {
	var a struct{ Offset int64 }
	if json.Unmarshal(answer, &a) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.partitions[key]
	if p == nil {
		p = &partitionSize{first: a.Offset}
		f.partitions[key] = p
	}
	for i := a.Offset - p.first; len(body) >= 4; i++ {
		n := 4 + int64(binary.BigEndian.Uint32(body))
		body = body[n:]
		for int64(len(p.sizes)) <= i {
			p.sizes = append(p.sizes, 0)
		}
		p.sizes[i] = n
		f.total += n
	}
}

func (f *fullStore) trim(key string, before int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.partitions[key]
	for p != nil && p.first < before && len(p.sizes) > 0 {
		f.total -= p.sizes[0]
		p.sizes, p.first = p.sizes[1:], p.first+1
	}
}

// recorder keeps a copy of an answer.
type recorder struct {
	http.ResponseWriter
	status int
	body   []byte
}

func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

func (r *recorder) Write(b []byte) (int, error) {
	r.body = append(r.body, b...)
	return r.ResponseWriter.Write(b)
}
