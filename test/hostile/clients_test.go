package hostile

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/berylpond/berylpond/internal/fakes/runner"
	"github.com/berylpond/berylpond/test/daemon"
)

// clientLimits are the limits of the daemon in the tests of hostile clients.
var clientLimits = daemon.Limits{MemoryMB: 64, MaxFiles: 1000, Grace: 8 * time.Second}

const (
	// strainTime is how long a crowd opens connections again after they were closed.
	strainTime = 8 * time.Second
	// reconnectDelay is the pause before it does.
	reconnectDelay = 500 * time.Millisecond
	// headerBytes is the configured limit on the head of a request.
	headerBytes = 16 << 10
)

// strain has n clients act on connections of their own, and again on new ones when they were closed. After strainTime it closes
// quiet: the clients open no more connections, but leave open those that they have until the test ends.
func (s *site) strain(n int, act func(conn net.Conn, quiet <-chan struct{})) {
	quiet := make(chan struct{})
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			for {
				conn, err := net.Dial("tcp", s.ClientAddress())
				if err == nil {
					s.t.Cleanup(func() { conn.Close() })
					act(conn, quiet)
				}
				select {
				case <-quiet:
					return
				case <-time.After(reconnectDelay):
				}
				if conn != nil {
					conn.Close()
				}
			}
		})
	}
	time.Sleep(strainTime)
	close(quiet)
	wg.Wait()
}

// hold reads what comes until the connection is closed, or quiet is.
func hold(conn net.Conn, quiet <-chan struct{}) {
	b := make([]byte, 4096)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if _, err := conn.Read(b); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		select {
		case <-quiet:
			return
		default:
		}
	}
}

// sendAndHold sends a text and waits.
func sendAndHold(text func() string) func(net.Conn, <-chan struct{}) {
	return func(conn net.Conn, quiet <-chan struct{}) {
		if _, err := conn.Write([]byte(text())); err == nil {
			hold(conn, quiet)
		}
	}
}

// sendForever sends a text once and another one again and again, until the connection is closed or quiet is.
func sendForever(first string, next func(i int) string) func(net.Conn, <-chan struct{}) {
	return func(conn net.Conn, quiet <-chan struct{}) {
		text := first
		for i := 0; ; {
			for ; len(text) < 4096; i++ {
				text += next(i)
			}
			_ = conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
			n, err := conn.Write([]byte(text))
			text = text[n:]
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
			select {
			case <-quiet:
				return
			default:
			}
		}
	}
}

// head returns the beginning of a request, without the empty line at its end.
func head(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nApi-Key: key-a\r\nRequest-Id: " + nextID() + "\r\nDeadline-Ms: 4000\r\n"
}

// filled returns the beginning of a request with header lines up to the limit of the configuration.
func filled(path string, line func(i int) string) string {
	const end = "Content-Length: 0\r\n\r\n"
	b := strings.Builder{}
	b.WriteString(head(path))
	for i := 0; ; i++ {
		l := line(i)
		if b.Len()+len(l)+len(end) > headerBytes {
			return b.String()
		}
		b.WriteString(l)
	}
}

func shortLine(i int) string { return fmt.Sprintf("%x:\r\n", i) }

// serve adds a backend server with a handler of its own.
func (s *site) serve(service string, handler func(w http.ResponseWriter, r *http.Request)) {
	b := runner.Start(service+"-1", service, 0)
	b.Handler = func(w http.ResponseWriter, r *http.Request, _ string) bool {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Stamp", "stamp")
		handler(w, r)
		return true
	}
	s.t.Cleanup(func() { b.CloseClientConnections(); b.Close() })
	entry := strings.Replace(string(b.Registration("ready")), `"slots":8`, `"slots":1000`, 1)
	s.store.PutKeyed("keyed.servers", b.ID, []byte(entry))
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if status, _ := s.request("/"+service+"/probe", nil, 4*time.Second); status == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("the server of %s is not used", service)
		}
	}
}

// slow takes as long as clients wait.
func slow(_ http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/probe") {
		return
	}
	select {
	case <-time.After(4 * time.Second):
	case <-r.Context().Done():
	}
}

