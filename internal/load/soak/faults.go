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
	// maxConcurrentFaults is the maximum number of faults active at the same time.
	maxConcurrentFaults = 2
	minFaultDuration    = 300 * time.Millisecond
	maxFaultDuration    = 4 * time.Second
	defaultMeanGap      = 2 * time.Second
	// faultSeedStream separates the random numbers of faults from those of the workload.
	faultSeedStream = 0xfa
)

// faultInjector injects random faults during one run.
type faultInjector struct {
	cancel context.CancelFunc
	done   chan struct{}

	mu            sync.Mutex
	counts        map[string]int
	activeTargets map[string]bool
	stops         []plannedStop
}

// plannedStop is a graceful shutdown of an instance, from the signal until the restarted instance is ready.
type plannedStop struct {
	instance, address    string
	signalledAt, readyAt time.Time
}

// startFaults injects random faults until stop is called.
func startFaults(ctx context.Context, s *site.Site, o Options, rec *report.Recorder) *faultInjector {
	ctx, cancel := context.WithCancel(ctx)
	f := &faultInjector{cancel: cancel, done: make(chan struct{}), counts: map[string]int{}, activeTargets: map[string]bool{}}
	go func() {
		defer close(f.done)
		f.run(ctx, s, o, rec)
	}()
	return f
}

// stop ends the injection and waits until all faults have been removed.
func (f *faultInjector) stop() {
	f.cancel()
	<-f.done
}

func (f *faultInjector) recordStop(in *site.Instance, from time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops = append(f.stops, plannedStop{instance: in.ID, address: in.CallerAddress(), signalledAt: from,
		readyAt: time.Now()})
}

// run derives the whole sequence of faults from the seed. Random values are also drawn for faults that are skipped, so
// that skipping one does not change the later ones.
func (f *faultInjector) run(ctx context.Context, s *site.Site, o Options, rec *report.Recorder) {
	r := rand.New(rand.NewPCG(o.Seed, faultSeedStream))
	kinds := faultKinds(o)
	gap := o.MeanInterval
	if gap <= 0 {
		gap = defaultMeanGap
	}
	var running sync.WaitGroup
	defer running.Wait()
	for sleep(ctx, time.Duration(r.ExpFloat64()*float64(gap))) {
		fault := load.Fault{
			Kind: kinds[r.IntN(len(kinds))], Target: r.IntN(1 << 16),
			Duration: minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration))),
		}
		key := targetKey(s, fault)
		if !f.acquireTarget(key, fault.Kind) {
			continue
		}
		if o.OnFault != nil {
			o.OnFault(fault)
		}
		running.Go(func() {
			defer f.releaseTarget(key)
			if fault.Kind == load.FaultStop {
				defer f.recordStop(s.Instances[fault.Target%len(s.Instances)], time.Now())
			}
			if err := load.Inject(ctx, s, fault); err != nil {
				rec.RecordViolation(report.ViolationShutdown, "%s of %s: %v", fault.Kind, key, err)
			}
		})
	}
}

// targetKey identifies the process that a fault affects; at most one fault is active on a process.
func targetKey(s *site.Site, f load.Fault) string {
	switch f.Kind {
	case load.FaultKill, load.FaultStop, load.FaultFreeze:
		return s.Instances[f.Target%len(s.Instances)].ID
	case load.FaultLogOutage:
		return "log"
	case load.FaultLoseResponse:
		return fmt.Sprintf("service-%d", f.Target%len(s.Services))
	}
	return fmt.Sprintf("engine-%d", f.Target%len(s.Engines))
}

func (f *faultInjector) acquireTarget(key string, kind load.FaultKind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.activeTargets[key] || len(f.activeTargets) >= maxConcurrentFaults {
		return false
	}
	f.activeTargets[key] = true
	f.counts[string(kind)]++
	return true
}

func (f *faultInjector) releaseTarget(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.activeTargets, key)
}
