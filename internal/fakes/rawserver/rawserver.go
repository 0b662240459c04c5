// Package rawserver is a stand-in for backend servers that send what net/http's server would not.
package rawserver

import (
	"bufio"
	"net"
	"testing"
)

// Start starts a server that calls handle for each connection and closes the connection afterwards. It returns the server's
// address, at which it listens until the test ends.
func Start(t testing.TB, handle func(c *net.TCPConn, br *bufio.Reader)) string {
	t.Helper()
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
			go func() {
				defer c.Close()
				handle(c.(*net.TCPConn), bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}
