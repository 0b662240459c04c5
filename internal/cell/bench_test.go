package cell

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"
)

// benchCell returns a cell in which only the benchmark sends heartbeats.
func benchCell(b *testing.B, slots int) *testCell {
	cfg := testConfig(slots)
	cfg.Lease, cfg.Heartbeat = 500*time.Millisecond, time.Minute
	cfg.Incarnation = uint64(time.Now().UnixMilli())
	c := newTestCell(b, cfg)
	start := time.Now()
	for time.Since(start) < cfg.Lease+2*cfg.Margin {
		c.beatAll()
	}
	for i := range c.slots {
		if !c.holds(i, i)() {
			b.Fatalf("slot %d does not hold its shard", i)
		}
		if !c.slots[i].EndAbstention(time.Now()) {
			b.Fatalf("slot %d does not vote", i)
		}
	}
	return c
}

func (c *testCell) beatAll() {
	for _, s := range c.slots {
		s.runRound().Wait()
	}
}

// report reports the CPU time and the TCP payload bytes in both directions per operation.
func (c *testCell) report(b *testing.B, ops int, run func()) {
	b.ReportAllocs()
	before, bytes := cpuTime(), c.bytes.Load()
	run()
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(ops), "cpu-us/op")
	b.ReportMetric(float64(c.bytes.Load()-bytes)/float64(ops), "tcp-B/op")
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkHeartbeat measures one heartbeat of one slot, including the work that it causes at the other slots.
func BenchmarkHeartbeat(b *testing.B) {
	for _, slots := range []int{3, 5, 7} {
		b.Run(fmt.Sprint("slots=", slots), func(b *testing.B) {
			c := benchCell(b, slots)
			b.ResetTimer()
			c.report(b, b.N, func() {
				for i := range b.N {
					c.slots[i%slots].runRound().Wait()
				}
			})
		})
	}
}

// BenchmarkClaim measures a claim with its outcome, and the heartbeats that carry the outcomes, one for 100 claims.
func BenchmarkClaim(b *testing.B) {
	for _, slots := range []int{3, 5, 7} {
		b.Run(fmt.Sprint("slots=", slots), func(b *testing.B) {
			c := benchCell(b, slots)
			b.ResetTimer()
			c.report(b, b.N, func() {
				for i := range b.N {
					c.claimOnce(b, i)
					if i%100 == 0 {
						c.beatAll()
					}
				}
			})
		})
	}
}

func (c *testCell) claimOnce(b *testing.B, i int) {
	ctx := context.Background()
	cl, err := c.slots[0].Claim(ctx, fmt.Sprintf("giza-0190f7a2-5b6c-7d8e-9f00-%012d", i))
	if err != nil {
		b.Fatal(err)
	}
	cl.Settle(ctx, []byte("turn-0123456789abcdef"))
	cl.MarkDurable()
}
