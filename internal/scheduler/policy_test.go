package scheduler

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// simSpan is the time during which programs arrive in one run, in virtual time.
const simSpan = 60 * time.Second

// Candidates for the aggressor account, which sends four times its rate: one with 5% and one with 20% of all programs.
const (
	smallAccount = 7
	largeAccount = 1
)

// simSeeds are the seeds of the workloads over which results are averaged.
var simSeeds = []int64{1, 2, 3, 4}

// simSummary holds mean results over the seeds.
type simSummary struct {
	p50, p95, p99, wasted float64
	refused               float64
	// worst is the largest ratio of an account's p95 with the aggressor to that without, excluding the aggressor's own.
	worst          float64
	aggressorP95   float64
	aggressorWaste float64
}

func measure(s framework.Settings, workload simLoad) simSummary {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var mean simSummary
	n := float64(len(simSeeds))
	for _, seed := range simSeeds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			baseline := workload
			baseline.seed, baseline.span = seed, simSpan
			aggressive := baseline
			aggressive.aggressorFactor = 4
			without, with := runSim(s, baseline), runSim(s, aggressive)
			worst := 0.0
			for a, base := range without.p95ByAccount {
				if a != fmt.Sprint("a", workload.aggressorAccount) {
					worst = max(worst, with.p95ByAccount[a]/base)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			mean.p50 += without.p50 / n
			mean.p95 += without.p95 / n
			mean.p99 += without.p99 / n
			mean.wasted += without.wasted / n
			mean.refused += float64(without.refusals) / n
			mean.worst += worst / n
			mean.aggressorP95 += with.p95 / n
			mean.aggressorWaste += with.wasted / n
		}()
	}
	wg.Wait()
	return mean
}

func (m simSummary) String() string {
	return fmt.Sprintf("p50 %.2f p95 %.2f p99 %.2f s, wasted %.4f, refused %.1f; with aggressor: worst ratio %.2f, p95 %.2f s, wasted %.4f",
		m.p50, m.p95, m.p99, m.wasted, m.refused, m.worst, m.aggressorP95, m.aggressorWaste)
}

// TestPolicyAgainstBaselines compares the policies at 85% of the engines' capacity.
func TestPolicyAgainstBaselines(t *testing.T) {
	if testing.Short() {
		t.Skip("simulation in virtual time is too slow under the race detector")
	}
	workload := simLoad{load: 0.85, aggressorAccount: smallAccount}
	fifo := measure(framework.DefaultSettings(framework.FIFORoundRobin), workload)
	least := measure(framework.DefaultSettings(framework.LeastLoaded), workload)
	policy := measure(framework.DefaultSettings(framework.Berylpond), workload)
	workload.aggressorAccount = largeAccount
	large := measure(framework.DefaultSettings(framework.Berylpond), workload)
	t.Logf("fifo-round-robin: %v", fifo)
	t.Logf("least-loaded:     %v", least)
	t.Logf("berylpond:        %v", policy)
	t.Logf("with a large aggressor: %v", large)
	for _, target := range []struct {
		name       string
		got, bound float64
	}{
		{"p95 over fifo-round-robin", policy.p95 / fifo.p95, 0.5},
		{"p95 over least-loaded", policy.p95 / least.p95, 0.8},
		{"wasted cache over fifo-round-robin", policy.wasted / fifo.wasted, 1.0 / 3},
		{"worst-served account with an aggressor", policy.worst, 1.25},
		{"worst-served account with a large aggressor", large.worst, 1.25},
		{"refusals", policy.refused, 0},
	} {
		t.Logf("%s: %.3f, target at most %.3f", target.name, target.got, target.bound)
		if target.got > target.bound {
			t.Errorf("%s missed: %.3f > %.3f", target.name, target.got, target.bound)
		}
	}
}

// TestPolicyAblation prints the results with one part of the policy left out at a time. It runs only with -ablation.
func TestPolicyAblation(t *testing.T) {
	if !*ablation {
		t.Skip("run with -ablation")
	}
	for _, part := range []struct {
		name string
		off  func(s *framework.Settings)
	}{
		{"all", func(s *framework.Settings) {}},
		{"no fair queueing", func(s *framework.Settings) { s.FairQueueing = false }},
		{"no program order", func(s *framework.Settings) { s.LeastAttainedService = false }},
		{"no affinity", func(s *framework.Settings) { s.PrefixAffinity = false }},
		{"no cost placement", func(s *framework.Settings) { s.CostBasedPlacement = false }},
		{"no retention", func(s *framework.Settings) { s.Retention = false }},
		{"no limit", func(s *framework.Settings) { s.LimitConcurrency = false }},
	} {
		s := framework.DefaultSettings(framework.Berylpond)
		part.off(&s)
		t.Logf("%-17s %v", part.name, measure(s, simLoad{load: 0.85, kv: *ablationKV, aggressorAccount: largeAccount}))
	}
}
