package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/berylpond/berylpond/internal/fakes/fault"
)

func (s *Server) lookup(r *http.Request) *execution {
	x, _ := s.requests.Get(r.PathValue("id"))
	return x
}

func (s *Server) handleResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	x := s.lookup(r)
	switch {
	case err != nil || offset < 0:
		http.Error(w, "bad offset", http.StatusBadRequest)
	case x == nil:
		http.Error(w, "unknown request", http.StatusNotFound)
	default:
		f, _ := s.Faults.Next(responseFaults...)
		if f.Mode == fault.Mismatched {
			x = s.otherRequest(x)
		}
		s.respondStream(w, r, x, min(offset, len(x.chunks)), f)
	}
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	x := s.lookup(r)
	if x == nil {
		http.Error(w, "unknown request", http.StatusNotFound)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !x.ended() {
		s.queue = slices.DeleteFunc(s.queue, func(q *execution) bool { return q == x })
		x.state = cancelled
		x.notify()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) { fault.WriteJSON(w, s.load()) }

// load returns the last load report, which it refreshes if it is at least loadReportAge old.
func (s *Server) load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.lastLoadAt) >= s.loadReportAge {
		s.lastLoadAt = now
		s.lastLoad = Load{
			Running: len(s.batch), Waiting: len(s.queue), KVUsedTokens: s.activeTokens + s.cache.used,
			KVCapacityTokens: s.capacity, AtMS: now.UnixMilli(),
		}
	}
	return s.lastLoad
}

func (s *Server) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	fault.WriteJSON(w, s.eventsAfter(after))
}

func (s *Server) eventsAfter(after int64) CacheEvents {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := CacheEvents{Events: []CacheEvent{}, Next: after}
	cutoff := time.Now().Add(-s.eventDelay)
	for _, e := range s.cache.events {
		if e.Seq > after && !e.at.After(cutoff) {
			out.Events = append(out.Events, e)
			out.Next = e.Seq
		}
	}
	return out
}

func (s *Server) handleKeys(w http.ResponseWriter, _ *http.Request) {
	fault.WriteJSON(w, CachedKeys{Keys: s.CachedKeys()})
}

// CachedKeys returns the keys and sizes of the cached prefixes, sorted by key.
func (s *Server) CachedKeys() []CachedKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := []CachedKey{}
	for key, e := range s.cache.entries {
		keys = append(keys, CachedKey{Key: key, Tokens: e.Value.(Prefix).total()})
	}
	slices.SortFunc(keys, func(a, b CachedKey) int { return strings.Compare(a.Key, b.Key) })
	return keys
}

func (s *Server) handleRelease(w http.ResponseWriter, r *http.Request) {
	var body ReleaseRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, "bad release", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range body.Keys {
		s.cache.remove(key, true)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleExport(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	e := s.cache.entries[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if e == nil {
		http.Error(w, "not cached", http.StatusNotFound)
		return
	}
	p := e.Value.(Prefix)
	if fault.Sleep(r, s.transferTime(p.total())) {
		fault.WriteJSON(w, p)
	}
}

func (s *Server) handleImport(w http.ResponseWriter, r *http.Request) {
	var p Prefix
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil || p.Key == "" || len(p.Chain) != len(p.Tokens) {
		http.Error(w, "bad import", http.StatusBadRequest)
		return
	}
	if !fault.Sleep(r, s.transferTime(p.total())) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.store(p, s.capacity-s.activeTokens)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	body, err := s.Received.Record(r, requestIDOf)
	var o Order
	if err != nil || json.Unmarshal(body, &o) != nil {
		http.Error(w, "bad order", http.StatusBadRequest)
		return
	}
	if !s.acceptFencingToken(o.FencingToken) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if !fault.Sleep(r, time.Duration(float64(s.modelLoadTime)/s.timeScale)) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch o.Kind {
	case "load_model", "load_adapter":
		if s.models != nil {
			s.models[o.Name] = true
		}
	case "set_role":
		s.role = o.Name
	default:
		http.Error(w, "unknown kind of order", http.StatusBadRequest)
		return
	}
	s.orders = append(s.orders, o)
	w.WriteHeader(http.StatusNoContent)
}

// acceptFencingToken reports whether an order with this fencing token is accepted, and records the highest token.
func (s *Server) acceptFencingToken(token int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if token < s.fencingToken {
		return s.ignoreFencing
	}
	s.fencingToken = token
	return true
}

func (s *Server) handleOrders(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	orders := append([]Order{}, s.orders...)
	s.mu.Unlock()
	fault.WriteJSON(w, Orders{Orders: orders})
}
