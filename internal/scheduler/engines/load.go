package engines

import (
	"math"
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// maxReportLag is the assumed upper bound on the delay of load reports.
const maxReportLag = 2 * time.Second

// externalLoad estimates the calls on an engine that were sent by others: by an earlier keeper of the group, or by
// instances that serve it in degraded mode.
type externalLoad struct {
	count      float64
	observedAt time.Time
	// ownPeaks are the maximum numbers of own calls in flight in the current and the previous window of maxReportLag. A
	// delayed report may still count calls that have ended since.
	ownPeaks    [2]int
	windowStart time.Time
}

func (x *externalLoad) recordOwn(now time.Time, inFlight int) {
	x.rotateWindow(now)
	x.ownPeaks[0] = max(x.ownPeaks[0], inFlight)
}

func (x *externalLoad) rotateWindow(now time.Time) {
	switch age := now.Sub(x.windowStart); {
	case age >= 2*maxReportLag:
		x.ownPeaks, x.windowStart = [2]int{}, now
	case age >= maxReportLag:
		x.ownPeaks, x.windowStart = [2]int{0, x.ownPeaks[0]}, now
	}
}

func (x *externalLoad) observe(now time.Time, l framework.LoadReport, inFlight int) {
	x.recordOwn(now, inFlight)
	x.count = float64(max(0, l.Running+l.Waiting-max(x.ownPeaks[0], x.ownPeaks[1])))
	x.observedAt = now
}

func (x *externalLoad) estimate(now time.Time, decay time.Duration) float64 {
	if x.count == 0 {
		return 0
	}
	return x.count * math.Exp(-now.Sub(x.observedAt).Seconds()/decay.Seconds())
}

// concurrencyLimit learns how many calls an engine can run concurrently. A report of calls waiting inside the engine
// lowers it to the number running; a report of none, while as many calls are in flight as the limit allows, raises it.
type concurrencyLimit struct {
	current float64
	maximum float64
	scale   float64
}

const (
	// engineQueueTarget is the length of the engine's own queue that keeps its batch full between two scheduling
	// decisions.
	engineQueueTarget = 1
	limitStep         = 1
)

func newConcurrencyLimit(s *framework.Settings) concurrencyLimit {
	scale := s.ConcurrencyScale
	if scale <= 0 {
		scale = 1
	}
	return concurrencyLimit{current: float64(s.InitialConcurrency), maximum: float64(s.MaxConcurrency), scale: scale}
}

func (l *concurrencyLimit) observe(r framework.LoadReport, inFlight int) {
	switch {
	case r.Waiting > engineQueueTarget:
		l.current = max(1, min(l.current, float64(r.Running+engineQueueTarget)))
	case r.Waiting == 0 && inFlight >= l.value():
		l.current = min(l.maximum, l.current+limitStep)
	}
}

func (l *concurrencyLimit) value() int { return max(1, int(l.current*l.scale)) }
