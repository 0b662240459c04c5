package metastore

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"
)

type joinCall struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMs      int64    `json:"ttlMs"`
	Generation int64    `json:"generation"`
}

func (s *Store) join(w http.ResponseWriter, body []byte) {
	var c joinCall
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
		g.deal(s.Partitions)
	}
	m.generation, m.until = c.Generation, time.Now().Add(time.Duration(c.TTLMs)*time.Millisecond)
	parts := [][]any{}
	for p := range s.Partitions {
		if g.owners[p] == c.Member {
			parts = append(parts, []any{g.topic, p, 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": g.generation, "ttlMs": c.TTLMs, "parts": parts})
}

// Rebalance deals every partition to the next member, as the platform does at times.
func (s *Store) Rebalance(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[name]
	if g == nil {
		return
	}
	names := g.names()
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
	var c joinCall
	if json.Unmarshal(body, &c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[c.Group]; g != nil && g.members[c.Member] != nil {
		delete(g.members, c.Member)
		g.deal(s.Partitions)
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

func (g *group) names() []string {
	var names []string
	for n := range g.members {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

func (g *group) expire() {
	gone := false
	for n, m := range g.members {
		if time.Now().After(m.until) {
			delete(g.members, n)
			gone = true
		}
	}
	if gone {
		g.deal(len(g.owners))
	}
}

// deal spreads the partitions evenly and leaves them where they are if it can.
func (g *group) deal(partitions int) {
	g.generation++
	names := g.names()
	if len(names) == 0 {
		g.owners = map[int]string{}
		return
	}
	most := (partitions + len(names) - 1) / len(names)
	held := map[string]int{}
	for p := range partitions {
		o := g.owners[p]
		if g.members[o] == nil || held[o] >= most {
			g.owners[p] = ""
			continue
		}
		held[o]++
	}
	for p := range partitions {
		if g.owners[p] != "" {
			continue
		}
		sort.SliceStable(names, func(i, j int) bool { return held[names[i]] < held[names[j]] })
		g.owners[p] = names[0]
		held[names[0]]++
	}
}
