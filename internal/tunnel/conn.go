package tunnel

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

// reportTimeout bounds a report to a peer.
const reportTimeout = 500 * time.Millisecond

// conn is the opening side of a tunnel. As with any net.Conn, one goroutine may read while another writes.
type conn struct {
	stream  turnv1.Tunnels_OpenClient
	cancel  context.CancelFunc
	expiry  *time.Timer
	peer    string
	address string
	// unread is the rest of the last message.
	unread []byte
	// reports is the peer's service for what its copying does not see.
	reports turnv1.TunnelsClient
}

// Read implements net.Conn. It returns io.EOF only if the backend server has closed the connection in order.
func (c *conn) Read(b []byte) (int, error) {
	for len(c.unread) == 0 {
		m, err := c.stream.Recv()
		if errors.Is(err, io.EOF) {
			return 0, io.EOF
		}
		if err != nil {
			return 0, errors.Wrapf(err, "tunnel through %s", c.peer)
		}
		c.unread = m.Data
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	for written := 0; written < len(b); {
		next := min(len(b), written+chunkBytes)
		if err := c.stream.Send(&turnv1.TunnelRequest{Data: b[written:next]}); err != nil {
			return written, errors.Wrapf(err, "tunnel through %s", c.peer)
		}
		written = next
	}
	return len(b), nil
}

// ServerLeaving tells the peer that the backend server at the other end has announced that it is leaving. The peer does not
// see it, as it only copies bytes. ServerLeaving does not wait, and the connection may be closed meanwhile.
func (c *conn) ServerLeaving(id string, incarnation int64) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		if _, err := c.reports.ReportLeaving(ctx, &turnv1.LeavingServer{Id: id, Incarnation: incarnation}); err != nil {
			klog.InfoS("could not tell a peer of a leaving server", "peer", c.peer, "backend", id, "cause", err.Error())
		}
	}()
}

// Close implements net.Conn. The peer closes its connection to the backend server.
func (c *conn) Close() error {
	c.cancel()
	return nil
}

// SetDeadline implements net.Conn. The connection is closed at the deadline, whether or not a call is pending.
func (c *conn) SetDeadline(t time.Time) error {
	if c.expiry != nil {
		c.expiry.Stop()
	}
	if !t.IsZero() {
		c.expiry = time.AfterFunc(time.Until(t), c.cancel)
	}
	return nil
}

// SetReadDeadline implements net.Conn as SetDeadline does.
func (c *conn) SetReadDeadline(t time.Time) error { return c.SetDeadline(t) }

// SetWriteDeadline implements net.Conn as SetDeadline does.
func (c *conn) SetWriteDeadline(t time.Time) error { return c.SetDeadline(t) }

// Via returns the peer address of the instance that carries the tunnel.
func (c *conn) Via() string { return c.peer }

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return address(c.peer) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return address(c.address) }

// address is an IP:PORT.
type address string

func (address) Network() string { return "tcp" }

func (a address) String() string { return string(a) }
