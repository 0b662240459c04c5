package keeper

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/berylpond/berylpond/internal/member"
	"github.com/berylpond/berylpond/internal/peer"
	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// countingListener counts the bytes of its connections, in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, bytes: l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// idleEngine answers polls as an engine without work.
func idleEngine(b *testing.B, polls *atomic.Int64) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		polls.Add(1)
		switch r.URL.Path {
		case "/v1/load":
			_ = json.NewEncoder(w).Encode(loadReport{KVCapacityTokens: 1 << 20})
		case "/v1/cache/events":
			_ = json.NewEncoder(w).Encode(eventsReport{Next: 1})
		default:
			_ = json.NewEncoder(w).Encode(keysReport{})
		}
	}))
	b.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// benchPair returns two controllers, of which the second keeps the group, and the count of bytes between them. With onlyKeeper set the other does not poll engines.
func benchPair(b *testing.B, engines []string, onlyKeeper bool) (c [2]*Controller, bytes *atomic.Int64) {
	bytes = &atomic.Int64{}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	var in [2]member.Instance
	var parts [2]*fakeParts
	for i := range c {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		in[i] = member.Instance{ID: fmt.Sprint("giza-", i), DataCentre: "giza", Slot: i, PeerAddr: l.Addr().String()}
		parts[i] = &fakeParts{self: in[i].ID}
		s := framework.Defaults(framework.Berylpond)
		s.InitialConcurrency, s.MaxConcurrency = 1000, 1000
		c[i] = New(Config{DataCentre: "giza", Settings: &s}, member.NewTable(in[i]), parts[i], peer.NewPool(nil))
		c[i].SetModels([]Group{{Team: "nile", Model: "m", Engines: engines}})
		srv := peer.NewServer()
		c[i].Register(srv)
		go func() { _ = srv.Serve(countingListener{l, bytes}) }()
		b.Cleanup(srv.Stop)
		if i == 1 || !onlyKeeper {
			go func() { _ = c[i].Run(ctx) }()
		}
	}
	for _, p := range parts {
		p.set(&in[1])
	}
	return c, bytes
}

// BenchmarkAdmitRemote measures a permit of another instance's keeper, from the question to the end of the call: processor
// time of both, and the bytes between them. Polls of the engines go on beside it.
func BenchmarkAdmitRemote(b *testing.B) {
	for _, n := range []int{1, 16} {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			var polls atomic.Int64
			var engines []string
			for range n {
				engines = append(engines, idleEngine(b, &polls))
			}
			c, bytes := benchPair(b, engines, false)
			admit := func(i int) {
				p, err := c[0].Admit(context.Background(), testCall(fmt.Sprint(i)))
				if err != nil {
					b.Fatal(err)
				}
				p.Done(Outcome{Kind: framework.OK, PromptTokens: 100, CompletionTokens: 10})
			}
			admit(-1)
			b.ResetTimer()
			cpu, before := processorTime(), bytes.Load()
			for i := range b.N {
				admit(i)
			}
			b.ReportMetric(float64((processorTime()-cpu).Microseconds())/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "tcp-B/op")
		})
	}
}

// pollWatch is how long BenchmarkPolls looks.
const pollWatch = 3 * time.Second

// BenchmarkPolls measures a keeper that polls idle engines: its polls a second, and the processor time of keeper and
// engines together.
func BenchmarkPolls(b *testing.B) {
	for _, n := range []int{4, 16, 64, 196} {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			var polls atomic.Int64
			var engines []string
			for range n {
				engines = append(engines, idleEngine(b, &polls))
			}
			benchPair(b, engines, true)
			time.Sleep(time.Second)
			for range b.N {
				cpu, before := processorTime(), polls.Load()
				time.Sleep(pollWatch)
				b.ReportMetric(100*(processorTime()-cpu).Seconds()/pollWatch.Seconds(), "%core")
				b.ReportMetric(float64(polls.Load()-before)/pollWatch.Seconds(), "polls/s")
			}
		})
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkProgress measures one sign of progress that a remote permit passes on, at most every progressInterval of a call.
func BenchmarkProgress(b *testing.B) {
	var polls atomic.Int64
	c, bytes := benchPair(b, []string{idleEngine(b, &polls)}, false)
	p, err := c[0].Admit(context.Background(), testCall("1"))
	if err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	cpu, before := processorTime(), bytes.Load()
	for range b.N {
		p.holder.progress()
		time.Sleep(time.Millisecond) // one message at a time, as in separate calls
	}
	b.ReportMetric(float64((processorTime()-cpu).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "tcp-B/op")
	p.Done(Outcome{Kind: framework.OK})
}
