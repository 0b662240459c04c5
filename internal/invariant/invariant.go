// Package invariant implements assertions that are active in production. A violation is counted and logged; in tests it
// panics.
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

// Collector returns the metric that counts violations.
func Collector() prometheus.Collector { return violations }

// PanicOnViolation sets whether violations panic. It is enabled in tests and in processes started by tests.
func PanicOnViolation(on bool) { fatal.Store(on) }

// Violations returns the number of violations in this process.
func Violations() int64 { return total.Load() }

// Check records a violation of the named invariant if ok is false, and returns ok. Details are key-value pairs for the
// log and must not contain API keys or message text.
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
