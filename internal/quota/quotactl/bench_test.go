package quotactl

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/berylpond/berylpond/internal/quota"
)

// BenchmarkTake measures takes that another instance's tokens serve, with several under way at a time.
func BenchmarkTake(b *testing.B) {
	for _, atOnce := range []int{1, 16, 128} {
		b.Run(fmt.Sprint("at-once=", atOnce), func(b *testing.B) {
			f := newFleet(b, 2, quota.DefaultTerms(), []Limit{{Account: "kiosk", Rate: 1e9, Burst: 1e9}})
			time.Sleep(1100 * time.Millisecond) // fills the bucket
			var refused atomic.Int64
			b.SetParallelism((atOnce + runtime.GOMAXPROCS(0) - 1) / runtime.GOMAXPROCS(0))
			b.ResetTimer()
			cpu := processorTime()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if f.ctl[1].Take(context.Background(), "kiosk", 1) != nil {
						refused.Add(1)
					}
				}
			})
			b.ReportMetric(float64((processorTime()-cpu).Nanoseconds())/float64(b.N)/1e3, "cpu-us/op")
			b.ReportMetric(float64(refused.Load())/float64(b.N), "refused/op")
		})
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
