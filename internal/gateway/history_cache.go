package gateway

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/berylpond/berylpond/internal/memory"
)

// maxCachedHistoryBytes bounds the history cache. It covers some tens of seconds of an instance's turns.
const maxCachedHistoryBytes = 12 << 20

// historyCache caches the histories of turns that this instance served. A program's next turn usually arrives at the
// same instance, which then needs no copy of the history from the owner.
type historyCache struct {
	account *memory.Account

	mu    sync.Mutex
	bytes int
	lru   *simplelru.LRU[historyKey, []byte]
}

type historyKey struct{ account, turn string }

// open prepares the cache for use. Its bytes count in the account.
func (h *historyCache) open(a *memory.Account) {
	const entries = 1 << 14
	lru, err := simplelru.NewLRU(entries, func(_ historyKey, b []byte) {
		h.bytes -= len(b)
		a.Uncache(int64(len(b)))
	})
	if err != nil {
		panic(err)
	}
	h.account, h.lru = a, lru
}

// shrink removes the least recently used histories until the given number of bytes is free.
func (h *historyCache) shrink(bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for target := int64(h.bytes) - bytes; int64(h.bytes) > target; {
		if _, _, ok := h.lru.RemoveOldest(); !ok {
			return
		}
	}
}

func (h *historyCache) get(account, turn string) ([]byte, bool) {
	if turn == "" {
		return nil, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lru.Get(historyKey{account, turn})
}

func (h *historyCache) put(account, turn string, b []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lru.Remove(historyKey{account, turn})
	if !h.account.Cache(int64(len(b))) {
		return
	}
	h.bytes += len(b)
	h.lru.Add(historyKey{account, turn}, b)
	for h.bytes > maxCachedHistoryBytes {
		if _, _, ok := h.lru.RemoveOldest(); !ok {
			return
		}
	}
}
