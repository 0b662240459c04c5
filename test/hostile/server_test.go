package hostile

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/berylpond/berylpond/test/daemon"
)

// serverCallers is the number of clients whose requests a faulty backend server has at once.
const serverCallers = 48

// Guards against instances that run out of memory because they keep what a faulty backend server sends without end.
func TestServerThatSendsWithoutEnd(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: stamp\r\n"
	stream := head + "Content-Type: text/event-stream\r\n\r\n"
	line := strings.Repeat("x", 1000)
	for _, c := range []struct {
		name, path string
		// first is sent once, with the id of the request; then the results of next for 0, 1, 2 and so on without end. A nil
		// next sends nothing.
		first string
		next  func(i int) string
	}{
		{"bytes that are no answer", "/faulty-read/", "", func(int) string { return line }},
		{"head with many lines", "/faulty-read/", head, func(i int) string { return fmt.Sprintf("%x:\r\n", i) }},
		{"head with a long line", "/faulty-read/", head + "X: ", func(int) string { return line }},
		{"heads of interim answers", "/faulty-read/", "", func(int) string { return "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" }},
		{"body without a length", "/faulty-read/", head + "\r\n", func(int) string { return line }},
		{"body in chunks", "/faulty-read/", head + "Transfer-Encoding: chunked\r\n\r\n", func(int) string { return "3e8\r\n" + line + "\r\n" }},
		{"body that doesn't come", "/faulty-read/", head + "Content-Length: 1048576\r\n\r\n", nil},
		{"event without end", "/faulty-chat/", stream, func(int) string { return line }},
		{"events", "/faulty-chat/", stream, func(i int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, line) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t, daemon.Limits{MemoryMB: 40, MaxFiles: 1000, Grace: 8 * time.Second})
			address := listen(t, func(conn net.Conn) {
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				first := c.first
				if first != "" {
					first = fmt.Sprintf(first, r.Header.Get("Request-Id"))
				}
				sendWithoutEnd(conn, first, c.next)
			})
			s.store.PutKeyed("keyed.servers", "faulty-1", fmt.Appendf(nil,
				`{"service":"faulty","addr":%q,"zone":"a","slots":100,"state":"ready","seq":1,"born":1}`, address))
			time.Sleep(time.Second) // until the daemon has read the entry
			crowd(serverCallers, func(int) { s.request(c.path, nil, 3*time.Second) })
			s.checkSurvived()
		})
	}
}

func sendWithoutEnd(c net.Conn, first string, next func(i int) string) {
	if _, err := c.Write([]byte(first)); err != nil {
		return
	}
	if next == nil {
		// The other side closes the connection.
		_, _ = c.Read(make([]byte, 1))
		return
	}
	var b bytes.Buffer
	for i := 0; ; {
		for b.Reset(); b.Len() < 16<<10; i++ {
			b.WriteString(next(i))
		}
		if _, err := c.Write(b.Bytes()); err != nil {
			return
		}
	}
}
