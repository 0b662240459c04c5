package fault

import (
	"net/http"
	"sync"
	"time"
)

const (
	// connectionIdle is the time after which a client's connection counts as closed.
	connectionIdle = 90 * time.Second
	// silenceTime is how long an address stays silenced; a client's port may be reused by a new connection later.
	silenceTime = 5 * time.Minute
)

// Connections remembers the client addresses of open connections, so that they can be silenced: nothing is sent on
// them any more, and they are not closed. Requests on new connections are served.
type Connections struct {
	mu       sync.Mutex
	lastUse  map[string]time.Time
	silenced map[string]time.Time
	wake     chan struct{}
}

// NewConnections returns an empty set.
func NewConnections() *Connections {
	return &Connections{lastUse: map[string]time.Time{}, silenced: map[string]time.Time{}, wake: make(chan struct{})}
}

// Use notes a request on its connection and blocks it, without return, if the connection is silenced.
func (c *Connections) Use(r *http.Request) {
	c.mu.Lock()
	c.lastUse[r.RemoteAddr] = time.Now()
	c.mu.Unlock()
	c.Check(r)
}

// Check blocks, without return, if the request's connection is silenced.
func (c *Connections) Check(r *http.Request) {
	c.mu.Lock()
	at, ok := c.silenced[r.RemoteAddr]
	c.mu.Unlock()
	if ok && time.Since(at) < silenceTime {
		Block(r)
	}
}

// Changed is closed at the next Silence or SilenceOne.
func (c *Connections) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wake
}

// Silence silences every connection that was used lately.
func (c *Connections) Silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for addr, at := range c.lastUse {
		if now.Sub(at) < connectionIdle {
			c.silenced[addr] = now
		}
		delete(c.lastUse, addr)
	}
	c.broadcast()
}

// SilenceOne silences the connection of one request.
func (c *Connections) SilenceOne(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silenced[r.RemoteAddr] = time.Now()
	c.broadcast()
}

// broadcast wakes the holders of Changed; c.mu is held.
func (c *Connections) broadcast() {
	close(c.wake)
	c.wake = make(chan struct{})
}
