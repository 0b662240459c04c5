package journal

import (
	"sync"
	"time"
)

// Pace is a rate limiter for appends (virtual scheduling, GCRA). Writers may share one. It is safe for concurrent use.
type Pace struct {
	mu sync.Mutex
	// nextSlot is the theoretical start time of the next append at the mean rate.
	nextSlot time.Time
}

// NewPace returns an unused limiter.
func NewPace() *Pace { return &Pace{} }

// untilAllowed returns the time until the next append may start, for a mean interval of window and up to burst appends
// without delay after an idle time.
func (p *Pace) untilAllowed(now time.Time, window time.Duration, burst int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nextSlot.Add(-time.Duration(burst-1) * window).Sub(now)
}

// recordAppend accounts for an append that starts now.
func (p *Pace) recordAppend(now time.Time, window time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nextSlot.Before(now) {
		p.nextSlot = now
	}
	p.nextSlot = p.nextSlot.Add(window)
}
