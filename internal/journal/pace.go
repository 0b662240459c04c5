package journal

import (
	"sync"
	"time"
)

// Pace spaces appends. Writers that share one keep it together. It is safe for concurrent use.
type Pace struct {
	mu sync.Mutex
	// used is the time up to which the appends so far use the pace up.
	used time.Time
}

// NewPace returns a pace that nothing has used yet.
func NewPace() *Pace { return &Pace{} }

// untilAllowed returns the time until the next append may start, where appends keep window in the mean and up to burst of
// them go at once after an idle time.
func (p *Pace) untilAllowed(now time.Time, window time.Duration, burst int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used.Add(-time.Duration(burst-1) * window).Sub(now)
}

// started counts an append.
func (p *Pace) started(now time.Time, window time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used.Before(now) {
		p.used = now
	}
	p.used = p.used.Add(window)
}
