package connreset

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// uploadBytes is more than the buffers of two sockets hold.
const uploadBytes = 32 << 20

// connect returns both ends of a connection, the first one guarded.
func connect(t *testing.T) (guarded net.Conn, peer *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	p, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); p.Close() })
	return Guard(c), p.(*net.TCPConn)
}

// upload writes more than the peer can take before it reads, and returns the error of the write.
func upload(c net.Conn) <-chan error {
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, uploadBytes))
		written <- err
	}()
	return written
}

func reset(t *testing.T, c *net.TCPConn) {
	t.Helper()
	if err := errors.CombineErrors(c.SetLinger(0), c.Close()); err != nil {
		t.Error(err)
	}
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Error(err)
	}
}

func TestResetThatAWriteWasToldOfIsNoEnd(t *testing.T) {
	is := is.New(t)
	c, peer := connect(t)
	written := upload(c)
	send(t, peer, "part")
	reset(t, peer)
	is.True(errors.Is(<-written, syscall.ECONNRESET))
	b, err := io.ReadAll(c)
	is.True(errors.Is(err, syscall.ECONNRESET))
	is.Equal(string(b), "part")
}

// A write after the one that was told gets the error that also follows an orderly end.
func TestLaterWritesDoNotHideAReset(t *testing.T) {
	is := is.New(t)
	c, peer := connect(t)
	written := upload(c)
	reset(t, peer)
	is.True(errors.Is(<-written, syscall.ECONNRESET))
	_, err := io.WriteString(c, "more")
	is.True(errors.Is(err, syscall.EPIPE))
	_, err = c.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// A write and a read that wait for the same reset: whichever of them is told, the read fails.
func TestResetDuringAWriteAndAReadIsNoEnd(t *testing.T) {
	for range 50 {
		is := is.New(t)
		c, peer := connect(t)
		written := upload(c)
		send(t, peer, "part")
		go reset(t, peer)
		_, err := io.ReadAll(c)
		is.True(errors.Is(err, syscall.ECONNRESET))
		is.True(<-written != nil)
	}
}

func TestPeerThatEndsItsSideAndReadsOnEndsInOrder(t *testing.T) {
	is := is.New(t)
	c, peer := connect(t)
	written := upload(c)
	send(t, peer, "whole")
	is.NoErr(peer.CloseWrite())
	b, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(b), "whole")
	n, err := io.CopyN(io.Discard, peer, uploadBytes)
	is.NoErr(err)
	is.Equal(n, int64(uploadBytes))
	is.NoErr(<-written)
}

func TestResetAfterThePeerHasEndedItsSideEndsInOrder(t *testing.T) {
	is := is.New(t)
	c, peer := connect(t)
	written := upload(c)
	send(t, peer, "whole")
	is.NoErr(peer.CloseWrite())
	reset(t, peer)
	is.True(errors.Is(<-written, syscall.EPIPE))
	b, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(b), "whole")
}

func TestOrderlyCloseIsAnEnd(t *testing.T) {
	is := is.New(t)
	c, peer := connect(t)
	send(t, c, "request")
	is.NoErr(func() error { _, err := io.ReadFull(peer, make([]byte, len("request"))); return err }())
	send(t, peer, "whole")
	is.NoErr(peer.Close())
	b, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(b), "whole")
}
