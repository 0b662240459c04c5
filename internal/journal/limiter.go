package journal

import (
	"sync"
	"time"
)

// AppendLimiter is a rate limiter for appends (virtual scheduling, GCRA). Writers may share one. It is safe for
// concurrent use.
type AppendLimiter struct {
	mu sync.Mutex
	// nextSlot is the theoretical start time of the next append at the mean rate.
	nextSlot time.Time
}

// NewAppendLimiter returns an unused limiter.
func NewAppendLimiter() *AppendLimiter { return &AppendLimiter{} }

// untilAllowed returns the time until the next append may start, for a mean interval of window and up to burst appends
// without delay after an idle time.
func (l *AppendLimiter) untilAllowed(now time.Time, window time.Duration, burst int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nextSlot.Add(-time.Duration(burst-1) * window).Sub(now)
}

// recordAppend accounts for an append that starts now.
func (l *AppendLimiter) recordAppend(now time.Time, window time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nextSlot.Before(now) {
		l.nextSlot = now
	}
	l.nextSlot = l.nextSlot.Add(window)
}
