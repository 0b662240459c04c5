// Package soak runs programs while injecting random faults, then compares the outcomes reported to the callers with
// what the backend servers executed.
package soak

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/berylpond/berylpond/internal/load"
	"github.com/berylpond/berylpond/internal/load/report"
	"github.com/berylpond/berylpond/internal/load/site"
	"github.com/berylpond/berylpond/internal/load/workload"
	"github.com/berylpond/berylpond/internal/settings"
)

const (
	// memoryGrace is the maximum time after the end of a program until engines have released its cached prefixes.
	memoryGrace = 10 * time.Second
	// firstTokenTimeout and progressTimeout are shorter than the daemon's defaults, so that they expire during a run.
	firstTokenTimeout = 4 * time.Second
	progressTimeout   = 2 * time.Second
)

// Options of a run.
type Options struct {
	workload.Options
	// Bin is the directory of the binaries.
	Bin string
	// Policy is the daemons' scheduling policy.
	Policy string
	// MeanInterval is the mean time between faults.
	MeanInterval time.Duration
	// Kinds are the kinds of faults to inject; empty means all.
	Kinds []load.FaultKind
	// OnFault, if set, is called before each fault.
	OnFault func(load.Fault)
}

// Outcome summarizes a run.
type Outcome struct {
	Seed             uint64             `json:"seed"`
	Seconds          float64            `json:"seconds"`
	Programs         int                `json:"programs"`
	Failed           int                `json:"failed"`
	FailuresByReason map[string]int     `json:"failed_by_reason"`
	Calls            int                `json:"calls"`
	Effects          int                `json:"effects"`
	Ended            int                `json:"ended_programs"`
	Faults           map[string]int     `json:"faults"`
	Violations       []report.Violation `json:"violations"`
}

// Run runs programs under random faults and checks the callers' records.
func Run(ctx context.Context, p *workload.Profile, o Options) (*Outcome, error) {
	w := workload.Generate(p, o.Options)
	s, err := site.Start(ctx, p, w.Limits, site.Options{Bin: o.Bin, Policy: o.Policy, AdjustSettings: func(set *settings.Settings) {
		set.Timing.FirstTokenTimeout, set.Timing.TokenTimeout = settings.Duration(firstTokenTimeout),
			settings.Duration(progressTimeout)
	}})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	t := load.TargetOf(s)
	if err := load.Warm(ctx, t, w.Limits); err != nil {
		return nil, err
	}
	rec := load.NewRecorder(w.Limits)
	start := time.Now()
	faults := startFaults(ctx, s, o, rec)
	load.RunWorkload(ctx, t, p, w, rec)
	faults.stop()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	span := time.Since(start)
	// Programs whose end request failed end only at their deadlines.
	if !sleep(ctx, memoryGrace) {
		return nil, ctx.Err()
	}
	if err := check(ctx, s, w.Limits, faults.stops, rec); err != nil {
		return nil, err
	}
	return outcome(o, rec, faults.counts, span), nil
}

func outcome(o Options, rec *report.Recorder, faults map[string]int, span time.Duration) *Outcome {
	calls, programs := rec.Records()
	all, _ := report.ComputeStats(calls, programs, span)
	return &Outcome{
		Seed: o.Seed, Seconds: span.Seconds(), Programs: all.Programs, Failed: all.Failed, FailuresByReason: all.FailuresByReason, Calls: all.Calls,
		Effects: len(rec.Effects()), Ended: len(rec.EndedPrograms()), Faults: faults, Violations: rec.Violations(),
	}
}

// WriteText writes the outcome as text.
func (o *Outcome) WriteText(w io.Writer) {
	fmt.Fprintf(w, "seed %d, %.0f s: %d programs (%d failed %v), %d calls, %d effects, %d ends confirmed, faults %v\n",
		o.Seed, o.Seconds, o.Programs, o.Failed, o.FailuresByReason, o.Calls, o.Effects, o.Ended, o.Faults)
	kinds := map[report.ViolationKind]int{}
	for _, v := range o.Violations {
		kinds[v.Kind]++
		if kinds[v.Kind] <= maxListedPerKind {
			fmt.Fprintf(w, "VIOLATION %s: %s\n", v.Kind, v.Detail)
		}
	}
	fmt.Fprintf(w, "violations: %d %v\n", len(o.Violations), kinds)
}

// maxListedPerKind is the number of violations of one kind that are printed.
const maxListedPerKind = 8

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func faultKinds(o Options) []load.FaultKind {
	if len(o.Kinds) > 0 {
		return slices.Clone(o.Kinds)
	}
	return load.FaultKinds()
}
