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

// hangingServer is an instance that never responds to calls.
type hangingServer struct {
	peerv1.UnimplementedPeerServer
}

func (hangingServer) Call(_ *peerv1.CallRequest, s grpc.ServerStreamingServer[peerv1.CallEvent]) error {
	<-s.Context().Done()
	return nil
}

// blackholeProxy forwards bytes to target until drop is set; then it discards them and leaves the connections open.
func blackholeProxy(t *testing.T, target string, drop *atomic.Bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	forward := func(dst, src net.Conn) {
		buf := make([]byte, 4096)
		for {
			n, err := src.Read(buf)
			if err != nil {
				return
			}
			if !drop.Load() {
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
			upstream, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close(); upstream.Close() })
			go forward(c, upstream)
			go forward(upstream, c)
		}
	}()
	return l.Addr().String()
}

// TestUnresponsiveConnectionIsClosed checks that calls on an unresponsive connection fail and that a new one is opened.
func TestUnresponsiveConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := NewServer()
	peerv1.RegisterPeerServer(s, hangingServer{})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	var drop atomic.Bool
	addr := blackholeProxy(t, l.Addr().String(), &drop)
	p := NewPool(nil)
	t.Cleanup(p.Close)
	conn, err := p.ReadyConn(t.Context(), addr)
	is.NoErr(err)
	stream, err := peerv1.NewPeerClient(conn).Call(t.Context(), &peerv1.CallRequest{})
	is.NoErr(err)

	drop.Store(true)
	ended := make(chan error, 1)
	go func() {
		_, err := stream.Recv()
		ended <- err
	}()
	select {
	case err := <-ended:
		is.True(err != nil && err != io.EOF)
	case <-time.After(keepaliveTime + 2*keepaliveTimeout):
		t.Fatal("a call still waits on an unresponsive connection")
	}

	drop.Store(false)
	ctx, cancel := context.WithTimeout(t.Context(), keepaliveTimeout)
	defer cancel()
	_, err = p.ReadyConn(ctx, addr)
	is.NoErr(err)
}
