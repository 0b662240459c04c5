package site

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// parts is the number of partitions of a topic.
const parts = 12

// groups is the part of the store that assigns partitions. Members that fall silent lose theirs without anybody's call.
type groups struct {
	mu     sync.Mutex
	groups map[string]*group
}

type group struct {
	generation int64
	topic      string
	members    map[string]time.Time
	owners     [parts]string
}

func (g *group) update(now time.Time, change bool) {
	for name, until := range g.members {
		if now.After(until) {
			delete(g.members, name)
			change = true
		}
	}
	if !change {
		return
	}
	g.generation++
	var names []string
	held := map[string]int{}
	for name := range g.members {
		names = append(names, name)
	}
	slices.Sort(names)
	for p, owner := range g.owners {
		if _, ok := g.members[owner]; !ok || held[owner] == (parts+len(names)-1)/len(names) {
			g.owners[p] = ""
			continue
		}
		held[owner]++
	}
	for p, owner := range g.owners {
		if owner == "" && len(names) > 0 {
			least := slices.MinFunc(names, func(a, b string) int { return held[a] - held[b] })
			g.owners[p] = least
			held[least]++
		}
	}
	// Members without a partition get one of those that have two more.
	for _, name := range names {
		for p, owner := range g.owners {
			if owner != "" && held[owner] > held[name]+1 {
				g.owners[p] = name
				held[owner]--
				held[name]++
			}
		}
	}
}

func (s *groups) wrap(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var c struct {
			Group, Member string
			Topics        []string
			TTLMs         int64
		}
		now := time.Now()
		switch r.URL.Path {
		case "/api/log-owners":
			c.Group = r.URL.Query().Get("group")
		case "/api/log-join", "/api/log-leave":
			if json.NewDecoder(r.Body).Decode(&c) != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
		default:
			store.ServeHTTP(w, r)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		g := s.groups[c.Group]
		if g == nil {
			g = &group{members: map[string]time.Time{}}
			s.groups[c.Group] = g
		}
		_, known := g.members[c.Member]
		rows := [][]any{}
		answer := map[string]any{"ttlMs": c.TTLMs}
		switch r.URL.Path {
		case "/api/log-owners":
			g.update(now, false)
			for p, owner := range g.owners {
				rows = append(rows, []any{g.topic, p, owner, 0})
			}
		case "/api/log-join":
			g.topic = c.Topics[0]
			g.members[c.Member] = now.Add(time.Duration(c.TTLMs) * time.Millisecond)
			g.update(now, !known)
			for p, owner := range g.owners {
				if owner == c.Member {
					rows = append(rows, []any{g.topic, p, 0})
				}
			}
		default:
			delete(g.members, c.Member)
			g.update(now, known)
		}
		answer["parts"], answer["generation"] = rows, g.generation
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	})
}
