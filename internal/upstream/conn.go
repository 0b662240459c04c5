package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/berylpond/berylpond/internal/connreset"
	"github.com/berylpond/berylpond/internal/httphead"
)

const (
	// connectTimeout bounds opening a connection. Connecting within a region takes milliseconds, and a lost SYN is
	// retransmitted only after a second.
	connectTimeout = 500 * time.Millisecond
	// tcpUserTimeout closes a connection whose sent data stays unacknowledged, for example because of a network
	// partition.
	tcpUserTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount close a connection whose peer has stopped responding
	// within about 2 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// defaultIdleTimeout bounds the reuse of an idle connection if the server announces no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that the server announces.
	idleMargin = 1500 * time.Millisecond
	// readBufferBytes is the size of a connection's read buffer, for response headers and stream events.
	readBufferBytes = 4 << 10
)

// maxHeadBytes and maxHeadLines bound the status line and the headers of a response, those of interim responses included.
// They are far above what servers send. A decoded line takes more than a hundred bytes, however short it is.
const (
	maxHeadBytes = 64 << 10
	maxHeadLines = 512
)

// ErrHeadTooLong means that a server has sent more than maxHeadBytes or maxHeadLines without reaching the end of a response's
// head.
var ErrHeadTooLong = errors.New("the head of the answer is too long")

// headLimiter ends a read with ErrHeadTooLong once a response's head is too long. Bytes without end would otherwise fill the
// memory until the request's deadline. It also looks for folded lines.
type headLimiter struct {
	io.Reader
	// left and lines are the numbers of bytes and lines that may still be read; left is negative while no head is being read.
	left  int64
	lines int
	folds httphead.FoldScanner
}

// start begins a head.
func (l *headLimiter) start() { l.left, l.lines = maxHeadBytes, maxHeadLines }

// end ends it: what follows is not limited.
func (l *headLimiter) end() { l.left = -1 }

func (l *headLimiter) Read(b []byte) (int, error) {
	if l.left < 0 {
		return l.Reader.Read(b)
	}
	if l.left == 0 || l.lines < 0 {
		return 0, ErrHeadTooLong
	}
	n, err := l.Reader.Read(b[:min(int64(len(b)), l.left)])
	l.left -= int64(n)
	l.folds.Scan(b[:n])
	// The lines of a body that follows in the same read count as well, but nothing is read for the head after them.
	l.lines -= bytes.Count(b[:n], []byte{'\n'})
	return n, err
}

// conn is one connection to a backend server. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	head   *headLimiter
	// answered is set once a request on the connection has had its response.
	answered bool
	// used is when the last response on the idle connection ended. If the direct way to the servers was lost after that, the
	// connection may be dead.
	used time.Time
	// expires is the time after which the idle connection must not be reused.
	expires time.Time
}

var dialer = net.Dialer{
	Timeout:         connectTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	Control: func(_, _ string, c syscall.RawConn) error {
		var sockoptErr error
		err := c.Control(func(fd uintptr) {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
		})
		return errors.CombineErrors(err, sockoptErr)
	},
}

func newConn(c net.Conn) *conn {
	c = connreset.Guard(c)
	head := &headLimiter{Reader: c, left: -1}
	return &conn{Conn: c, reader: bufio.NewReaderSize(head, readBufferBytes), head: head}
}

// Dial opens a connection to a backend server directly.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp", address)
}

// via returns the peer address of the instance that the connection goes through, or "".
func (c *conn) via() string {
	if v, ok := c.Conn.(interface{ Via() string }); ok {
		return v.Via()
	}
	return ""
}

// isReusable reports whether an idle connection is still open and has nothing to read. Bytes that arrive without a
// request in flight belong to no request, and a connection that the server has closed would lose the next request.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	var peeked [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		nothingToRead = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && nothingToRead
}

// drain discards the rest of a body, up to a limit, so that the connection can be reused.
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
