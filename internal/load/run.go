package load

import (
	"context"
	"time"

	"github.com/berylpond/berylpond/internal/load/report"
	"github.com/berylpond/berylpond/internal/load/site"
	"github.com/berylpond/berylpond/internal/load/workload"
)

// maxFillWait is the maximum time to wait for the accounts' token buckets to fill after the start of a site.
const maxFillWait = 10 * time.Second

// Options of one run.
type Options struct {
	workload.Options
	// Policy is the daemons' scheduling policy.
	Policy string
	// Bin is the directory of the binaries of a site.
	Bin string
	// Faults are injected during the run.
	Faults []Fault
}

// Run starts a site, runs a workload of the profile against it and shuts it down.
func Run(ctx context.Context, p *workload.Profile, o Options) (*report.Result, error) {
	w := workload.Generate(p, o.Options)
	s, err := site.Start(ctx, p, w.Limits, site.Options{Bin: o.Bin, Policy: o.Policy})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	m, err := measureSite(ctx, s, p, w, o)
	if err != nil {
		return nil, err
	}
	return m.result, nil
}

// measureSite warms up a started site and runs the workload against it while the faults are injected.
func measureSite(ctx context.Context, s *site.Site, p *workload.Profile, w *workload.Workload, o Options) (*measurement, error) {
	t := TargetOf(s)
	if err := Warm(ctx, t, w.Limits); err != nil {
		return nil, err
	}
	before := s.ScrapeAll(ctx)
	faultCtx, cancel := context.WithCancel(ctx)
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		injectAll(faultCtx, s, o.Faults)
	}()
	m := measure(ctx, t, p, w, o)
	cancel()
	<-faultsDone
	m.result.Daemons = daemonUsage(before, s.ScrapeAll(ctx), m.result)
	return m, ctx.Err()
}

// RunOnTarget runs a workload against an existing site.
func RunOnTarget(ctx context.Context, t Target, p *workload.Profile, o Options) (*report.Result, error) {
	w := workload.Generate(p, o.Options)
	before := scrapeTarget(ctx, t)
	m := measure(ctx, t, p, w, o)
	m.result.Daemons = daemonUsage(before, scrapeTarget(ctx, t), m.result)
	return m.result, ctx.Err()
}

func scrapeTarget(ctx context.Context, t Target) map[string]site.Sample {
	out := map[string]site.Sample{}
	for _, dc := range t.Callers {
		for _, addr := range dc {
			if s, err := site.Scrape(ctx, addr); err == nil {
				out[addr] = s
			}
		}
	}
	return out
}

// TargetOf returns the target for a site that was started by package site.
func TargetOf(s *site.Site) Target {
	return Target{Callers: s.CallerAddresses(), Keys: s.Keys, Model: site.Model, EffectPath: site.EffectPath}
}

// measurement holds the records of one run and the result computed from them.
type measurement struct {
	calls    []report.Call
	programs []report.Program
	result   *report.Result
}

func measure(ctx context.Context, t Target, p *workload.Profile, w *workload.Workload, o Options) *measurement {
	rec := NewRecorder(w.Limits)
	start := time.Now()
	RunWorkload(ctx, t, p, w, rec)
	span := time.Since(start)
	calls, programs := rec.Records()
	r := &report.Result{
		Profile: p.Name, Policy: o.Policy, Seed: o.Seed, Seconds: span.Seconds(),
		LoadCached: w.LoadCached, LoadUncached: w.LoadUncached, Violations: rec.Violations(),
	}
	r.All, r.Accounts = report.ComputeStats(calls, programs, span)
	return &measurement{calls: calls, programs: programs, result: r}
}

// daemonUsage computes the resource usage of the daemons between two samples. Daemons that are missing from one of them
// or restarted in between are left out.
func daemonUsage(before, after map[string]site.Sample, r *report.Result) report.Daemons {
	d := report.Daemons{}
	var cpu, control float64
	for addr, a := range after {
		b, ok := before[addr]
		if !ok || a.CPUSeconds < b.CPUSeconds {
			continue
		}
		d.Count++
		cpu += a.CPUSeconds - b.CPUSeconds
		control += a.ControlBytes - b.ControlBytes
		d.MemoryBytes = max(d.MemoryBytes, a.ResidentBytes)
		d.Retries += a.Retries - b.Retries
		d.Attempts += a.Attempts - b.Attempts
	}
	d.CPUCores, d.ControlBytes = cpu/r.Seconds, control/r.Seconds
	if r.All.Calls > 0 {
		d.CPUPerCall = cpu * 1000 / float64(r.All.Calls)
	}
	return d
}
