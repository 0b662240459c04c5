package storewatch

import (
	"sync"
	"time"
)

// maxTryGap is the longest time between the beginnings of two attempts to read the store, unless the instance stands still.
const maxTryGap = 2 * (newestReadTimeout + retryDelay)

// patienceDivisor is the part of the limit of a view's age for which an instance must have tried to read the store until it
// makes do with an older view.
const patienceDivisor = 4

// Freshness is what an instance knows of the age of its view.
type Freshness struct {
	// Confirmed is the time as of which the store last confirmed the view, directly or through a peer.
	Confirmed time.Time
	Tries     Tries
}

// Tries describes the attempts to read the store that followed one another without the instance standing still.
type Tries struct{ First, Last time.Time }

// add returns the attempts with one that begins now.
func (t Tries) add(now time.Time) Tries {
	if now.Sub(t.Last) > maxTryGap {
		t.First = now
	}
	t.Last = now
	return t
}

// IsUsable reports whether requests may be sent on the strength of the view.
//
// Load pattern: an instance stands still for seconds, or is started, and its view lacks what the operator has asked for
// meanwhile. It must look before it sends. An instance that has looked in vain for a while has no better view to wait for:
// the store is out of reach, and the view in hand serves on.
func (f Freshness) IsUsable(now time.Time, limit time.Duration) bool {
	if limit <= 0 || now.Sub(f.Confirmed) <= limit {
		return true
	}
	return now.Sub(f.Tries.Last) <= maxTryGap && now.Sub(f.Tries.First) >= limit/patienceDivisor
}

// tryRecord holds the attempts of a watcher.
type tryRecord struct {
	mu    sync.Mutex
	tries Tries
}

func (r *tryRecord) begin(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tries = r.tries.add(now)
}

func (r *tryRecord) get() Tries {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tries
}

// confirmedAt returns the time as of which a read confirmed what it returned. The store responds to the read in time, but
// the instance may stand still before it has the response.
func confirmedAt(began, ended time.Time, timeout time.Duration) time.Time {
	if ended.Sub(began) > timeout {
		return began
	}
	return ended
}
