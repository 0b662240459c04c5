package e2e

import (
	"net"
	"sync"
	"testing"
)

// relay stands before one process and can cut it off from sources, told apart by their IP address. A cut connection
// goes silent: nothing passes and nothing is closed, as when a device between the two ends has lost track of it.
type relay struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	cut  map[string]chan struct{} // by source IP; closed when the cut heals
	open map[net.Conn]struct{}
}

// newRelay listens on a free port of the given IP and passes connections on to target.
func newRelay(t testing.TB, ip string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, cut: map[string]chan struct{}{}, open: map[net.Conn]struct{}{}}
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
	r.track(c, up)
	done := make(chan struct{}, 2)
	copyTo := func(dst, src net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			if n > 0 && r.pass(source) {
				if _, werr := dst.Write(buf[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go copyTo(up, c)
	go copyTo(c, up)
	<-done
}

// pass waits while the source is cut off. It returns false when the connection was open during a cut: such a connection
// stays silent for good.
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

func (r *relay) track(cs ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range cs {
		r.open[c] = struct{}{}
	}
}

func (r *relay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		c.Close()
	}
	for ip, healed := range r.cut {
		close(healed)
		delete(r.cut, ip)
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
	case !on && healed != nil:
		close(healed)
		delete(r.cut, source)
	}
}
