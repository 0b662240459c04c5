package gateway

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// historiesBytes bounds the histories kept at an entry instance. It covers some tens of seconds of an instance's turns.
const historiesBytes = 12 << 20

// histories keeps the histories of turns that went through this instance, as a program's next turn mostly comes here too
// and then needs no copy from the owner.
type histories struct {
	mu    sync.Mutex
	bytes int
	lru   *simplelru.LRU[historyKey, []byte]
}

type historyKey struct{ account, turn string }

func newHistories() *histories {
	h := &histories{}
	const entries = 1 << 14
	lru, err := simplelru.NewLRU(entries, func(_ historyKey, b []byte) { h.bytes -= len(b) })
	if err != nil {
		panic(err)
	}
	h.lru = lru
	return h
}

func (h *histories) get(account, turn string) ([]byte, bool) {
	if turn == "" {
		return nil, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lru.Get(historyKey{account, turn})
}

func (h *histories) put(account, turn string, b []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lru.Remove(historyKey{account, turn})
	h.bytes += len(b)
	h.lru.Add(historyKey{account, turn}, b)
	for h.bytes > historiesBytes {
		if _, _, ok := h.lru.RemoveOldest(); !ok {
			return
		}
	}
}
