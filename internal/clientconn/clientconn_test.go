package clientconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"github.com/berylpond/berylpond/internal/memory"
)

// Load pattern: clients open connections, and those that send nothing stay the longest.
func TestNewConnectionTakesThePlaceOfTheOneThatWaitedLongest(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	waits := []wait{{since: now.Add(-time.Second)}, {since: now.Add(-3 * time.Second), bytes: 1}, {since: now}}
	w, ok := longestWait(waits, now)
	is.True(ok)
	is.Equal(w.bytes, int64(1))
	_, ok = longestWait(nil, now)
	is.True(!ok)
}

// Load pattern: some clients hardly read long answers, and many have just begun to.
func TestMemoryIsFreedByThoseThatHoldMost(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	before := func(d time.Duration, bytes int64) wait { return wait{since: now.Add(-d), bytes: bytes} }
	sizes := func(ws []wait) (out []int64) {
		for _, w := range ws {
			out = append(out, w.bytes)
		}
		return out
	}
	waits := func() []wait {
		return []wait{before(2*minStall, 10), before(minStall, 300), before(minStall-1, 1000), before(5*minStall, 200)}
	}
	is.Equal(sizes(stalled(waits(), 250, now)), []int64{300})
	is.Equal(sizes(stalled(waits(), 301, now)), []int64{300, 200})
	is.Equal(sizes(stalled(waits(), 10_000, now)), []int64{300, 200, 10})
	is.Equal(len(stalled(nil, 1, now)), 0)
}

func TestHeadIsCountedUpToItsEnd(t *testing.T) {
	is := is.New(t)
	const head, rest = "GET / HTTP/1.1\r\nA: b\r\n\r\n", "body\n\nmore\n"
	for cut := range len(head) + 1 {
		var h headCount
		h.add([]byte(head[:cut]))
		h.add([]byte(head[cut:]))
		is.True(h.ended)
		is.Equal(h.lines, int64(3))
		is.Equal(h.bytes, int64(len(head)))
		h.add([]byte(rest))
		is.Equal(h.lines, int64(3))
		is.Equal(h.tail, int64(3))
	}
	var h headCount
	h.add([]byte("A\n\n"))
	is.True(h.ended)
}

// limited is an HTTP server with bounded connections.
type limited struct {
	*Limiter
	account *memory.Account
	metrics *Metrics
	address string
}

func serve(t *testing.T, limit int64, most int, handler http.HandlerFunc) limited {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := memory.New(limit, func(int64) {})
	m := NewMetrics(prometheus.NewRegistry())
	limiter := NewLimiter(a, most, m)
	s := &http.Server{Handler: handler, ConnState: limiter.StateChanged, ConnContext: NewContext}
	go func() { _ = s.Serve(limiter.Listen(l)) }()
	t.Cleanup(func() { s.Close() })
	return limited{Limiter: limiter, account: a, metrics: m, address: l.Addr().String()}
}

func (l limited) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// closedFor returns the number of connections that were closed for a reason.
func (l limited) closedFor(t *testing.T, reason string) float64 {
	t.Helper()
	var m dto.Metric
	if err := l.metrics.closed.WithLabelValues(reason).Write(&m); err != nil {
		t.Fatal(err)
	}
	return m.GetCounter().GetValue()
}

// get sends a request and returns the status, or zero if the connection was closed.
func get(t *testing.T, c net.Conn, headers string) int {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\n%s\r\n", headers); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(what)
		}
	}
}

func ok(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func TestSilentConnectionsYieldToOrdinaryOnes(t *testing.T) {
	is := is.New(t)
	l := serve(t, 1<<20, 4, ok)
	for range 20 {
		l.dial(t)
	}
	for range 10 {
		is.Equal(get(t, l.dial(t), ""), 200)
	}
	is.True(l.Open() <= 4)
	is.True(l.closedFor(t, reasonTooMany) >= 20)
}

func TestConnectionsFitIntoMemoryAndDescriptors(t *testing.T) {
	is := is.New(t)
	is.Equal(MostConnections(1<<30, 8200), 4000)
	is.Equal(MostConnections(64<<20, 8200), 682) // 8 MB
	is.Equal(MostConnections(1<<30, 0), defaultConnections)
	is.Equal(MostConnections(1<<30, 100), 1)
}

// A connection with a request in progress is not closed for a new one.
func TestRequestsInProgressKeepTheirConnections(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	arrived := make(chan struct{}, 2)
	l := serve(t, 1<<20, 2, func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	})
	statuses := make(chan int, 2)
	for range 2 {
		c := l.dial(t)
		go func() { statuses <- get(t, c, "") }()
	}
	<-arrived
	<-arrived
	is.Equal(get(t, l.dial(t), ""), 0)
	close(release)
	is.Equal(<-statuses, 200)
	is.Equal(<-statuses, 200)
}

func TestMemoryOfHeadsIsBoundedAndGivenBack(t *testing.T) {
	is := is.New(t)
	l := serve(t, 1<<20, 100, ok)
	// 500 lines take 160 KB, and a quarter of the account is for heads.
	lines := strings.Repeat("a:\r\n", 500)
	is.Equal(get(t, l.dial(t), lines), 200) // one is served
	var open []net.Conn
	for range 10 {
		c := l.dial(t)
		open = append(open, c)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+lines)
	}
	eventually(t, "heads are refused", func() bool { return l.closedFor(t, reasonHead) >= 8 })
	is.True(l.account.Usage().Held <= 1<<18)
	is.Equal(get(t, l.dial(t), strings.Repeat("Name: value\r\n", 20)), 200) // an ordinary head needs none of it
	is.Equal(get(t, l.dial(t), lines+lines), 503)
	for _, c := range open {
		c.Close()
	}
	eventually(t, "memory is given back", func() bool { return l.account.Usage().Held == 0 })
	is.Equal(get(t, l.dial(t), lines), 200)
}

// The next head counts what was read of it along with the request before.
func TestPipelinedHeadsAreCounted(t *testing.T) {
	is := is.New(t)
	l := serve(t, 1<<20, 100, ok)
	c := l.dial(t)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 500))
	is.NoErr(err)
	eventually(t, "the second head is counted", func() bool { return l.account.Usage().Held > 100<<10 })
	c.Close()
	eventually(t, "memory is given back", func() bool { return l.account.Usage().Held == 0 })
}

// Load pattern: a client hardly reads, and what is written to it waits.
func TestClientThatReadsNothingYieldsItsMemory(t *testing.T) {
	is := is.New(t)
	written := make(chan error, 1)
	l := serve(t, 1<<20, 100, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Long") == "" {
			return
		}
		FromContext(r.Context()).SetHeld(1 << 19)
		_, err := w.Write(make([]byte, 16<<20))
		written <- err
	})
	c := l.dial(t)
	_ = c.(*net.TCPConn).SetReadBuffer(4096)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nLong: 1\r\n\r\n")
	is.NoErr(err)
	eventually(t, "the client yields", func() bool {
		l.account.Hold(2 << 20) // more than there is
		select {
		case err := <-written:
			return err != nil
		default:
			return false
		}
	})
	is.Equal(l.closedFor(t, reasonMemory), 1.0)
	is.Equal(get(t, l.dial(t), ""), 200)
}
