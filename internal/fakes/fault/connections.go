package fault

import (
	"net/http"
	"sync"
	"time"
)

const (
	// idleTimeout is the time without requests after which a client's connection is considered closed.
	idleTimeout = 90 * time.Second
	// silenceDuration limits how long an address stays silenced, because a new connection may later reuse the client's
	// port.
	silenceDuration = 5 * time.Minute
)

// Connections tracks open connections by client address, so that they can be silenced: they stay open, but nothing is
// sent on them. Requests on new connections are served.
type Connections struct {
	mu       sync.Mutex
	lastUse  map[string]time.Time
	silenced map[string]time.Time
	changed  chan struct{}
}

// NewConnections returns an empty set.
func NewConnections() *Connections {
	return &Connections{lastUse: map[string]time.Time{}, silenced: map[string]time.Time{}, changed: make(chan struct{})}
}

// Track records the time of a request on its connection. If the connection is silenced, Track blocks and does not
// return.
func (c *Connections) Track(r *http.Request) {
	c.mu.Lock()
	c.lastUse[r.RemoteAddr] = time.Now()
	c.mu.Unlock()
	c.BlockIfSilenced(r)
}

// BlockIfSilenced blocks and does not return if the request's connection is silenced.
func (c *Connections) BlockIfSilenced(r *http.Request) {
	c.mu.Lock()
	at, ok := c.silenced[r.RemoteAddr]
	c.mu.Unlock()
	if ok && time.Since(at) < silenceDuration {
		BlockRequest(r)
	}
}

// Changed returns a channel that is closed by the next SilenceAll or Silence.
func (c *Connections) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// SilenceAll silences every connection used within idleTimeout.
func (c *Connections) SilenceAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for addr, at := range c.lastUse {
		if now.Sub(at) < idleTimeout {
			c.silenced[addr] = now
		}
		delete(c.lastUse, addr)
	}
	c.notify()
}

// Silence silences the connection of the request.
func (c *Connections) Silence(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silenced[r.RemoteAddr] = time.Now()
	c.notify()
}

// notify closes the channel returned by Changed. c.mu must be held.
func (c *Connections) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}
