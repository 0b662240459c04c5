package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/berylpond/berylpond/internal/fakes/metastore"
)

// platformStore is the project's fake of the store with groups that hand partitions over as the pages say: one that a member no
// longer has goes to the next member once the former has joined with that generation, has left or has been silent for its time to
// live.
type platformStore struct {
	*metastore.Store

	mu         sync.Mutex
	generation int64
	topic      string
	members    map[string]time.Time
	parts      [partitions]part
}

// part is one partition of the group's topic.
type part struct {
	// holder is the member that may still use the partition, next the one that is to have it.
	holder, next string
	// taken is the generation as of which the holder no longer has it.
	taken int64
}

func newPlatformStore() *platformStore {
	s := &platformStore{Store: metastore.New(partitions), members: map[string]time.Time{}}
	s.MaxRecordBytes, s.MaxAppendBytes = 262144, 2097152
	return s
}

// ServeHTTP implements http.Handler.
func (s *platformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/log-join", "/api/log-leave", "/api/log-owners":
	default:
		s.Store.ServeHTTP(w, r)
		return
	}
	var call struct {
		Group, Member string
		Topics        []string
		TTLMs         int64
		Generation    int64
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || r.Method == http.MethodPost && json.Unmarshal(body, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	rows := [][]any{}
	switch {
	case strings.HasSuffix(r.URL.Path, "-join"):
		s.topic = call.Topics[0]
		_, known := s.members[call.Member]
		s.members[call.Member] = time.Now().Add(time.Duration(call.TTLMs) * time.Millisecond)
		if !known {
			s.distribute()
		}
		for n := range s.parts {
			p := &s.parts[n]
			if p.holder == call.Member && p.next != call.Member && call.Generation >= p.taken {
				p.holder = ""
				s.generation++
			}
			if p.holder == "" && p.next == call.Member {
				p.holder = call.Member
				s.generation++
			}
			if p.holder == call.Member && p.next == call.Member {
				rows = append(rows, []any{s.topic, n, 0})
			}
		}
	case strings.HasSuffix(r.URL.Path, "-leave"):
		s.remove(call.Member)
	default:
		for n, p := range s.parts {
			rows = append(rows, []any{s.topic, n, p.holder, 0})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"generation": s.generation, "ttlMs": call.TTLMs, "parts": rows})
}

func (s *platformStore) expire() {
	for m, until := range s.members {
		if time.Now().After(until) {
			s.remove(m)
		}
	}
}

// remove takes a member out of the group, and its partitions with it.
func (s *platformStore) remove(member string) {
	if _, ok := s.members[member]; !ok {
		return
	}
	delete(s.members, member)
	for n := range s.parts {
		if p := &s.parts[n]; p.holder == member {
			p.holder = ""
		}
	}
	s.distribute()
}

// distribute deals the partitions evenly, leaving them where they are if it can.
func (s *platformStore) distribute() {
	s.generation++
	names := make([]string, 0, len(s.members))
	for m := range s.members {
		names = append(names, m)
	}
	sort.Strings(names)
	if len(names) == 0 {
		for n := range s.parts {
			s.parts[n].next = ""
		}
		return
	}
	most := (partitions + len(names) - 1) / len(names)
	has := map[string]int{}
	var loose []int
	for n, p := range s.parts {
		if _, ok := s.members[p.next]; ok && has[p.next] < most {
			has[p.next]++
			continue
		}
		loose = append(loose, n)
	}
	for _, n := range loose {
		sort.SliceStable(names, func(i, j int) bool { return has[names[i]] < has[names[j]] })
		has[names[0]]++
		s.parts[n].next, s.parts[n].taken = names[0], s.generation
	}
}
