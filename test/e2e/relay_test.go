package e2e

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay is a TCP proxy in front of one process. It simulates network partitions by source IP address. A partitioned
// connection transfers nothing and is not closed, as when a middlebox has dropped the connection's state.
type relay struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	partitioned map[string]chan struct{} // by source IP; closed when the partition heals
	conns       map[*relayConn]struct{}
}

// relayConn is one connection through the relay. A silent connection never recovers.
type relayConn struct {
	source         string
	client, server net.Conn
	silent         atomic.Bool
}

// newRelay listens on a free port of the given IP and forwards connections to target.
func newRelay(t testing.TB, ip string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, partitioned: map[string]chan struct{}{}, conns: map[*relayConn]struct{}{}}
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

func (r *relay) serve(client net.Conn) {
	defer client.Close()
	source := client.RemoteAddr().(*net.TCPAddr).IP.String()
	if !r.awaitHealed(source) {
		return
	}
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer server.Close()
	l := &relayConn{source: source, client: client, server: server}
	r.track(l)
	defer r.untrack(l)
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
		// The close of a silent connection is not forwarded to the other end.
		if !l.silent.Load() {
			done <- struct{}{}
		}
	}
	go copyTo(server, client)
	go copyTo(client, server)
	<-done
}

// awaitHealed waits while the source is partitioned. It returns false if it had to wait: the connection attempt is then
// dropped.
func (r *relay) awaitHealed(source string) bool {
	r.mu.Lock()
	healed := r.partitioned[source]
	r.mu.Unlock()
	if healed == nil {
		return true
	}
	<-healed
	return false
}

func (r *relay) track(l *relayConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[l] = struct{}{}
	if r.partitioned[l.source] != nil {
		l.silent.Store(true)
	}
}

func (r *relay) untrack(l *relayConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, l)
}

func (r *relay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.conns {
		l.client.Close()
		l.server.Close()
	}
	for ip, healed := range r.partitioned {
		close(healed)
		delete(r.partitioned, ip)
	}
}

// silence makes the open connections of a source silent permanently; new connections work.
func (r *relay) silence(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silenceLocked(source)
}

func (r *relay) silenceLocked(source string) {
	for l := range r.conns {
		if l.source == source {
			l.silent.Store(true)
		}
	}
}

// setPartitioned starts or heals a partition of the source.
func (r *relay) setPartitioned(source string, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	healed := r.partitioned[source]
	switch {
	case on && healed == nil:
		r.partitioned[source] = make(chan struct{})
		r.silenceLocked(source)
	case !on && healed != nil:
		close(healed)
		delete(r.partitioned, source)
	}
}
