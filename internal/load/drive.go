// Package load runs workloads of programs against sites and measures latency, refusals and errors on the caller's side.
package load

import (
	"context"
	"sync"
	"time"

	"github.com/berylpond/berylpond/internal/load/report"
	"github.com/berylpond/berylpond/internal/load/workload"
)

// RunWorkload starts each program of the workload at its scheduled time, independent of the progress of earlier ones
// (open loop), and waits until all have ended.
func RunWorkload(ctx context.Context, t Target, p *workload.Profile, w *workload.Workload, rec *report.Recorder) {
	c := newClient(t, rec, p.Roaming)
	defer c.http.CloseIdleConnections()
	start := time.Now()
	var running sync.WaitGroup
	for _, x := range w.Programs {
		if !sleep(ctx, time.Until(start.Add(x.StartOffset))) {
			break
		}
		running.Go(func() { c.runProgram(ctx, x, x.IdealLatency(p.Engine, p.TimeScale)) })
	}
	running.Wait()
	c.background.Wait()
}

// runProgram runs one program and records its outcome.
func (c *client) runProgram(ctx context.Context, p *workload.Program, ideal time.Duration) {
	start := time.Now()
	runCtx, cancel := context.WithTimeout(ctx, p.Deadline)
	defer cancel()
	err := newExecution(c, p).run(runCtx, "")
	out := report.Program{Account: p.Account, Latency: time.Since(start), IdealLatency: ideal}
	if err != nil {
		out.Failed, out.Reason, out.Latency = true, string(err.Reason), p.Deadline
	}
	if ctx.Err() == nil {
		c.recorder.RecordProgram(out)
	}
}

// NewRecorder returns a recorder with a token bucket for each limit.
func NewRecorder(limits []workload.Limit) *report.Recorder {
	buckets := map[string]*report.Bucket{}
	now := time.Now()
	for _, l := range limits {
		buckets[l.Account] = report.NewBucket(l.Rate, l.Burst, now)
	}
	return report.NewRecorder(buckets)
}
