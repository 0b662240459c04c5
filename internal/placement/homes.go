package placement

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// sharedMemory is the fraction of a server's memory that shared parts may take; the rest is for conversations and
	// for the requests that it runs.
	sharedMemory = 0.25
	// minHomes is the least number of servers of a data centre that keep a part, so that the loss of one costs little.
	minHomes = 2
	// popularityHalfLife is the time in which the weight of a request in the popularity of its part is halved.
	popularityHalfLife = time.Minute
	// priorRequests is the weight of the assumption that parts are alike. A part starts at few servers and gets more as its
	// load shows.
	priorRequests = 32.0
	// maxPopularParts bounds the parts whose popularity is tracked.
	maxPopularParts = 512
	// maxRanked bounds the servers in all remembered orders together.
	maxRanked = 256 << 10
	// homeChangeRatio is by how much the number of homes that a part needs must change before it takes effect.
	homeChangeRatio = 0.2
)

// Homes decides which servers are to keep a prompt part that many programs share: the first k of the servers of each data
// centre in the order of a rendezvous hash, k in proportion to the part's share of the requests. Instances agree without
// messages as far as they see the same mix. It answers prompts whose shared parts don't all fit into every server. It is
// not safe for concurrent use.
type Homes struct {
	parts map[string]*popularity
	total float64
	// conversations is the number of conversations of all parts.
	conversations int
	// scaled is when the weights were last brought up to date.
	scaled time.Time
	ranks  map[rankKey][]string
	// ranked is the number of servers in all orders.
	ranked int
}

type popularity struct {
	weight float64
	// conversations is the number of conversations that began with the part.
	conversations int
	// fraction of the servers that are the part's homes.
	fraction float64
}

type rankKey struct{ group, part string }

// NewHomes returns homes without observations.
func NewHomes() *Homes { return &Homes{parts: map[string]*popularity{}, ranks: map[rankKey][]string{}} }

// Observe counts one request whose prompt begins with a part. first tells that its conversation is new here. capacity is the
// memory of a server in tokens, zero if unknown.
func (h *Homes) Observe(p Part, first bool, capacity int64, now time.Time) {
	h.decay(now)
	e := h.parts[p.ID]
	if e == nil {
		if len(h.parts) >= maxPopularParts {
			h.dropLeast()
		}
		e = &popularity{}
		h.parts[p.ID] = e
	}
	e.weight++
	h.total++
	if first {
		e.conversations++
		h.conversations++
	}
	fit := math.Inf(1)
	if capacity > 0 && p.tokens() > 0 {
		fit = max(sharedMemory*float64(capacity)/float64(p.tokens()), 1)
	}
	needed := min(fit*h.share(e), 1)
	if math.Abs(needed-e.fraction) > homeChangeRatio*e.fraction {
		e.fraction = needed
	}
}

// TakeBack undoes Observe for a request that was not sent.
func (h *Homes) TakeBack(p Part, first bool) {
	e := h.parts[p.ID]
	if e == nil {
		return
	}
	n := min(e.weight, 1)
	e.weight -= n
	h.total = max(h.total-n, 0)
	if first && e.conversations > 0 {
		e.conversations--
		h.conversations--
	}
}

// share is the part's share of the requests: with few observations between that and the share of all parts alike, and lower
// as long as parts may be unknown.
func (h *Homes) share(e *popularity) float64 {
	alike := priorRequests / float64(len(h.parts))
	return h.coverage() * (e.weight + alike) / (h.total + priorRequests)
}

// coverage estimates the share of the conversations whose part is known, by Good and Turing: as many are still to come of
// unknown parts as there were of parts that came once.
func (h *Homes) coverage() float64 {
	once := 0
	for _, e := range h.parts {
		if e.conversations == 1 {
			once++
		}
	}
	return 1 - float64(once)/float64(max(h.conversations, 1))
}

func (h *Homes) decay(now time.Time) {
	if h.scaled.IsZero() {
		h.scaled = now
	}
	elapsed := now.Sub(h.scaled)
	if elapsed < popularityHalfLife/8 {
		return
	}
	h.scaled = now
	factor := math.Exp2(-elapsed.Seconds() / popularityHalfLife.Seconds())
	h.total = 0
	for id, e := range h.parts {
		if e.weight *= factor; e.weight < 0.01 {
			h.conversations -= e.conversations
			delete(h.parts, id)
			continue
		}
		h.total += e.weight
	}
}

func (h *Homes) dropLeast() {
	least := ""
	for id, e := range h.parts {
		if least == "" || e.weight < h.parts[least].weight {
			least = id
		}
	}
	h.total -= h.parts[least].weight
	h.conversations -= h.parts[least].conversations
	delete(h.parts, least)
}

// Of returns the ids of the servers of one group that are to keep the part, best first. members lists the ids of the
// group's servers; it is read when the order isn't known yet.
func (h *Homes) Of(group string, p Part, members func() []string) []string {
	fraction := 0.0
	if e := h.parts[p.ID]; e != nil {
		fraction = e.fraction
	}
	key := rankKey{group, p.ID}
	order, ok := h.ranks[key]
	if !ok {
		order = rank(p.ID, members())
		if h.ranked += len(order); h.ranked > maxRanked || len(h.ranks) >= maxPopularParts {
			clear(h.ranks)
			h.ranked = len(order)
		}
		h.ranks[key] = order
	}
	k := int(math.Ceil(fraction * float64(len(order))))
	return order[:min(max(k, minHomes), len(order))]
}

// MembersChanged tells that servers have come or gone.
func (h *Homes) MembersChanged() {
	clear(h.ranks)
	h.ranked = 0
}

// rank sorts servers by the rendezvous hash with a part.
func rank(part string, servers []string) []string {
	type ranked struct {
		id   string
		hash uint64
	}
	all := make([]ranked, len(servers))
	for i, id := range servers {
		f := fnv.New64a()
		f.Write([]byte(part))
		f.Write([]byte{0})
		f.Write([]byte(id))
		all[i] = ranked{id, mix(f.Sum64())}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	out := make([]string, len(all))
	for i, r := range all {
		out[i] = r.id
	}
	return out
}

// mix spreads the bits of a hash, as the last bytes of an FNV hash hardly change its upper bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
