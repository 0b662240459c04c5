package instance

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/upstream"
)

// partition cuts an instance off from every backend server.
type partition struct {
	// silent loses packets on every connection; refuses lets open connections live on and refuses new ones.
	silent, refuses atomic.Bool
}

// lostPacketTimeout is how long the kernel waits for lost packets to be acknowledged.
const lostPacketTimeout = 2 * time.Second

func (p *partition) dial(ctx context.Context, address string) (net.Conn, error) {
	switch {
	case p.silent.Load():
		ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	case p.refuses.Load():
		return nil, syscall.ECONNREFUSED
	}
	c, err := upstream.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &partitionedConn{TCPConn: c.(*net.TCPConn), partition: p}, nil
}

type partitionedConn struct {
	*net.TCPConn
	partition *partition
}

func (c *partitionedConn) Write(b []byte) (int, error) {
	if !c.partition.silent.Load() {
		return c.TCPConn.Write(b)
	}
	time.AfterFunc(lostPacketTimeout, func() { c.TCPConn.Close() })
	return len(b), nil
}

// partitionedSite has three instances, the first of which can be cut off from the backend servers.
func partitionedSite(t *testing.T) (*site, *partition) {
	s, p := newSite(t), &partition{}
	s.prepare = func(i *Instance) { i.dialBackend = p.dial }
	s.start()
	s.prepare = nil
	s.start()
	s.start()
	return s, p
}

// servedShare sends calls and turns to an instance for a while, several at a time, and returns the share of first attempts
// that were served.
func (s *site) servedShare(n *node, duration time.Duration) float64 {
	var served, all atomic.Int64
	done := make(chan struct{})
	const clients = 6
	for i := range clients {
		go func() {
			defer func() { done <- struct{}{} }()
			path := []string{"/read/x", "/pay/x", "/chat/x"}[i%3]
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				all.Add(1)
				if a := s.do(n, call{path: path}); a.status == http.StatusOK && !a.broken {
					served.Add(1)
				}
			}
		}()
	}
	for range clients {
		<-done
	}
	return float64(served.Load()) / float64(all.Load())
}

// contactTolerance is the time within which the platform expects an instance to have noticed a partition.
const contactTolerance = 3 * time.Second

// Guards against the callers of an instance that has lost the way to every server being served far worse than the others.
func TestInstanceCutOffFromAllServersStillServesItsCallers(t *testing.T) {
	for name, cut := range map[string]func(*partition, bool){
		"silent":  func(p *partition, on bool) { p.silent.Store(on) },
		"refuses": func(p *partition, on bool) { p.refuses.Store(on) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, p := partitionedSite(t)
			n := s.nodes[0]
			s.turn(n, call{path: "/chat/x"})
			is.Equal(s.servedShare(n, time.Second), 1.0)
			cut(p, true)
			n.backendPool.Close() // the server closes idle connections some day
			first := s.servedShare(n, contactTolerance)
			share := s.servedShare(n, 2*time.Second)
			t.Logf("served %.2f of the first attempts in the first seconds, then %.2f", first, share)
			is.True(share >= 2.0/3)
			is.True(n.Ready())
			cut(p, false)
			time.Sleep(time.Second)
			is.Equal(s.servedShare(n, time.Second), 1.0)
		})
	}
}

// Guards against a response that breaks off in a tunnel reaching the caller as a whole one.
func TestCloseDelimitedResponseThroughAPeerIsWholeOrVisiblyBroken(t *testing.T) {
	is := is.New(t)
	s, p := partitionedSite(t)
	n := s.nodes[0]
	var reset atomic.Bool
	for _, b := range s.tools {
		b.Handler = func(w http.ResponseWriter, r *http.Request, _ string) bool {
			c, rw, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return false
			}
			rw.WriteString("HTTP/1.1 200 OK\r\nRequest-Id: " + r.Header.Get("Request-Id") + "\r\nResponse-Stamp: s\r\n\r\nwhole")
			rw.Flush()
			if reset.Load() {
				time.Sleep(50 * time.Millisecond)
				c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
			return true
		}
	}
	p.refuses.Store(true)
	a := s.do(n, call{path: "/pay/x"})
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, "whole")
	is.True(!n.backendPath.LostSince().IsZero()) // it came through a peer
	reset.Store(true)
	is.Equal(s.do(n, call{path: "/pay/x"}).status, http.StatusBadGateway)
}

// Guards against the planned stop of a peer cutting the streams that it carries for an instance without a way of its own.
func TestPeerThatStopsCarriesItsTunnelsToTheirEnd(t *testing.T) {
	is := is.New(t)
	s, p := partitionedSite(t)
	p.refuses.Store(true)
	// The stream outlasts the time for which a stopping instance takes new connections.
	s.llm.EventInterval = 950 * time.Millisecond
	done := make(chan response)
	go func() { done <- s.do(s.nodes[0], call{path: "/quote/x", deadlineMs: "4000"}) }()
	s.eventually("the stream has begun", func() bool { return len(s.llm.Executions()) == 1 })
	for _, n := range s.nodes[1:] {
		n.stop()
	}
	a := <-done
	is.Equal(a.status, http.StatusOK)
	is.True(!a.broken)
	is.True(!s.llm.Executions()[0].Cancelled)
}

// Guards against an instance that only copies bytes going on to use a server that has announced its shutdown in them.
func TestLeavingServerSeenThroughAPeerIsKnownToThePeer(t *testing.T) {
	is := is.New(t)
	s, p := partitionedSite(t)
	p.refuses.Store(true)
	var arrivals atomic.Int32
	leaving := s.tools[0]
	leaving.Handler = func(w http.ResponseWriter, _ *http.Request, _ string) bool {
		arrivals.Add(1)
		w.Header().Set("Server-Leaving", "1")
		return false
	}
	for arrivals.Load() == 0 {
		is.Equal(s.do(s.nodes[0], call{path: "/read/x"}).status, http.StatusOK)
	}
	address := leaving.Listener.Addr().String()
	s.eventually("the peer knows", func() bool {
		return !s.nodes[1].fleet.AcceptsNew(address) || !s.nodes[2].fleet.AcceptsNew(address)
	})
	for range 10 {
		is.Equal(s.do(s.nodes[0], call{path: "/read/x"}).status, http.StatusOK)
	}
	is.Equal(arrivals.Load(), int32(1))
}
