// Package connreset keeps a TCP connection that was lost from looking like one that its peer has closed in order.
//
// The kernel reports the loss of a connection to one call only. If that call is a write, the next read returns io.EOF, as it
// does after an orderly close, and a body that ends with its connection seems complete.
package connreset

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Guard returns a connection whose Read returns io.EOF only if the peer has ended its side in order. A connection that is not a
// socket is returned as it is. As with any net.Conn, one goroutine may read while another writes.
func Guard(c net.Conn) net.Conn {
	s, ok := c.(syscall.Conn)
	if !ok {
		return c
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return c
	}
	return &conn{Conn: c, raw: raw}
}

// DialContext opens connections, as net.Dialer's method does.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// GuardDial returns a function that opens guarded connections with dial.
func GuardDial(dial DialContext) DialContext {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return Guard(c), nil
	}
}

type conn struct {
	net.Conn
	raw syscall.RawConn
	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the error of the first write that failed.
	writeErr error
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if lost := c.lossReportedToWrite(); lost != nil {
			return n, errors.Wrap(lost, "the connection was lost")
		}
	}
	return n, err
}

// lossReportedToWrite returns the error of a write that was told of the connection's loss before the peer had ended its side, or
// nil. It is called after a read has returned io.EOF.
func (c *conn) lossReportedToWrite() error {
	if !c.writing.TryLock() {
		if !c.isGone() {
			// The peer may read for as long as it wants after it has ended its side.
			return nil
		}
		// The write returns at once.
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if errors.Is(c.writeErr, syscall.EPIPE) {
		// The peer had ended its side before it reset the connection. A write that is told of a loss before gets another error.
		return nil
	}
	return c.writeErr
}

// isGone reports whether neither side can send any more.
func (c *conn) isGone() bool {
	gone := true
	err := c.raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd)}}
		_, err := unix.Poll(fds, 0)
		for errors.Is(err, unix.EINTR) {
			_, err = unix.Poll(fds, 0)
		}
		gone = err != nil || fds[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || gone
}
