package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// BenchmarkDecision measures the cost of one call in a group at full capacity: one submission, the end of another call,
// and one decision.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{4, 16, 64, 196} {
		for _, queued := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("engines=%d/queued=%d", n, queued), func(b *testing.B) { benchDecision(b, n, queued) })
		}
	}
}

func benchDecision(b *testing.B, n, queued int) {
	g := newGroup(n, func(s *framework.Settings) {
		s.InitialConcurrency, s.MaxConcurrency = 8, 8
		s.MaxQueueWait = time.Hour
	})
	now := startTime
	var running []string
	step := func(i int) {
		p := i % 5000
		c := framework.Call{
			ID: fmt.Sprint(i), Program: fmt.Sprint("p", p), Account: fmt.Sprint("a", p%8), CompletedTurns: i / 5000,
			PrefixTokens: int64(p), NewTokens: 100, ExpectedOutput: 10,
		}
		if err := g.Submit(now, c); err != nil {
			b.Fatal(err)
		}
		for _, gr := range g.Decide(now).Grants {
			running = append(running, gr.CallID)
		}
		now = now.Add(time.Millisecond)
	}
	i := 0
	for ; i < n*8+queued; i++ {
		step(i)
	}
	b.ReportAllocs()
	for b.Loop() {
		g.Done(now, running[0], framework.Outcome{Kind: framework.OK, PromptTokens: 100, CompletionTokens: 10})
		running = running[1:]
		step(i)
		i++
	}
}

// BenchmarkProgramMemory reports the bytes used for each tracked program, with its prefix cached on one engine.
func BenchmarkProgramMemory(b *testing.B) {
	for b.Loop() {
		const programs = 20_000
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		g := newGroup(4, nil)
		for i := range programs {
			c := call(fmt.Sprint(i), "a")
			_ = g.Submit(startTime, c)
			for _, gr := range g.Decide(startTime).Grants {
				g.Done(startTime, gr.CallID, framework.Outcome{Kind: framework.OK, PromptTokens: 100})
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/programs, "bytes/program")
		runtime.KeepAlive(g)
	}
}
