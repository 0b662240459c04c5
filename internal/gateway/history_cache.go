package gateway

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxCachedHistoryBytes bounds the history cache. It covers some tens of seconds of an instance's turns.
const maxCachedHistoryBytes = 12 << 20

// historyCache caches the histories of turns that this instance served. A program's next turn usually arrives at the
// same instance, which then needs no copy of the history from the owner.
type historyCache struct {
	mu    sync.Mutex
	bytes int
	lru   *simplelru.LRU[historyKey, []byte]
}

type historyKey struct{ account, turn string }

func newHistoryCache() *historyCache {
	h := &historyCache{}
	const entries = 1 << 14
	lru, err := simplelru.NewLRU(entries, func(_ historyKey, b []byte) { h.bytes -= len(b) })
	if err != nil {
		panic(err)
	}
	h.lru = lru
	return h
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
	h.bytes += len(b)
	h.lru.Add(historyKey{account, turn}, b)
	for h.bytes > maxCachedHistoryBytes {
		if _, _, ok := h.lru.RemoveOldest(); !ok {
			return
		}
	}
}
