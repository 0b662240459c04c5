package quotactl

import (
	"context"
	"net"
	"sync/atomic"
)

// byteCount counts the bytes read and written on the connections that it dials.
type byteCount struct{ in, out atomic.Int64 }

func (b *byteCount) dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	return &countedConn{Conn: c, n: b}, err
}

type countedConn struct {
	net.Conn
	n *byteCount
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.in.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.out.Add(int64(n))
	return n, err
}
