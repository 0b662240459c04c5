package load

import (
	"context"
	"time"

	"github.com/berylpond/berylpond/internal/load/report"
	"github.com/berylpond/berylpond/internal/load/site"
	"github.com/berylpond/berylpond/internal/load/workload"
)

// maxFillWait bounds the wait for the accounts' buckets to fill after a start.
const maxFillWait = 10 * time.Second

// Options of one run.
type Options struct {
	workload.Options
	// Policy is the daemons' scheduling policy.
	Policy string
	// Bin is the directory of the binaries of a site.
	Bin string
	// Faults come while the run lasts.
	Faults []Fault
}

// Run starts a site, drives it with a workload of the profile and ends it.
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

// measureSite warms a started site up and drives it while its faults come.
func measureSite(ctx context.Context, s *site.Site, p *workload.Profile, w *workload.Workload, o Options) (*measured, error) {
	t := TargetOf(s)
	if err := Warm(ctx, t, w.Limits); err != nil {
		return nil, err
	}
	before := s.ScrapeAll(ctx)
	faultCtx, cancel := context.WithCancel(ctx)
	faulted := make(chan struct{})
	go func() {
		defer close(faulted)
		injectAll(faultCtx, s, o.Faults)
	}()
	m := measure(ctx, t, p, w, o)
	cancel()
	<-faulted
	m.result.Daemons = daemons(before, s.ScrapeAll(ctx), m.result)
	return m, ctx.Err()
}

// RunAgainst drives a running site.
func RunAgainst(ctx context.Context, t Target, p *workload.Profile, o Options) (*report.Result, error) {
	w := workload.Generate(p, o.Options)
	before := scrapeTarget(ctx, t)
	m := measure(ctx, t, p, w, o)
	m.result.Daemons = daemons(before, scrapeTarget(ctx, t), m.result)
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

// TargetOf returns a started site as its callers see it.
func TargetOf(s *site.Site) Target {
	return Target{Callers: s.Callers(), Keys: s.Keys, Model: site.Model, EffectPath: site.EffectPath}
}

// measured is what the callers of one run saw, with its figures.
type measured struct {
	calls    []report.Call
	programs []report.Program
	result   *report.Result
}

func measure(ctx context.Context, t Target, p *workload.Profile, w *workload.Workload, o Options) *measured {
	rec := NewRecorder(w.Limits)
	begun := time.Now()
	Drive(ctx, t, p, w, rec)
	span := time.Since(begun)
	calls, programs := rec.Records()
	r := &report.Result{
		Profile: p.Name, Policy: o.Policy, Seed: o.Seed, Seconds: span.Seconds(),
		LoadCached: w.LoadCached, LoadUncached: w.LoadUncached, Violations: rec.Violations(),
	}
	r.All, r.Accounts = report.Compute(calls, programs, span)
	return &measured{calls: calls, programs: programs, result: r}
}

// daemons works out what the daemons used between two samples. A daemon that is in one of them only is left out.
func daemons(before, after map[string]site.Sample, r *report.Result) report.Daemons {
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
