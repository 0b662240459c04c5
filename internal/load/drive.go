// Package load drives sites with workloads of programs and measures what callers see.
package load

import (
	"context"
	"sync"
	"time"

	"github.com/berylpond/berylpond/internal/load/report"
	"github.com/berylpond/berylpond/internal/load/workload"
)

// Drive starts each program of the workload at its time, however the earlier ones fare, and waits for the end of all.
func Drive(ctx context.Context, t Target, p *workload.Profile, w *workload.Workload, rec *report.Recorder) {
	c := newClient(t, rec, p.Roaming)
	defer c.http.CloseIdleConnections()
	begun := time.Now()
	var running sync.WaitGroup
	for _, x := range w.Programs {
		if !pause(ctx, time.Until(begun.Add(x.At))) {
			break
		}
		running.Go(func() { c.program(ctx, x, x.Ideal(p.Engine, p.Scale)) })
	}
	running.Wait()
	c.background.Wait()
}

// program runs one program and records its outcome.
func (c *client) program(ctx context.Context, p *workload.Program, ideal time.Duration) {
	begun := time.Now()
	runCtx, cancel := context.WithTimeout(ctx, p.Deadline)
	defer cancel()
	err := newExecution(c, p).run(runCtx, "")
	out := report.Program{Account: p.Account, Latency: time.Since(begun), Ideal: ideal}
	if err != nil {
		out.Failed, out.Reason, out.Latency = true, string(err.Reason), p.Deadline
	}
	if ctx.Err() == nil {
		c.rec.Program(out)
	}
}

// NewRecorder returns a recorder that keeps a bucket for each limit.
func NewRecorder(limits []workload.Limit) *report.Recorder {
	buckets := map[string]*report.Bucket{}
	now := time.Now()
	for _, l := range limits {
		buckets[l.Account] = report.NewBucket(l.Rate, l.Burst, now)
	}
	return report.NewRecorder(buckets)
}
