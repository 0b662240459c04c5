// Package queue orders waiting calls: client accounts by weighted service received (start-time fair queueing), the
// calls of an account by the attained service of their root program, least first, with ageing.
package queue

import (
	"container/heap"
	"math"
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// Item is a waiting call.
type Item struct {
	Call framework.Call
	// Enqueued is when the call arrived.
	Enqueued time.Time
	// DeferredSince is when the call was first deferred to wait for an engine that caches its prefix. Zero means never.
	DeferredSince time.Time
	// ExpiresAt is when the call is refused if it is still waiting.
	ExpiresAt time.Time

	account     *account
	sortKey     float64
	seq         uint64
	heapIndex   int // in the account's heap; notInHeap once popped or removed
	expiryIndex int // in the heap of expiry times
	removed     bool
}

// notInHeap is the heap index of an item that is in no heap.
const notInHeap = -1

// sortKey returns a key that is smaller for calls that are served first. Service loses half its weight with each
// half-life of the program's age, so the key is log2(service) + startOffset/halfLife, where startOffset is the
// program's start relative to a fixed time. The key does not change while the call waits, so calls can be kept in a
// heap.
func sortKey(service float64, startOffset, halfLife time.Duration) float64 {
	return math.Log2(math.Max(1, service)) + startOffset.Seconds()/halfLife.Seconds()
}

// keyHeap is a heap of items ordered by sort key, then by arrival.
type keyHeap []*Item

func (h keyHeap) Len() int { return len(h) }
func (h keyHeap) Less(i, j int) bool {
	if h[i].sortKey != h[j].sortKey {
		return h[i].sortKey < h[j].sortKey
	}
	return h[i].seq < h[j].seq
}
func (h keyHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *keyHeap) Push(x any) {
	it := x.(*Item)
	it.heapIndex = len(*h)
	*h = append(*h, it)
}
func (h *keyHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.heapIndex = notInHeap
	return it
}

// expiryHeap is a heap of items ordered by ExpiresAt.
type expiryHeap []*Item

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].ExpiresAt.Before(h[j].ExpiresAt) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}
func (h *expiryHeap) Push(x any) {
	it := x.(*Item)
	it.expiryIndex = len(*h)
	*h = append(*h, it)
}
func (h *expiryHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.expiryIndex = notInHeap
	return it
}

var (
	_ heap.Interface = (*keyHeap)(nil)
	_ heap.Interface = (*expiryHeap)(nil)
)
