package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/berylpond/berylpond/internal/load"
	"github.com/berylpond/berylpond/internal/load/report"
	"github.com/berylpond/berylpond/internal/load/site"
)

const (
	// atOnce is the number of faults that may overlap.
	atOnce     = 2
	minFault   = 300 * time.Millisecond
	maxFault   = 4 * time.Second
	defaultGap = 2 * time.Second
	// faultStream tells the random numbers of faults from those of the workload.
	faultStream = 0xfa
)

// faultRun is the faults of one run.
type faultRun struct {
	cancel context.CancelFunc
	done   chan struct{}

	mu     sync.Mutex
	counts map[string]int
	busy   map[string]bool
	stops  []plannedStop
}

// plannedStop is the time from the signal to shut down until the instance serves again.
type plannedStop struct {
	instance, address string
	from, to          time.Time
}

// startFaults begins to inject random faults until stop.
func startFaults(ctx context.Context, s *site.Site, o Options, rec *report.Recorder) *faultRun {
	ctx, cancel := context.WithCancel(ctx)
	f := &faultRun{cancel: cancel, done: make(chan struct{}), counts: map[string]int{}, busy: map[string]bool{}}
	go func() {
		defer close(f.done)
		f.run(ctx, s, o, rec)
	}()
	return f
}

// stop removes all faults.
func (f *faultRun) stop() {
	f.cancel()
	<-f.done
}

func (f *faultRun) noteStop(in *site.Instance, from time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops = append(f.stops, plannedStop{instance: in.ID, address: in.Callers(), from: from, to: time.Now()})
}

// run draws the whole sequence from the seed, so that a skipped fault does not change the later ones.
func (f *faultRun) run(ctx context.Context, s *site.Site, o Options, rec *report.Recorder) {
	r := rand.New(rand.NewPCG(o.Seed, faultStream))
	kinds := kindsOf(o)
	gap := o.MeanGap
	if gap <= 0 {
		gap = defaultGap
	}
	var running sync.WaitGroup
	defer running.Wait()
	for wait(ctx, time.Duration(r.ExpFloat64()*float64(gap))) {
		one := load.Fault{
			Kind: kinds[r.IntN(len(kinds))], Target: r.IntN(1 << 16), Duration: minFault + time.Duration(r.Int64N(int64(maxFault-minFault))),
		}
		key := place(s, one)
		if !f.take(key, one.Kind) {
			continue
		}
		if o.Progress != nil {
			o.Progress(one)
		}
		running.Go(func() {
			defer f.free(key)
			if one.Kind == load.FaultStop {
				defer f.noteStop(s.Instances[one.Target%len(s.Instances)], time.Now())
			}
			if err := load.Inject(ctx, s, one); err != nil {
				rec.Violation(report.ViolationShutdown, "%s of %s: %v", one.Kind, key, err)
			}
		})
	}
}

// place names the process that a fault hits, so that no two faults hit one at a time.
func place(s *site.Site, f load.Fault) string {
	switch f.Kind {
	case load.FaultKill, load.FaultStop, load.FaultFreeze:
		return s.Instances[f.Target%len(s.Instances)].ID
	case load.FaultLog:
		return "log"
	case load.FaultEffect:
		return fmt.Sprintf("service-%d", f.Target%len(s.Services))
	}
	return fmt.Sprintf("engine-%d", f.Target%len(s.Engines))
}

func (f *faultRun) take(key string, kind load.FaultKind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy[key] || len(f.busy) >= atOnce {
		return false
	}
	f.busy[key] = true
	f.counts[string(kind)]++
	return true
}

func (f *faultRun) free(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.busy, key)
}
