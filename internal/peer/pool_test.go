package peer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
)

// hanging is an instance whose calls never end.
type hanging struct {
	peerv1.UnimplementedPeerServer
}

func (hanging) Call(_ *peerv1.CallRequest, s grpc.ServerStreamingServer[peerv1.CallEvent]) error {
	<-s.Context().Done()
	return nil
}

// silentProxy passes bytes on to target until silent is set; then it discards them and closes nothing.
func silentProxy(t *testing.T, target string, silent *atomic.Bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	pass := func(dst, src net.Conn) {
		buf := make([]byte, 4096)
		for {
			n, err := src.Read(buf)
			if err != nil {
				return
			}
			if !silent.Load() {
				_, _ = dst.Write(buf[:n])
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			up, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close(); up.Close() })
			go pass(c, up)
			go pass(up, c)
		}
	}()
	return l.Addr().String()
}

// TestSilentConnectionIsDropped checks that what waits on a silent connection ends, and that a new one is opened.
func TestSilentConnectionIsDropped(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := NewServer()
	peerv1.RegisterPeerServer(s, hanging{})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	var silent atomic.Bool
	addr := silentProxy(t, l.Addr().String(), &silent)
	p := NewPool(nil)
	t.Cleanup(p.Close)
	conn, err := p.Ready(t.Context(), addr)
	is.NoErr(err)
	stream, err := peerv1.NewPeerClient(conn).Call(t.Context(), &peerv1.CallRequest{})
	is.NoErr(err)

	silent.Store(true)
	ended := make(chan error, 1)
	go func() {
		_, err := stream.Recv()
		ended <- err
	}()
	select {
	case err := <-ended:
		is.True(err != nil && err != io.EOF)
	case <-time.After(keepaliveTime + 2*keepaliveTimeout):
		t.Fatal("a call still waits on a silent connection")
	}

	silent.Store(false)
	ctx, cancel := context.WithTimeout(t.Context(), keepaliveTimeout)
	defer cancel()
	_, err = p.Ready(ctx, addr)
	is.NoErr(err)
}
