// Package clientconn bounds what the connections of clients take from an instance: descriptors, memory while the head of a
// request arrives, and time while a client doesn't read its response.
//
// Load pattern: clients outside anyone's control open connections and send nothing, send heads of thousands of short lines or
// without end, never end a body, or hardly read. Each takes little, and all of them together more than the instance has.
package clientconn

import (
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/memory"
)

const (
	// connectionBytes is what an open connection takes: its buffers and the stack of its goroutine.
	connectionBytes = 12 << 10
	// connectionShare is the divisor of an instance's memory that gives what open connections may take by themselves.
	connectionShare = 8
	// reservedDescriptors are those for files, the store, other instances and health checks.
	reservedDescriptors = 200
	// defaultConnections bounds the connections if the descriptors are not bounded.
	defaultConnections = 4096
	// headShare is the divisor of the memory that gives what the heads of all requests may take beyond assuredHeadBytes.
	headShare = 4
	// minStall is how long a connection must have waited for its client to be closed for lack of memory.
	minStall = time.Second
	// shedInterval is the minimum time between two looks for connections to close for lack of memory.
	shedInterval = 50 * time.Millisecond
)

// MostConnections returns how many connections clients may have to an instance with the given memory in bytes and number of
// descriptors, zero for unknown. As many descriptors are left for the backend servers of their requests.
func MostConnections(memoryBytes int64, descriptors int) int {
	most := defaultConnections
	if descriptors > 0 {
		most = (descriptors - reservedDescriptors) / 2
	}
	return max(min(most, int(memoryBytes/connectionShare/connectionBytes)), 1)
}

// Limiter bounds the connections of one listener. It is safe for concurrent use.
type Limiter struct {
	account *memory.Account
	// most is the maximum number of connections.
	most    int
	metrics *Metrics
	now     func() time.Time

	mu       sync.Mutex
	conns    map[*Conn]struct{}
	headHeld int64
	lastShed time.Time
}

// NewLimiter returns a limiter for at most the given number of connections. The heads of their requests count in the account,
// which closes connections through the limiter when it is full.
func NewLimiter(a *memory.Account, most int, m *Metrics) *Limiter {
	l := &Limiter{account: a, most: most, metrics: m, now: time.Now, conns: map[*Conn]struct{}{}}
	a.OnFull(l.shed)
	m.observeOpen(l.Open)
	return l
}

// Open returns the number of open connections.
func (l *Limiter) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Listen returns a listener whose connections are bounded. An http.Server that serves it must call StateChanged on each change.
func (l *Limiter) Listen(inner net.Listener) net.Listener {
	return &listener{Listener: inner, limiter: l}
}

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener. A connection for which there is no room is closed at once, and the next one awaited.
func (s *listener) Accept() (net.Conn, error) {
	for {
		inner, err := s.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := s.limiter.admit(inner); c != nil {
			return c, nil
		}
	}
}

// admit takes a connection, in place of the one that has waited for its client for longest if there are too many. It returns
// nil if it has closed the connection.
func (l *Limiter) admit(inner net.Conn) *Conn {
	if !l.makeRoom() {
		l.closed(reasonNoRoom, inner.RemoteAddr(), wait{})
		inner.Close()
		return nil
	}
	c := &Conn{Conn: inner, limiter: l, waitingSince: l.now(), isWaiting: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c
}

// makeRoom reports whether there is room for one more connection, after closing another one if need be.
func (l *Limiter) makeRoom() bool {
	waits, full := l.waitsIfFull()
	if !full {
		return true
	}
	victim, ok := longestWait(waits, l.now())
	if !ok {
		return false
	}
	l.abort(victim, reasonTooMany)
	return true
}

// waitsIfFull reports whether there are too many connections for another one, and lists those that wait for their clients then.
func (l *Limiter) waitsIfFull() (waits []wait, full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) < l.most {
		return nil, false
	}
	return l.waitsLocked(), true
}

// waitsIfDue lists the connections that wait for their clients, unless that was done within shedInterval.
func (l *Limiter) waitsIfDue(now time.Time) []wait {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.lastShed) < shedInterval {
		return nil
	}
	l.lastShed = now
	return l.waitsLocked()
}

// waitsLocked lists the connections that wait for their clients. l.mu must be held.
func (l *Limiter) waitsLocked() []wait {
	var out []wait
	for c := range l.conns {
		if w, ok := c.wait(); ok {
			out = append(out, w)
		}
	}
	return out
}

// shed closes connections whose clients keep the instance waiting, to free memory. What their requests hold is free once those
// have ended.
func (l *Limiter) shed(bytes int64) {
	now := l.now()
	for _, w := range stalled(l.waitsIfDue(now), bytes, now) {
		l.abort(w, reasonMemory)
	}
}

func (l *Limiter) abort(w wait, reason string) {
	l.closed(reason, w.conn.RemoteAddr(), w)
	w.conn.Close()
}

// closed records that a connection is closed before its client is done with it.
func (l *Limiter) closed(reason string, client net.Addr, w wait) {
	l.metrics.closed.WithLabelValues(reason).Inc()
	waited := time.Duration(0)
	if w.conn != nil {
		waited = l.now().Sub(w.since)
	}
	klog.InfoS("client connection closed", "reason", reason, "client", client.String(), "waited_ms", waited.Milliseconds(), "bytes", w.bytes)
}

// holdHead adds bytes for the head of a request if there is room for them.
func (l *Limiter) holdHead(n int64) bool {
	l.mu.Lock()
	fits := l.headHeld+n <= l.account.Usage().Limit/headShare
	if fits {
		l.headHeld += n
	}
	l.mu.Unlock()
	if !fits {
		return false
	}
	if l.account.Hold(n) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.headHeld -= n
	return false
}

func (l *Limiter) releaseHead(n int64) {
	if n == 0 {
		return
	}
	l.mu.Lock()
	l.headHeld -= n
	l.mu.Unlock()
	l.account.Release(n)
}

func (l *Limiter) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// StateChanged is the http.Server's ConnState hook.
func (l *Limiter) StateChanged(c net.Conn, s http.ConnState) {
	cc, ok := c.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		cc.headEnded()
	case http.StateIdle:
		cc.responseEnded()
	}
}
