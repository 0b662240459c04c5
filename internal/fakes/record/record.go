// Package record records the requests that a fake backend server receives, so that tests can check their number and
// order, and whether a caller's key was leaked to the server.
package record

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/berylpond/berylpond/internal/fakes/fault"
)

const (
	// maxRequests limits the number of recorded requests. When it is reached, the older half is discarded.
	maxRequests  = 100_000
	maxBodyBytes = 64 << 20
)

// credentialHeaders are the headers that carry keys in common protocols.
var credentialHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie"}

// Request is a recorded request.
type Request struct {
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"request_id,omitempty"`
	UnixMS    int64  `json:"unix_ms"`
	// CredentialHeaders lists the credential headers of the request.
	CredentialHeaders []string `json:"credential_headers,omitempty"`
	// LeakedKey is set if the URL, a header or the body contains a known caller's key.
	LeakedKey bool `json:"leaked_key"`
}

// List is the response of GET /received. Leaks counts the requests with a credential header or a known key.
type List struct {
	Total    int64     `json:"total"`
	Leaks    int64     `json:"leaks"`
	Requests []Request `json:"requests"`
}

type keysRequest struct {
	Keys []string `json:"keys"`
}

// Recorder records requests. The zero value is ready to use.
type Recorder struct {
	mu   sync.Mutex
	keys []string
	list List
}

// SetKeys sets the callers' keys that count as leaked if a request contains them.
func (r *Recorder) SetKeys(keys ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys = keys
}

// List returns a copy of the recorded requests and the counters.
func (r *Recorder) List() List {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.list
	out.Requests = append([]Request{}, r.list.Requests...)
	return out
}

// Register adds the routes GET /received and PUT /keys {"keys":[...]} to mux.
func (r *Recorder) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /received", func(w http.ResponseWriter, _ *http.Request) { fault.WriteJSON(w, r.List()) })
	mux.HandleFunc("PUT /keys", func(w http.ResponseWriter, req *http.Request) {
		var body keysRequest
		if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
			http.Error(w, "bad keys", http.StatusBadRequest)
			return
		}
		r.SetKeys(body.Keys...)
		w.WriteHeader(http.StatusNoContent)
	})
}

// Record reads the request's body, records the request and returns the body.
func (r *Recorder) Record(req *http.Request, requestID func(body []byte) string) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	got := Request{Method: req.Method, Path: req.URL.Path, UnixMS: time.Now().UnixMilli(), RequestID: requestID(body)}
	for _, h := range credentialHeaders {
		if req.Header.Get(h) != "" {
			got.CredentialHeaders = append(got.CredentialHeaders, h)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	got.LeakedKey = r.containsKey(req, body)
	r.list.Total++
	if got.LeakedKey || len(got.CredentialHeaders) > 0 {
		r.list.Leaks++
	}
	if len(r.list.Requests) >= maxRequests {
		r.list.Requests = append([]Request(nil), r.list.Requests[maxRequests/2:]...)
	}
	r.list.Requests = append(r.list.Requests, got)
	return body, nil
}

// containsKey reports whether the URL, a header or the body contains a known key. r.mu must be held.
func (r *Recorder) containsKey(req *http.Request, body []byte) bool {
	for _, k := range r.keys {
		if k == "" {
			continue
		}
		if strings.Contains(req.URL.String(), k) || bytes.Contains(body, []byte(k)) || headerContains(req.Header, k) {
			return true
		}
	}
	return false
}

func headerContains(h http.Header, key string) bool {
	for _, values := range h {
		for _, v := range values {
			if strings.Contains(v, key) {
				return true
			}
		}
	}
	return false
}