// A request inside the limits is served in calm, however odd.
func TestRequestWithManyHeaderLinesIsServed(t *testing.T) {
	s := newSite(t, clientLimits)
	for name, line := range map[string]func(i int) string{
		"distinct": shortLine, "same": func(int) string { return "a:\r\n" }, "long": func(int) string { return "X: " + strings.Repeat("y", 8000) + "\r\n" },
	} {
		h := http.Header{}
		for _, l := range strings.Split(strings.TrimSuffix(filled("/read/x", line), "\r\n"), "\r\n")[5:] {
			name, value, _ := strings.Cut(l, ":")
			h[name] = append(h[name], strings.TrimSpace(value))
		}
		if status, _ := s.request("/read/x", h, 4*time.Second); status != http.StatusOK {
			t.Errorf("%s: status %d", name, status)
		}
	}
	s.checkSurvived()
}

// Guards against requests whose heads take a hundred times their size once they are decoded.
func TestClientsWithManyHeaderLines(t *testing.T) {
	s := newSite(t, clientLimits)
	s.serve("slow", slow)
	s.strain(400, sendAndHold(func() string { return filled("/slow/x", shortLine) + "Content-Length: 0\r\n\r\n" }))
	s.checkSurvived()
}

// Guards against heads that are decoded, line by line, and never end.
func TestClientsWhoseHeadsDoNotEnd(t *testing.T) {
	s := newSite(t, clientLimits)
	s.strain(500, sendAndHold(func() string { return filled("/read/x", shortLine) }))
	s.checkSurvived()
}

func TestClientsWithHeadsOverTheLimit(t *testing.T) {
	for name, act := range map[string]func(net.Conn, <-chan struct{}){
		"many lines":  sendForever("POST /read/x HTTP/1.1\r\nHost: h.example\r\n", shortLine),
		"long line":   sendForever("POST /read/x HTTP/1.1\r\nHost: h.example\r\nX: ", func(int) string { return strings.Repeat("x", 4096) }),
		"long target": sendForever("POST /read/", func(int) string { return strings.Repeat("x", 4096) }),
		"empty lines": sendForever("", func(int) string { return "\r\n" }),
		"line feeds":  sendForever("", func(int) string { return "\n" }),
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, clientLimits)
			s.strain(300, act)
			s.checkSurvived()
		})
	}
}

// Guards against connections that take descriptors and buffers and nothing else.
func TestClientsThatOpenConnectionsOnly(t *testing.T) {
	for name, text := range map[string]func() string{
		"silent":          func() string { return "" },
		"begun":           func() string { return "POST /re" },
		"idle":            func() string { return head("/read/x") + "Content-Length: 0\r\n\r\n" },
		"body never ends": func() string { return head("/read/x") + "Content-Length: 90000\r\n\r\nx" },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, clientLimits)
			s.strain(1500, sendAndHold(text))
			s.checkSurvived()
		})
	}
}

// readSlowly sends a request and reads some bytes of its answer now and then, until the test ends.
func (s *site) readSlowly(request func() string) func(net.Conn, <-chan struct{}) {
	return func(conn net.Conn, quiet <-chan struct{}) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4096)
		if _, err := conn.Write([]byte(request())); err != nil {
			return
		}
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			b := make([]byte, 16)
			for {
				if _, err := conn.Read(b); err != nil {
					return
				}
				select {
				case <-s.stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		}()
		select {
		case <-quiet:
		case <-closed:
		}
	}
}

// Guards against long answers that wait in memory for clients that hardly read them.
func TestClientsThatReadSlowly(t *testing.T) {
	const answer = 900 << 10
	for _, c := range []struct {
		name, service, contentType, piece string
	}{
		{"answers", "long", "text/plain", strings.Repeat("x", 900)},
		{"streams", "long-chat", "text/event-stream", "data: " + strings.Repeat("x", 892) + "\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t, clientLimits)
			s.serve(c.service, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", c.contentType)
				if strings.HasSuffix(r.URL.Path, "/probe") {
					return
				}
				for sent := 0; sent < answer; sent += len(c.piece) {
					if _, err := w.Write([]byte(c.piece)); err != nil {
						return
					}
				}
			})
			s.strain(300, s.readSlowly(func() string { return head("/"+c.service+"/x") + "Content-Length: 0\r\n\r\n" }))
			s.checkSurvived()
		})
	}
}
