package scheduler

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// simSpan is how long programs arrive in one run, in virtual time.
const simSpan = 60 * time.Second

// Accounts that ask for four times their rate: one of 5% and one of 20% of all programs.
const (
	smallAccount = 7
	largeAccount = 1
)

// simSeeds are the workloads over which figures are averaged.
var simSeeds = []int64{1, 2, 3, 4}

// simFigures are means over the seeds.
type simFigures struct {
	p50, p95, p99, wasted float64
	refused               float64
	// worst is the largest ratio of an account's p95 with to without the aggressor, the aggressor's left out.
	worst          float64
	aggressorP95   float64
	aggressorWaste float64
}

func measure(s framework.Settings, l simLoad) simFigures {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var f simFigures
	n := float64(len(simSeeds))
	for _, seed := range simSeeds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			quiet := l
			quiet.seed, quiet.span = seed, simSpan
			loud := quiet
			loud.aggressor = 4
			r, x := runSim(s, quiet), runSim(s, loud)
			worst := 0.0
			for a, base := range r.p95ByAccount {
				if a != fmt.Sprint("a", l.loud) {
					worst = max(worst, x.p95ByAccount[a]/base)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			f.p50 += r.p50 / n
			f.p95 += r.p95 / n
			f.p99 += r.p99 / n
			f.wasted += r.wasted / n
			f.refused += float64(r.refusals) / n
			f.worst += worst / n
			f.aggressorP95 += x.p95 / n
			f.aggressorWaste += x.wasted / n
		}()
	}
	wg.Wait()
	return f
}

func (f simFigures) String() string {
	return fmt.Sprintf("p50 %.2f p95 %.2f p99 %.2f s, wasted %.4f, refused %.1f; with aggressor: worst ratio %.2f, p95 %.2f s, wasted %.4f",
		f.p50, f.p95, f.p99, f.wasted, f.refused, f.worst, f.aggressorP95, f.aggressorWaste)
}

// TestPolicyAgainstBaselines compares the policies at 85% of the engines' capacity.
func TestPolicyAgainstBaselines(t *testing.T) {
	if testing.Short() {
		t.Skip("a comparison under virtual time; too slow under the race detector")
	}
	l := simLoad{load: 0.85, loud: smallAccount}
	fifo := measure(framework.Defaults(framework.FIFORoundRobin), l)
	least := measure(framework.Defaults(framework.LeastLoaded), l)
	policy := measure(framework.Defaults(framework.Berylpond), l)
	l.loud = largeAccount
	large := measure(framework.Defaults(framework.Berylpond), l)
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
		{"the same with a large aggressor", large.worst, 1.25},
		{"refusals", policy.refused, 0},
	} {
		t.Logf("%s: %.3f, target at most %.3f", target.name, target.got, target.bound)
		if target.got > target.bound {
			t.Errorf("%s missed: %.3f > %.3f", target.name, target.got, target.bound)
		}
	}
}

// TestPolicyAblation prints the figures with one part of the policy left out at a time. It runs by name only.
func TestPolicyAblation(t *testing.T) {
	if !*ablation {
		t.Skip("run with -ablation")
	}
	for _, part := range []struct {
		name string
		off  func(s *framework.Settings)
	}{
		{"all", func(s *framework.Settings) {}},
		{"no fair accounts", func(s *framework.Settings) { s.FairAccounts = false }},
		{"no program order", func(s *framework.Settings) { s.ProgramOrder = false }},
		{"no affinity", func(s *framework.Settings) { s.Affinity = false }},
		{"no least wait", func(s *framework.Settings) { s.LeastWait = false }},
		{"no retention", func(s *framework.Settings) { s.Retention = false }},
		{"no hold back", func(s *framework.Settings) { s.HoldBack = false }},
	} {
		s := framework.Defaults(framework.Berylpond)
		part.off(&s)
		t.Logf("%-17s %v", part.name, measure(s, simLoad{load: 0.85, kv: *ablationKV, loud: largeAccount}))
	}
}
