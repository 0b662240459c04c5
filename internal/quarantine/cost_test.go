package quarantine

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// BenchmarkIdentity measures what each request costs.
func BenchmarkIdentity(b *testing.B) {
	for _, size := range []int{0, 2 << 10, 17 << 10} {
		body := make([]byte, size)
		b.Run(fmt.Sprint(size, " bytes"), func(b *testing.B) {
			for b.Loop() {
				IdentityOf("acme", "POST", "h.example", "/chat/x", body)
			}
		})
	}
}

// crashed returns a register after crashes that broke off the given number of requests each.
func crashed(crashes, requests int) *timeline {
	l := newTimeline()
	for c := range crashes {
		for r := range requests {
			l.crash(time.Duration(c)*time.Second, fmt.Sprint("s", c), fmt.Sprint("request ", c, r))
		}
		l.crash(time.Duration(c)*time.Second, fmt.Sprint("s", c), "deadly")
	}
	return l
}

// BenchmarkDecide measures one decision of the holder.
func BenchmarkDecide(b *testing.B) {
	for _, requests := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(requests, " requests"), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				l := crashed(3, requests/3)
				b.StartTimer()
				l.decide(l.at(4 * time.Second))
			}
		})
	}
}

// BenchmarkMemory measures the memory of a request that a crash broke off, and its bytes in a message.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := crashed(1, maxRecords)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxRecords, "B/request")
		f := identity(fmt.Sprint("request ", 0, 0)).whole()
		b.ReportMetric(float64(proto.Size(encode(f, l.records[f], l.at(time.Second)))), "B/report")
	}
}
