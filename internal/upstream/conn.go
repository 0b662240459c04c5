package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// connectTimeout bounds the opening of a connection. A connection within a region takes milliseconds; a lost opening
	// packet is sent again only after a second.
	connectTimeout = 500 * time.Millisecond
	// unackedTimeout drops a connection on which sent bytes stay unacknowledged, as behind a partition.
	unackedTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount drop a connection that has gone silent within about 2 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// defaultIdleTimeout is how long an idle connection is used again where the server announces no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is kept between the last reuse of a connection and the server's announced timeout.
	idleMargin = 1500 * time.Millisecond
	// readBufferBytes holds the headers of an answer and the events of a stream.
	readBufferBytes = 4 << 10
)

// conn is one connection to a backend server. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// expires is when an idle connection may no longer be used.
	expires time.Time
}

var dialer = net.Dialer{
	Timeout:         connectTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
		})
		return errors.CombineErrors(err, failed)
	},
}

func dial(ctx context.Context, address string) (*conn, error) {
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connecting to %s", address)
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes)}, nil
}

// quiet reports whether an idle connection is still open and has nothing to read. Bytes that arrive while no request is
// under way belong to none, and a connection that the server has closed would lose the next request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && silent
}

// drain reads what is left of a body, up to a limit, so that the connection can be used again.
func drain(body io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit))
	if err != nil {
		return err
	}
	if n == limit {
		return errors.New("the body is too long to be read to its end")
	}
	return nil
}
