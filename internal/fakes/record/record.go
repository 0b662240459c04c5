// Package record keeps what a stand-in for a backend server received, so that tests can check what reached it: how
// often, in which order, and whether a caller's key came along.
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
	// maxKept is the number of requests that are kept; older ones are dropped.
	maxKept      = 100_000
	maxBodyBytes = 64 << 20
)

// credentialHeaders carry keys in the usual protocols.
var credentialHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie"}

// Request is one request as it was received.
type Request struct {
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"request_id,omitempty"`
	UnixMS    int64  `json:"unix_ms"`
	// CredentialHeaders names the headers present that carry keys.
	CredentialHeaders []string `json:"credential_headers,omitempty"`
	// LeakedKey is set when a known caller's key stood anywhere in the request.
	LeakedKey bool `json:"leaked_key"`
}

// List answers GET /received.
type List struct {
	Total    int64     `json:"total"`
	Leaks    int64     `json:"leaks"`
	Requests []Request `json:"requests"`
}

type keysBody struct {
	Keys []string `json:"keys"`
}

// Recorder keeps requests. The zero value is ready.
type Recorder struct {
	mu   sync.Mutex
	keys []string
	list List
}

// SetKeys sets the callers' keys to look for.
func (r *Recorder) SetKeys(keys ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys = keys
}

// List returns what was received. Leaks counts requests with a credential header or a known key.
func (r *Recorder) List() List {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.list
	out.Requests = append([]Request{}, r.list.Requests...)
	return out
}

// Register adds GET /received and PUT /keys {"keys":[...]} to mux.
func (r *Recorder) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /received", func(w http.ResponseWriter, _ *http.Request) { fault.JSON(w, r.List()) })
	mux.HandleFunc("PUT /keys", func(w http.ResponseWriter, req *http.Request) {
		var body keysBody
		if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
			http.Error(w, "bad keys", http.StatusBadRequest)
			return
		}
		r.SetKeys(body.Keys...)
		w.WriteHeader(http.StatusNoContent)
	})
}

// Take records the request and returns its body, which it has read to the end.
func (r *Recorder) Take(req *http.Request, requestID func(body []byte) string) ([]byte, error) {
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
	got.LeakedKey = r.hasKey(req, body)
	r.list.Total++
	if got.LeakedKey || len(got.CredentialHeaders) > 0 {
		r.list.Leaks++
	}
	if len(r.list.Requests) >= maxKept {
		r.list.Requests = append([]Request(nil), r.list.Requests[maxKept/2:]...)
	}
	r.list.Requests = append(r.list.Requests, got)
	return body, nil
}

// hasKey looks for known keys in URL, headers and body; r.mu is held.
func (r *Recorder) hasKey(req *http.Request, body []byte) bool {
	for _, k := range r.keys {
		if k == "" {
			continue
		}
		if strings.Contains(req.URL.String(), k) || bytes.Contains(body, []byte(k)) || headerHas(req.Header, k) {
			return true
		}
	}
	return false
}

func headerHas(h http.Header, key string) bool {
	for _, values := range h {
		for _, v := range values {
			if strings.Contains(v, key) {
				return true
			}
		}
	}
	return false
}
