package engine

import (
	"container/list"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxEvents is the number of cache events that are kept.
const maxEvents = 10_000

// Prefix is a cached prompt prefix: for each message the digest of all messages up to it and their tokens together.
// It is also the form of cache export and import.
type Prefix struct {
	Key    string   `json:"key"`
	Chain  []uint64 `json:"chain"`
	Tokens []int    `json:"tokens"`
}

func (p Prefix) total() int {
	if len(p.Tokens) == 0 {
		return 0
	}
	return p.Tokens[len(p.Tokens)-1]
}

// Event is one entry of GET /v1/cache/events.
type Event struct {
	Seq    int64  `json:"seq"`
	Kind   string `json:"kind"`
	Key    string `json:"key"`
	Tokens int    `json:"tokens"`
	at     time.Time
}

// prefixOf digests messages in order, so that two prefixes agree at message i only if all messages up to i agree.
func prefixOf(key, model string, messages []Message) Prefix {
	p := Prefix{Key: key}
	digest, tokens := xxhash.Sum64String(model), 0
	var previous [8]byte
	for _, m := range messages {
		binary.LittleEndian.PutUint64(previous[:], digest)
		digest = xxhash.Sum64String(string(previous[:]) + m.Role + "\x00" + m.Content)
		tokens += messageTokens(m)
		p.Chain = append(p.Chain, digest)
		p.Tokens = append(p.Tokens, tokens)
	}
	return p
}

// cache holds prefixes up to a number of tokens and evicts the least recently used. Its holder locks it.
type cache struct {
	used    int
	order   *list.List
	entries map[string]*list.Element
	events  []Event
	nextSeq int64
	// dropEvery loses each n-th event; 0 loses none.
	dropEvery int64
}

func newCache() *cache {
	return &cache{order: list.New(), entries: map[string]*list.Element{}}
}

// match returns how many tokens of p are cached under its key.
func (c *cache) match(p Prefix) int {
	e := c.entries[p.Key]
	if e == nil {
		return 0
	}
	held := e.Value.(Prefix)
	cached := 0
	for i := 0; i < min(len(held.Chain), len(p.Chain)) && held.Chain[i] == p.Chain[i]; i++ {
		cached = held.Tokens[i]
	}
	if cached > 0 {
		c.order.MoveToFront(e)
	}
	return cached
}

// store keeps p in place of what its key held, within capacity tokens.
func (c *cache) store(p Prefix, capacity int) {
	if p.Key == "" || p.total() > capacity {
		return
	}
	c.drop(p.Key, false)
	c.shrink(capacity - p.total())
	c.entries[p.Key] = c.order.PushFront(p)
	c.used += p.total()
	c.event("stored", p)
}

// shrink evicts until at most limit tokens are held.
func (c *cache) shrink(limit int) {
	for c.used > limit && c.order.Len() > 0 {
		c.drop(c.order.Back().Value.(Prefix).Key, true)
	}
}

func (c *cache) drop(key string, announce bool) bool {
	e := c.entries[key]
	if e == nil {
		return false
	}
	p := c.order.Remove(e).(Prefix)
	delete(c.entries, key)
	c.used -= p.total()
	if announce {
		c.event("evicted", p)
	}
	return true
}

func (c *cache) event(kind string, p Prefix) {
	c.nextSeq++
	if c.dropEvery > 0 && c.nextSeq%c.dropEvery == 0 {
		return
	}
	if len(c.events) >= maxEvents {
		c.events = append([]Event(nil), c.events[maxEvents/2:]...)
	}
	c.events = append(c.events, Event{Seq: c.nextSeq, Kind: kind, Key: p.Key, Tokens: p.total(), at: time.Now()})
}
