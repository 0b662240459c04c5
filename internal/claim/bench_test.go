package claim

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkVote measures the time of a vote and the memory of its claim, including the id and the outcome reference.
func BenchmarkVote(b *testing.B) {
	for _, outcome := range []string{"", "turn-0123456789abcdef"} {
		b.Run(fmt.Sprint("outcome=", len(outcome)), func(b *testing.B) {
			v := newReadyVoter(epoch)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for i := range b.N {
				ex := Executor{Slot: 1, Incarnation: 1, Attempt: uint64(i)}
				id := fmt.Sprintf("giza-0190f7a2-5b6c-7d8e-9f00-%012d", i)
				v.Vote(epoch, id, epoch, ex)
				if outcome != "" {
					v.RecordOutcome(epoch, id, epoch, ex, []byte(outcome))
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(v.Len()), "held-B/claim")
			runtime.KeepAlive(v)
		})
	}
}
