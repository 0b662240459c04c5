package clientconn

import (
	"cmp"
	"slices"
	"time"
)

// wait is a connection that waits for its client: for a request, for the rest of one, or for the client to read.
type wait struct {
	conn  *Conn
	since time.Time
	// bytes is what the connection and its request hold.
	bytes int64
}

// longestWait returns the connection that has waited for longest, to be closed in favour of a new one. It reports false if there
// is none.
//
// Load pattern: more clients connect than there are descriptors for. Those that have something to send do so at once.
func longestWait(waits []wait, now time.Time) (wait, bool) {
	if len(waits) == 0 {
		return wait{}, false
	}
	return slices.MaxFunc(waits, func(a, b wait) int { return cmp.Compare(now.Sub(a.since), now.Sub(b.since)) }), true
}

// stalled returns the connections to close to free memory: those that hold most first, until there is enough. Clients that have
// just been asked for something are given time.
//
// Load pattern: clients that hardly read, or never end what they send, hold most of the memory, and others are refused.
func stalled(waits []wait, bytes int64, now time.Time) []wait {
	waits = slices.DeleteFunc(waits, func(w wait) bool { return now.Sub(w.since) < minStall })
	slices.SortFunc(waits, func(a, b wait) int { return cmp.Compare(b.bytes, a.bytes) })
	for i, w := range waits {
		if bytes <= 0 {
			return waits[:i]
		}
		bytes -= w.bytes
	}
	return waits
}
