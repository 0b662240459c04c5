package tunnel

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/backendpath"
	"github.com/berylpond/berylpond/internal/peer"
)

// carrier is an instance that carries tunnels.
type carrier struct {
	*Server
	address  string
	rpc      *grpc.Server
	draining atomic.Bool
	known    []string
	leaving  chan string
}

func (c *carrier) AcceptsNew(address string) bool { return slices.Contains(c.known, address) }

func (c *carrier) MarkLeavingID(id string, incarnation int64) bool {
	c.leaving <- fmt.Sprintf("%s/%d", id, incarnation)
	return true
}

func startCarrier(t *testing.T, dial backendpath.DialFunc, known ...string) *carrier {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &carrier{address: l.Addr().String(), rpc: peer.NewServer(), known: known, leaving: make(chan string, 1)}
	c.Server = NewServer(dial, c, c.draining.Load)
	turnv1.RegisterTunnelsServer(c.rpc, c.Server)
	go c.rpc.Serve(l)
	t.Cleanup(c.rpc.Stop)
	return c
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

func newClient(t *testing.T, peers ...string) *Client {
	pool := peer.NewPool(nil)
	t.Cleanup(pool.Close)
	return NewClient(pool, func() []string { return append([]string(nil), peers...) })
}

// startBackend runs script for each connection.
func startBackend(t *testing.T, script func(*net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go script(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

func TestTunnelCopiesBothWaysAndTellsAnOrderlyEnd(t *testing.T) {
	is := is.New(t)
	const size = 5 * chunkBytes / 2
	backend := startBackend(t, func(c *net.TCPConn) {
		defer c.Close()
		if _, err := io.CopyN(c, c, size); err != nil {
			t.Error(err)
		}
	})
	client := newClient(t, startCarrier(t, dialTCP, backend).address)
	c, err := client.Dial(t.Context(), backend)
	is.NoErr(err)
	sent := make([]byte, size)
	for i := range sent {
		sent[i] = byte(i * 7)
	}
	go c.Write(sent)
	got, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(got, sent)
}

func TestBrokenConnectionIsNoOrderlyEnd(t *testing.T) {
	is := is.New(t)
	received := make(chan struct{})
	reset := startBackend(t, func(c *net.TCPConn) {
		c.Read(make([]byte, 1)) // a reset before would already fail the dial
		c.Write([]byte("part"))
		c.SetLinger(0)
		c.Close()
	})
	silent := startBackend(t, func(c *net.TCPConn) {
		c.Write([]byte("part"))
		<-received
		c.Close()
	})
	for _, backend := range []string{reset, silent} {
		carrier := startCarrier(t, dialTCP, backend)
		c, err := newClient(t, carrier.address).Dial(t.Context(), backend)
		is.NoErr(err)
		_, err = c.Write([]byte("x"))
		is.NoErr(err)
		if backend == silent {
			_, err = io.ReadFull(c, make([]byte, len("part")))
			is.NoErr(err)
			carrier.rpc.Stop()
			close(received)
		}
		_, err = io.ReadAll(c)
		is.True(err != nil) // the server resets the connection, then the carrier ends
	}
}

func TestClosedTunnelClosesTheConnectionToTheServer(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	backend := startBackend(t, func(c *net.TCPConn) {
		io.Copy(io.Discard, c)
		close(closed)
	})
	carrier := startCarrier(t, dialTCP, backend)
	client := newClient(t, carrier.address)
	c, err := client.Dial(t.Context(), backend)
	is.NoErr(err)
	is.NoErr(c.SetDeadline(time.Now().Add(50 * time.Millisecond)))
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection is still open after the deadline")
	}
	carrier.draining.Store(true)
	carrier.Wait(t.Context())
	_, err = client.Dial(t.Context(), backend)
	is.True(errors.Is(err, backendpath.ErrLost)) // the peer is draining
}

func TestPeersWithoutAWayArePassedOver(t *testing.T) {
	is := is.New(t)
	backend := startBackend(t, func(c *net.TCPConn) { c.Close() })
	var asked atomic.Int32
	lost := func(context.Context, string) (net.Conn, error) {
		asked.Add(1)
		return nil, backendpath.ErrLost
	}
	client := newClient(t, startCarrier(t, lost, backend).address, startCarrier(t, lost, backend).address,
		startCarrier(t, dialTCP, backend).address)
	for range 20 {
		c, err := client.Dial(t.Context(), backend)
		is.NoErr(err)
		c.Close()
	}
	is.True(asked.Load() <= 2) // each is asked at most once a second
}

func TestServerThatRefusesIsNotTriedThroughEveryPeer(t *testing.T) {
	is := is.New(t)
	var asked atomic.Int32
	refuse := func(context.Context, string) (net.Conn, error) {
		asked.Add(1)
		return nil, errors.New("connection refused")
	}
	client := newClient(t, startCarrier(t, refuse, "10.0.0.1:80").address, startCarrier(t, refuse, "10.0.0.1:80").address)
	_, err := client.Dial(t.Context(), "10.0.0.1:80")
	is.True(err != nil)
	is.True(!errors.Is(err, backendpath.ErrLost)) // the server is at fault
	is.Equal(asked.Load(), int32(1))
}

func TestOnlyRegisteredServersAreReached(t *testing.T) {
	is := is.New(t)
	carrier := startCarrier(t, dialTCP, "10.0.0.1:80")
	_, err := newClient(t, carrier.address).Dial(t.Context(), carrier.address)
	is.True(err != nil)
	_, err = newClient(t).Dial(t.Context(), "10.0.0.1:80")
	is.True(errors.Is(err, backendpath.ErrLost)) // there are no peers
}

// Guards against an instance sending new requests to a server that has announced its shutdown in a tunnel.
func TestCarrierIsToldOfALeavingServer(t *testing.T) {
	is := is.New(t)
	// The server answers before it has read the request, so that the sending side of the tunnel is blocked.
	backend := startBackend(t, func(c *net.TCPConn) { time.Sleep(time.Second) })
	carrier := startCarrier(t, dialTCP, backend)
	c, err := newClient(t, carrier.address).Dial(t.Context(), backend)
	is.NoErr(err)
	go c.Write(make([]byte, 64<<20))
	time.Sleep(50 * time.Millisecond)
	start := time.Now()
	c.(*conn).ServerLeaving("x", 3)
	c.Close()
	is.True(time.Since(start) < 50*time.Millisecond)
	is.Equal(<-carrier.leaving, "x/3")
}

// Guards against the contents of a request with homes passing through an instance elsewhere.
func TestPeersOutsideTheHomesCarryNoTunnel(t *testing.T) {
	is := is.New(t)
	accepted := make(chan struct{}, 1)
	backend := startBackend(t, func(c *net.TCPConn) {
		accepted <- struct{}{}
		c.Close()
	})
	elsewhere, home := startCarrier(t, dialTCP, backend), startCarrier(t, dialTCP, backend)
	c := newClient(t, elsewhere.address)
	c.Allows = func(_ context.Context, address string) bool { return address == home.address }
	_, err := c.Dial(t.Context(), backend)
	is.True(errors.Is(err, backendpath.ErrLost))
	is.Equal(len(accepted), 0)
	c.peers = func() []string { return []string{elsewhere.address, home.address} }
	_, err = c.Dial(t.Context(), backend)
	is.NoErr(err)
	<-accepted
}
