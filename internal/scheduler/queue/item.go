// Package queue orders waiting calls: between client accounts by weighted service received (start-time fair queueing),
// within an account by the least attained service of the whole program, with ageing.
package queue

import (
	"container/heap"
	"math"
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// Item is one waiting call.
type Item struct {
	Call framework.Call
	// Enqueued is when the call arrived.
	Enqueued time.Time
	// HeldSince is when the call was first held back for an engine with its prefix. Zero means never.
	HeldSince time.Time
	// GiveUp is when the call is refused if it still waits.
	GiveUp time.Time

	account *account
	key     float64
	seq     uint64
	index   int // in the account's heap; absent while popped or removed
	timer   int // in the heap of give-up times
	gone    bool
}

// absent is the index of an item that is in no heap.
const absent = -1

// orderKey is smaller for calls that go first. Service counts half for each further half of the program's age, so the
// key is log2(service) + began/half: it does not change while the call waits, and a heap can hold it.
func orderKey(service float64, began, half time.Duration) float64 {
	return math.Log2(math.Max(1, service)) + began.Seconds()/half.Seconds()
}

// byKey is a heap of items by key, then arrival.
type byKey []*Item

func (h byKey) Len() int { return len(h) }
func (h byKey) Less(i, j int) bool {
	if h[i].key != h[j].key {
		return h[i].key < h[j].key
	}
	return h[i].seq < h[j].seq
}
func (h byKey) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *byKey) Push(x any) {
	it := x.(*Item)
	it.index = len(*h)
	*h = append(*h, it)
}
func (h *byKey) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.index = absent
	return it
}

// byGiveUp is a heap of items by the time at which they are refused.
type byGiveUp []*Item

func (h byGiveUp) Len() int           { return len(h) }
func (h byGiveUp) Less(i, j int) bool { return h[i].GiveUp.Before(h[j].GiveUp) }
func (h byGiveUp) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timer, h[j].timer = i, j
}
func (h *byGiveUp) Push(x any) {
	it := x.(*Item)
	it.timer = len(*h)
	*h = append(*h, it)
}
func (h *byGiveUp) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.timer = absent
	return it
}

var (
	_ heap.Interface = (*byKey)(nil)
	_ heap.Interface = (*byGiveUp)(nil)
)
