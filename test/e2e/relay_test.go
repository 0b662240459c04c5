package e2e

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay stands before one process and can cut it off from sources, told apart by their IP address. A cut connection
// goes silent: nothing passes and nothing is closed, as when a device between the two ends has lost track of it.
type relay struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	cut  map[string]chan struct{} // by source IP; closed when the cut heals
	open map[*link]struct{}
}

// link is one connection through the relay. Once silent, it stays so for good.
type link struct {
	source   string
	from, to net.Conn
	silent   atomic.Bool
}

// newRelay listens on a free port of the given IP and passes connections on to target.
func newRelay(t testing.TB, ip string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, cut: map[string]chan struct{}{}, open: map[*link]struct{}{}}
	go r.accept()
	t.Cleanup(func() {
		l.Close()
		r.closeAll()
	})
	return r
}

func (r *relay) addr() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *relay) serve(c net.Conn) {
	defer c.Close()
	source := c.RemoteAddr().(*net.TCPAddr).IP.String()
	if !r.pass(source) {
		return
	}
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	up, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer up.Close()
	l := &link{source: source, from: c, to: up}
	r.track(l)
	defer r.forget(l)
	done := make(chan struct{}, 2)
	copyTo := func(dst, src net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			if n > 0 && !l.silent.Load() {
				if _, werr := dst.Write(buf[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		// The other end of a silent connection hears nothing of its close either.
		if !l.silent.Load() {
			done <- struct{}{}
		}
	}
	go copyTo(up, c)
	go copyTo(c, up)
	<-done
}

// pass waits while the source is cut off. It returns false when it was.
func (r *relay) pass(source string) bool {
	r.mu.Lock()
	healed := r.cut[source]
	r.mu.Unlock()
	if healed == nil {
		return true
	}
	<-healed
	return false
}

func (r *relay) track(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[l] = struct{}{}
	if r.cut[l.source] != nil {
		l.silent.Store(true)
	}
}

func (r *relay) forget(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, l)
}

func (r *relay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.open {
		l.from.Close()
		l.to.Close()
	}
	for ip, healed := range r.cut {
		close(healed)
		delete(r.cut, ip)
	}
}

// silence makes the connections of a source that are open now silent for good; new ones work.
func (r *relay) silence(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silenceLocked(source)
}

func (r *relay) silenceLocked(source string) {
	for l := range r.open {
		if l.source == source {
			l.silent.Store(true)
		}
	}
}

// setCut cuts the source off, or heals the cut.
func (r *relay) setCut(source string, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	healed := r.cut[source]
	switch {
	case on && healed == nil:
		r.cut[source] = make(chan struct{})
		r.silenceLocked(source)
	case !on && healed != nil:
		close(healed)
		delete(r.cut, source)
	}
}
