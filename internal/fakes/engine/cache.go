package engine

import (
	"container/list"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxEvents limits the number of stored cache events.
const maxEvents = 10_000

// Prefix is a prompt prefix. For each message, Chain holds the digest of all messages up to it and Tokens their total
// number of tokens. It is also the format of cache export and import.
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

// CacheEvent is one entry of GET /v1/cache/events.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Kind   string `json:"kind"`
	Key    string `json:"key"`
	Tokens int    `json:"tokens"`
	at     time.Time
}

// prefixOf computes the prefix of messages. The digests are chained: two prefixes are equal at message i only if all
// messages up to i are.
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

// cache holds prefixes up to a number of tokens and evicts the least recently used. It is guarded by Server.mu.
type cache struct {
	used    int
	lru     *list.List
	entries map[string]*list.Element
	events  []CacheEvent
	nextSeq int64
	// dropEvery makes the cache drop every n-th event; 0 drops none.
	dropEvery int64
}

func newCache() *cache {
	return &cache{lru: list.New(), entries: map[string]*list.Element{}}
}

// match returns the number of tokens at the start of p that are cached under its key.
func (c *cache) match(p Prefix) int {
	e := c.entries[p.Key]
	if e == nil {
		return 0
	}
	entry := e.Value.(Prefix)
	cached := 0
	for i := 0; i < min(len(entry.Chain), len(p.Chain)) && entry.Chain[i] == p.Chain[i]; i++ {
		cached = entry.Tokens[i]
	}
	if cached > 0 {
		c.lru.MoveToFront(e)
	}
	return cached
}

// store caches p, replacing the previous prefix of its key and evicting others to stay within capacity tokens.
func (c *cache) store(p Prefix, capacity int) {
	if p.Key == "" || p.total() > capacity {
		return
	}
	c.remove(p.Key, false)
	c.evictTo(capacity - p.total())
	c.entries[p.Key] = c.lru.PushFront(p)
	c.used += p.total()
	c.emit("stored", p)
}

// evictTo evicts prefixes until at most limit tokens are cached.
func (c *cache) evictTo(limit int) {
	for c.used > limit && c.lru.Len() > 0 {
		c.remove(c.lru.Back().Value.(Prefix).Key, true)
	}
}

func (c *cache) remove(key string, emitEvent bool) bool {
	e := c.entries[key]
	if e == nil {
		return false
	}
	p := c.lru.Remove(e).(Prefix)
	delete(c.entries, key)
	c.used -= p.total()
	if emitEvent {
		c.emit("evicted", p)
	}
	return true
}

func (c *cache) emit(kind string, p Prefix) {
	c.nextSeq++
	if c.dropEvery > 0 && c.nextSeq%c.dropEvery == 0 {
		return
	}
	if len(c.events) >= maxEvents {
		c.events = append([]CacheEvent(nil), c.events[maxEvents/2:]...)
	}
	c.events = append(c.events, CacheEvent{Seq: c.nextSeq, Kind: kind, Key: p.Key, Tokens: p.total(), at: time.Now()})
}
