package quotactl

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/berylpond/berylpond/internal/quota"
)

// cpu returns the CPU time used by the process.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// benchFleet returns a fleet with two instances in each data centre and one large account whose buckets are full, and,
// from one data centre, the holder of the account and the other instance.
func benchFleet(b *testing.B) (f *fleet, holder, other *Controller) {
	f = newFleet(b, 6, shortTimings, []Limit{{Account: "kiosk", Rate: 1e9, Burst: 1e9}})
	f.net.mu.Lock()
	f.net.bytes = &byteCount{}
	f.net.mu.Unlock()
	time.Sleep(1200 * time.Millisecond)
	shard := quota.ShardOf("kiosk", 2)
	// The slot reserves would serve most takes, so they are disabled.
	for _, c := range f.ctl {
		c.slotReserve.Stop()
	}
	return f, f.ctl[3*shard], f.ctl[3*(1-shard)]
}

func report(b *testing.B, f *fleet, cpuBefore time.Duration, takes int) {
	b.ReportMetric(float64((cpu()-cpuBefore).Nanoseconds())/float64(takes), "cpu-ns/take")
	b.ReportMetric(float64(f.net.bytes.in.Load()+f.net.bytes.out.Load())/float64(takes), "wire-B/take")
}

func BenchmarkTakeLocal(b *testing.B) {
	f, holder, _ := benchFleet(b)
	before := cpu()
	for b.Loop() {
		_ = holder.Take(context.Background(), "kiosk", 1)
	}
	report(b, f, before, b.N)
}

func BenchmarkTakeRemote(b *testing.B) {
	f, _, other := benchFleet(b)
	before := cpu()
	for b.Loop() {
		_ = other.Take(context.Background(), "kiosk", 1)
	}
	report(b, f, before, b.N)
}

func BenchmarkTakeRemoteBatched(b *testing.B) {
	f, _, other := benchFleet(b)
	const callers = 64
	before := cpu()
	b.ResetTimer()
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range b.N/callers + 1 {
				_ = other.Take(context.Background(), "kiosk", 1)
			}
		})
	}
	wg.Wait()
	report(b, f, before, b.N)
}

// BenchmarkMemory reports the heap used by each account at its holder.
func BenchmarkMemory(b *testing.B) {
	const accounts = 400
	for b.Loop() {
		h := quota.NewHolder("giza", quota.DefaultLoanTimings(), 3, 4)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		limits := manyLimits(accounts)
		h.SetLimits(time.Now(), 1, limits)
		h.Observe(time.Now(), 0, quota.Lease{Term: 1}, true)
		for _, l := range limits {
			a, _ := h.Account(0, l.Account)
			a.RecordDemand(time.Now(), 1)
			a.Take(time.Now(), 1)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/accounts, "B/account")
		runtime.KeepAlive(h)
	}
}

func manyLimits(n int) []Limit {
	var out []Limit
	for i := range n {
		out = append(out, Limit{Account: fmt.Sprintf("account-%03d", i), Rate: 20, Burst: 5})
	}
	return out
}

func TestIdleAccountsSendNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	n := &network{conns: map[string]*grpc.ClientConn{}, isolated: map[string]bool{}, bytes: &byteCount{}}
	f := newFleetOn(t, n, 6, shortTimings, manyLimits(400))
	for _, l := range manyLimits(400) {
		_ = f.ctl[0].Take(context.Background(), l.Account, 1)
	}
	time.Sleep(3 * time.Second) // until the demand estimates have decayed and loans have expired
	before := n.bytes.in.Load() + n.bytes.out.Load()
	time.Sleep(time.Second)
	is.Equal(n.bytes.in.Load()+n.bytes.out.Load(), before)
}

// BenchmarkOverRate reports the traffic between ten instances for one account with demand at five times its rate.
func BenchmarkOverRate(b *testing.B) {
	for _, rate := range []float64{10, 100} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) { benchOverRate(b, rate) })
	}
}

func benchOverRate(b *testing.B, rate float64) {
	const length = 3 * time.Second
	n := &network{conns: map[string]*grpc.ClientConn{}, isolated: map[string]bool{}, bytes: &byteCount{}}
	f := newFleetOn(b, n, 10, shortTimings, []Limit{{Account: "kiosk", Rate: rate, Burst: 5}})
	time.Sleep(1200 * time.Millisecond)
	for b.Loop() {
		before, admitted, i := n.bytes.in.Load()+n.bytes.out.Load(), 0, 0
		tick := time.NewTicker(time.Duration(float64(time.Second) / (5 * rate)))
		for end := time.Now().Add(length); time.Now().Before(end); <-tick.C {
			if f.ctl[i%len(f.ctl)].Take(context.Background(), "kiosk", 1) == nil {
				admitted++
			}
			i++
		}
		tick.Stop()
		b.ReportMetric(float64(n.bytes.in.Load()+n.bytes.out.Load()-before)/length.Seconds(), "wire-B/s")
		b.ReportMetric(float64(admitted), "admitted")
		b.ReportMetric(float64(i), "takes")
	}
}
