// Package memory accounts for the bytes that an instance holds for its requests.
//
// Load pattern: hundreds of clients send or read slowly. What they announce or have not read yet adds up, although each
// request is small, and the platform kills a process that exceeds its memory limit.
package memory

import (
	"sync"
	"time"
)

const (
	// rateWindow is the time over which the rate of releases is averaged.
	rateWindow = time.Second
	// minRetryAfter and maxRetryAfter bound the estimate of when there is room again.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// maxShrinks bounds how often the caches are shrunk for one request, while others take what they free.
	maxShrinks = 16
)

// Account counts held bytes against a limit. Caches yield before a request is refused. It is safe for concurrent use.
type Account struct {
	limit int64
	// total bounds held, cached and kept bytes together; zero for no bound.
	total int64
	now   func() time.Time
	// shrink frees up to the given number of cached bytes and calls Uncache for them.
	shrink func(bytes int64)
	// full is called with the number of bytes that are missing when a request finds no room; nil for nothing.
	full func(bytes int64)

	mu           sync.Mutex
	held, cached int64
	// kept bytes last beyond requests, and can't be refused.
	kept     int64
	refused  int64
	releases rate
}

// New returns an account with the given limit in bytes. shrink frees up to the given number of cached bytes.
func New(limit int64, shrink func(bytes int64)) *Account {
	return &Account{limit: limit, now: time.Now, shrink: shrink}
}

// OnFull sets a function that is called with the number of missing bytes when the caches don't hold them. It may release
// bytes, or see to it that others do. It must be set before the first use of the account.
func (a *Account) OnFull(f func(bytes int64)) { a.full = f }

// Hold adds n bytes for a request if there is room for them, taking it from the caches if need be. It reports whether they
// were added.
func (a *Account) Hold(n int64) bool {
	if a.holdCached(n) {
		return true
	}
	excess := a.tryHold(n)
	if excess > 0 && a.full != nil {
		a.full(excess)
		excess = a.tryHold(n)
	}
	if excess <= 0 {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused++
	return false
}

// holdCached adds n bytes if there is room for them, or if the caches hold enough.
func (a *Account) holdCached(n int64) bool {
	// The caches free their bytes without the account's lock, so another request may take them.
	for shrinks := 0; ; shrinks++ {
		excess := a.tryHold(n)
		if excess <= 0 {
			return true
		}
		if shrinks == maxShrinks || !a.makeRoom(excess) {
			return false
		}
	}
}

// tryHold adds n bytes if there is room for them, and returns how many are missing otherwise.
func (a *Account) tryHold(n int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	excess := a.excess(n)
	if excess <= 0 {
		a.held += n
	}
	return excess
}

// excess is by how much n more bytes would exceed the limits. a.mu must be held.
func (a *Account) excess(n int64) int64 {
	excess := a.held + a.cached + n - a.limit
	if a.total > 0 {
		excess = max(excess, a.held+a.cached+a.kept+n-a.total)
	}
	return excess
}

// makeRoom frees cached bytes. It reports false if there are not enough of them.
func (a *Account) makeRoom(bytes int64) bool {
	a.mu.Lock()
	enough := a.cached >= bytes
	a.mu.Unlock()
	if enough {
		a.shrink(bytes)
	}
	return enough
}

// Add adds n bytes that can't be refused any more.
func (a *Account) Add(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held += n
}

// Release subtracts n bytes of a request that has ended.
func (a *Account) Release(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held -= n
	a.releases.add(a.now(), n)
}

// Cache adds n cached bytes if there is room for them without shrinking a cache. It reports whether they were added.
func (a *Account) Cache(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.excess(n) > 0 {
		return false
	}
	a.cached += n
	return true
}

// SetTotal bounds the bytes of requests and caches further, by what is kept besides. It must be called before the first use of the
// account.
func (a *Account) SetTotal(limit int64) { a.total = limit }

// Keep adds n bytes that last beyond the requests that brought them; a negative n subtracts them.
func (a *Account) Keep(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.kept += n
}

// IsFull reports whether there is no room for another request, even without the caches.
func (a *Account) IsFull() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.excess(0)-a.cached >= 0
}

// Uncache subtracts n cached bytes.
func (a *Account) Uncache(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cached -= n
}

// RetryAfter estimates when n bytes will be free, from the rate at which requests release theirs.
func (a *Account) RetryAfter(n int64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	perSecond := a.releases.perSecond(a.now())
	if perSecond <= 0 {
		return maxRetryAfter
	}
	missing := a.excess(n) - a.cached
	return min(max(time.Duration(float64(missing)/perSecond*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

// Usage is a snapshot of an account.
type Usage struct {
	// Held, Cached, Kept and Limit are in bytes, Refused is the number of requests that found no room.
	Held, Cached, Kept, Limit, Refused int64
}

// Usage returns the current usage.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{Held: a.held, Cached: a.cached, Kept: a.kept, Limit: a.limit, Refused: a.refused}
}

// rate counts bytes in two consecutive windows.
type rate struct {
	start            time.Time
	current, earlier int64
}

func (r *rate) add(now time.Time, n int64) {
	r.advance(now)
	r.current += n
}

func (r *rate) advance(now time.Time) {
	switch elapsed := now.Sub(r.start); {
	case elapsed >= 2*rateWindow:
		r.start, r.current, r.earlier = now, 0, 0
	case elapsed >= rateWindow:
		r.start, r.current, r.earlier = r.start.Add(rateWindow), 0, r.current
	}
}

// perSecond weighs the earlier window by the part of it that lies within rateWindow.
func (r *rate) perSecond(now time.Time) float64 {
	r.advance(now)
	rest := 1 - float64(now.Sub(r.start))/float64(rateWindow)
	return (float64(r.current) + float64(r.earlier)*rest) / rateWindow.Seconds()
}
