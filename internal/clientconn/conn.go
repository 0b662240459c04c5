package clientconn

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// headLineBytes is what a line of a head takes once it is decoded and copied for the backend server, however short it is.
	headLineBytes = 320
	// headGrowth is how many times the bytes of a head are held while it is read, as buffers grow.
	headGrowth = 2
	// assuredHeadBytes is what each head may take, whatever other heads do: some thirty lines of usual length.
	assuredHeadBytes = 16 << 10
	// writeChunk is the size of the writes that stallTimeout bounds.
	writeChunk = 16 << 10
	// stallTimeout is how long a client may take to read writeChunk bytes.
	stallTimeout = 10 * time.Second
)

// noRoomResponse refuses a request whose head has not been read to its end, so that it never runs.
const noRoomResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refusalTimeout bounds the write of noRoomResponse.
const refusalTimeout = 100 * time.Millisecond

var errNoRoom = errors.New("no room for the head of the request")

// Conn is the connection of a client.
type Conn struct {
	net.Conn
	limiter   *Limiter
	closeOnce sync.Once

	mu sync.Mutex
	// isWaiting is set while the connection waits for its client, waitingSince says since when.
	isWaiting    bool
	waitingSince time.Time
	// writingSince is when the write in progress began; zero if there is none.
	writingSince time.Time
	closed       bool
	head         headCount
	// serving is set from the end of a head to the end of the response.
	serving bool
	// headHeld is what the head holds beyond assuredHeadBytes, requestHeld what the request holds besides.
	headHeld, requestHeld int64
}

// headCount counts the lines and bytes of a head as they arrive.
type headCount struct {
	bytes, lines int64
	// ended is set after the empty line at the end, atLineStart after each line feed.
	ended, atLineStart bool
	// tail is the number of lines of the last read that belong to what follows the head. The next head may begin with them.
	tail int64
}

// add counts what was read while a head is expected.
func (h *headCount) add(b []byte) {
	read := 0
	for read < len(b) && !h.ended {
		if b[read] == '\n' {
			h.ended = h.atLineStart
			h.atLineStart = true
			h.lines++
		} else {
			h.atLineStart = h.atLineStart && b[read] == '\r'
		}
		read++
	}
	h.bytes += int64(read)
	h.tail = countLines(b[read:])
}

func countLines(b []byte) int64 { return int64(bytes.Count(b, []byte{'\n'})) }

// cost is what the head takes once it is decoded.
func (h *headCount) cost() int64 { return headGrowth*h.bytes + headLineBytes*h.lines }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.count(b[:n]) {
		c.refuse()
		return 0, errNoRoom
	}
	return n, err
}

// count counts what was read, and reports whether there is room for it.
func (c *Conn) count(b []byte) bool { return c.holdHead(c.countHead(b)) }

// holdHead holds more bytes for the head, and reports whether there is room for them.
func (c *Conn) holdHead(more int64) bool {
	if more <= 0 {
		return true
	}
	// The limiter may look at this connection meanwhile, so it is not locked.
	if !c.limiter.holdHead(more) {
		return false
	}
	c.mu.Lock()
	closed := c.closed
	if !closed {
		c.headHeld += more
	}
	c.mu.Unlock()
	if closed {
		c.limiter.releaseHead(more)
	}
	return !closed
}

// countHead returns how much more than before the head takes with what was read.
func (c *Conn) countHead(b []byte) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving {
		// All but the last read has been taken by the request.
		c.head.tail = countLines(b)
		return 0
	}
	c.head.add(b)
	return c.head.cost() - assuredHeadBytes - c.headHeld
}

// refuse answers a request whose head has no room, and closes the connection.
func (c *Conn) refuse() {
	w, _ := c.wait()
	c.limiter.closed(reasonHead, c.RemoteAddr(), w)
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Conn.Write([]byte(noRoomResponse))
	c.Close()
}

// headEnded tells that the head of a request has been decoded.
func (c *Conn) headEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.isWaiting = true, false
}

// responseEnded tells that the connection waits for the next request.
func (c *Conn) responseEnded() {
	c.mu.Lock()
	held := c.headHeld
	c.serving, c.isWaiting, c.waitingSince = false, true, c.limiter.now()
	c.headHeld, c.requestHeld = 0, 0
	c.head = headCount{lines: c.head.tail}
	more := c.head.cost() - assuredHeadBytes
	c.mu.Unlock()
	c.limiter.releaseHead(held)
	if !c.holdHead(more) {
		c.refuse()
	}
}

// Write implements net.Conn. It fails once the client takes longer than stallTimeout to read a chunk.
func (c *Conn) Write(b []byte) (int, error) {
	defer c.setWritingSince(time.Time{})
	written := 0
	for {
		now := c.limiter.now()
		c.setWritingSince(now)
		if err := c.SetWriteDeadline(now.Add(stallTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:min(written+writeChunk, len(b))])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

func (c *Conn) setWritingSince(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = t
}

// CloseWrite closes the sending direction, as net/http does before it closes a connection with unread input.
func (c *Conn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		c.mu.Lock()
		held := c.headHeld
		c.closed, c.headHeld = true, 0
		c.mu.Unlock()
		c.limiter.releaseHead(held)
		c.limiter.remove(c)
	})
	return err
}

// wait returns since when the connection has waited for its client. It reports false if it doesn't.
func (c *Conn) wait() (wait, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := wait{conn: c, since: c.waitingSince, bytes: connectionBytes + c.headHeld + c.requestHeld}
	if !c.writingSince.IsZero() {
		w.since = c.writingSince
		return w, true
	}
	return w, c.isWaiting
}

type contextKey struct{}

// NewContext is the http.Server's ConnContext hook. It lets a handler find its connection.
func NewContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromContext returns the connection of a request; nil if it is not one of a Limiter.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// SetHeld tells what the request on the connection holds in the account of memory. A nil connection ignores it.
func (c *Conn) SetHeld(bytes int64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestHeld = bytes
}

// AwaitBody tells that the request's body is being read. The returned function ends that. A nil connection ignores both.
func (c *Conn) AwaitBody() (done func()) {
	if c == nil {
		return func() {}
	}
	c.setWaiting(true)
	return func() { c.setWaiting(false) }
}

func (c *Conn) setWaiting(waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isWaiting, c.waitingSince = waiting, c.limiter.now()
}
