// Package invariant holds checks that run in production. A violated check is counted, logged and, in tests, fatal.
package invariant

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"
)

var (
	violations = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "berylpond_invariant_violations_total",
		Help: "Invariant checks that failed, by invariant name.",
	}, []string{"invariant"})
	total atomic.Int64
	fatal atomic.Bool
)

// Collector returns the metric of violated invariants.
func Collector() prometheus.Collector { return violations }

// PanicOnViolation makes every later violation panic. Tests and test processes switch it on.
func PanicOnViolation(on bool) { fatal.Store(on) }

// Violations returns how many checks have failed in this process.
func Violations() int64 { return total.Load() }

// Check records a violation of the named invariant unless ok. Details are key-value pairs for the log and must not
// hold keys or message text. It returns ok.
func Check(ok bool, name string, details ...any) bool {
	if ok {
		return true
	}
	total.Add(1)
	violations.WithLabelValues(name).Inc()
	klog.ErrorS(nil, "Invariant violated", append([]any{"invariant", name}, details...)...)
	if fatal.Load() {
		panic("invariant violated: " + name)
	}
	return false
}
