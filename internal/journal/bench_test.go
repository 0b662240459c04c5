package journal

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	journalv1 "github.com/berylpond/berylpond/api/journal/v1"
)

// BenchmarkAppend measures records that several callers append at a time: processor time of each, and the appends that
// the log gets for each. The log answers after memLatency.
func BenchmarkAppend(b *testing.B) {
	for _, atOnce := range []int{1, 16, 256} {
		for _, size := range []int{200, 4000} {
			b.Run(fmt.Sprintf("at-once=%d/bytes=%d", atOnce, size), func(b *testing.B) { benchAppend(b, atOnce, size) })
		}
	}
}

func benchAppend(b *testing.B, atOnce, size int) {
	log := &memLog{}
	w := New(log, "journal/giza", WriterID{Instance: "giza-0", Incarnation: 1})
	defer w.Close()
	payload := make([]byte, size)
	b.ResetTimer()
	cpu := processorTime()
	var wg sync.WaitGroup
	for c := range atOnce {
		wg.Go(func() {
			for i := c; i < b.N; i += atOnce {
				rec := &journalv1.Record{Kind: "program", Key: fmt.Sprint("prg_giza_", i), Payload: payload}
				if _, err := w.Append(context.Background(), rec); err != nil {
					b.Error(err)
				}
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64((processorTime()-cpu).Nanoseconds())/float64(b.N)/1e3, "cpu-us/op")
	b.ReportMetric(float64(log.appends)/float64(b.N), "appends/op")
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
