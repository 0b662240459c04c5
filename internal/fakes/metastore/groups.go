package metastore

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"
)

type joinRequest struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMs      int64    `json:"ttlMs"`
	Generation int64    `json:"generation"`
}

func (s *Store) join(w http.ResponseWriter, body []byte) {
	var c joinRequest
	if json.Unmarshal(body, &c) != nil || len(c.Topics) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[c.Group]
	if g == nil {
		g = &group{members: map[string]*member{}, owners: map[int]string{}, topic: c.Topics[0]}
		s.groups[c.Group] = g
	}
	g.expire()
	m := g.members[c.Member]
	if m == nil {
		m = &member{}
		g.members[c.Member] = m
		g.assign(s.Partitions)
	}
	m.generation, m.expiresAt = c.Generation, time.Now().Add(time.Duration(c.TTLMs)*time.Millisecond)
	parts := [][]any{}
	for p := range s.Partitions {
		if g.owners[p] == c.Member {
			parts = append(parts, []any{g.topic, p, 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": g.generation, "ttlMs": c.TTLMs, "parts": parts})
}

// Rebalance moves every partition to the next member of the group, as the platform may do at any time.
func (s *Store) Rebalance(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[name]
	if g == nil {
		return
	}
	names := g.memberNames()
	for p := range s.Partitions {
		for i, n := range names {
			if n == g.owners[p] {
				g.owners[p] = names[(i+1)%len(names)]
				break
			}
		}
	}
	g.generation++
}

func (s *Store) leave(w http.ResponseWriter, body []byte) {
	var c joinRequest
	if json.Unmarshal(body, &c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[c.Group]; g != nil && g.members[c.Member] != nil {
		delete(g.members, c.Member)
		g.assign(s.Partitions)
	}
	reply(w, http.StatusOK, map[string]any{})
}

func (s *Store) owners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	if g := s.groups[r.URL.Query().Get("group")]; g != nil {
		for p := range s.Partitions {
			rows = append(rows, []any{g.topic, p, g.owners[p], 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"parts": rows})
}

func (g *group) memberNames() []string {
	var names []string
	for n := range g.members {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

func (g *group) expire() {
	expired := false
	for n, m := range g.members {
		if time.Now().After(m.expiresAt) {
			delete(g.members, n)
			expired = true
		}
	}
	if expired {
		g.assign(len(g.owners))
	}
}

// assign distributes the partitions evenly over the members and keeps current owners where possible.
func (g *group) assign(partitions int) {
	g.generation++
	names := g.memberNames()
	if len(names) == 0 {
		g.owners = map[int]string{}
		return
	}
	limit := (partitions + len(names) - 1) / len(names)
	assigned := map[string]int{}
	for p := range partitions {
		owner := g.owners[p]
		if g.members[owner] == nil || assigned[owner] >= limit {
			g.owners[p] = ""
			continue
		}
		assigned[owner]++
	}
	for p := range partitions {
		if g.owners[p] != "" {
			continue
		}
		sort.SliceStable(names, func(i, j int) bool { return assigned[names[i]] < assigned[names[j]] })
		g.owners[p] = names[0]
		assigned[names[0]]++
	}
}
