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

// countingListener counts the bytes of its connections in both directions.
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

// idleEngine responds to polls like an engine without calls.
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

// benchPair returns two controllers, the second being the keeper of the group, and the number of bytes sent between
// them. With onlyKeeper set, the first does not poll engines.
func benchPair(b *testing.B, engines []string, onlyKeeper bool) (c [2]*Controller, bytes *atomic.Int64) {
	bytes = &atomic.Int64{}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	var instances [2]member.Instance
	var shards [2]*fakeShards
	for i := range c {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		instances[i] = member.Instance{ID: fmt.Sprint("giza-", i), DataCentre: "giza", Slot: i, PeerAddr: l.Addr().String()}
		shards[i] = &fakeShards{self: instances[i].ID}
		s := framework.DefaultSettings(framework.Berylpond)
		s.InitialConcurrency, s.MaxConcurrency = 1000, 1000
		c[i] = New(Config{DataCentre: "giza", Settings: &s}, member.NewTable(instances[i]), shards[i], peer.NewPool(nil))
		c[i].SetGroups([]Group{{Team: "nile", Model: "m", Engines: engines}})
		srv := peer.NewServer()
		c[i].Register(srv)
		go func() { _ = srv.Serve(countingListener{l, bytes}) }()
		b.Cleanup(srv.Stop)
		if i == 1 || !onlyKeeper {
			go func() { _ = c[i].Run(ctx) }()
		}
	}
	for _, fake := range shards {
		fake.set(&instances[1])
	}
	return c, bytes
}

// BenchmarkAdmitRemote measures a permit granted by another instance, from the request to the end of the call: CPU time
// of both instances and the bytes between them. Engines are polled at the same time.
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
			cpu, before := cpuTime(), bytes.Load()
			for i := range b.N {
				admit(i)
			}
			b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "tcp-B/op")
		})
	}
}

// pollMeasureTime is the duration of one measurement in BenchmarkPolls.
const pollMeasureTime = 3 * time.Second

// BenchmarkPolls measures a keeper that polls idle engines: polls per second, and the CPU time of keeper and engines
// together.
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
				cpu, before := cpuTime(), polls.Load()
				time.Sleep(pollMeasureTime)
				b.ReportMetric(100*(cpuTime()-cpu).Seconds()/pollMeasureTime.Seconds(), "%core")
				b.ReportMetric(float64(polls.Load()-before)/pollMeasureTime.Seconds(), "polls/s")
			}
		})
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkProgress measures one progress message of a remote permit. A call sends at most one every progressInterval.
func BenchmarkProgress(b *testing.B) {
	var polls atomic.Int64
	c, bytes := benchPair(b, []string{idleEngine(b, &polls)}, false)
	p, err := c[0].Admit(context.Background(), testCall("1"))
	if err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	cpu, before := cpuTime(), bytes.Load()
	for range b.N {
		p.source.progress()
		time.Sleep(time.Millisecond) // sends one message at a time, as separate calls would
	}
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "tcp-B/op")
	p.Done(Outcome{Kind: framework.OK})
}
