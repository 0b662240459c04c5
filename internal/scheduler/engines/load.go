package engines

import (
	"math"
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// reportLag is the longest time by which load reports are thought to lag.
const reportLag = 2 * time.Second

// foreign estimates the calls on an engine that others have sent: those of an earlier keeper, or of instances that
// serve degraded.
type foreign struct {
	count float64
	at    time.Time
	// peaks are the most own calls in flight in the present and in the last window of reportLag: a late report may
	// still count calls that have ended since.
	peaks  [2]int
	window time.Time
}

func (f *foreign) own(now time.Time, inFlight int) {
	f.roll(now)
	f.peaks[0] = max(f.peaks[0], inFlight)
}

func (f *foreign) roll(now time.Time) {
	switch age := now.Sub(f.window); {
	case age >= 2*reportLag:
		f.peaks, f.window = [2]int{}, now
	case age >= reportLag:
		f.peaks, f.window = [2]int{0, f.peaks[0]}, now
	}
}

func (f *foreign) observe(now time.Time, l framework.Load, inFlight int) {
	f.own(now, inFlight)
	f.count = float64(max(0, l.Running+l.Waiting-max(f.peaks[0], f.peaks[1])))
	f.at = now
}

func (f *foreign) estimate(now time.Time, decay time.Duration) float64 {
	if f.count == 0 {
		return 0
	}
	return f.count * math.Exp(-now.Sub(f.at).Seconds()/decay.Seconds())
}

// limit learns how many calls an engine runs at once: a report with calls waiting inside the engine lowers it to what
// runs, one without, while all permits are out, raises it.
type limit struct {
	now   float64
	most  float64
	share float64
}

const (
	// engineQueueTarget is the queue inside the engine that keeps its batch filled between two decisions.
	engineQueueTarget = 1
	limitStep         = 1
)

func newLimit(s *framework.Settings) limit {
	share := s.ConcurrencyShare
	if share <= 0 {
		share = 1
	}
	return limit{now: float64(s.InitialConcurrency), most: float64(s.MaxConcurrency), share: share}
}

func (l *limit) observe(r framework.Load, inFlight int) {
	switch {
	case r.Waiting > engineQueueTarget:
		l.now = max(1, min(l.now, float64(r.Running+engineQueueTarget)))
	case r.Waiting == 0 && inFlight >= l.value():
		l.now = min(l.most, l.now+limitStep)
	}
}

func (l *limit) value() int { return max(1, int(l.now*l.share)) }
