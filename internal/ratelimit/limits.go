package ratelimit

import (
	"time"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/backendlimit"
)

const (
	// liftedRetention is how long the end of a limit is remembered, so that an instance which reports the limit late does
	// not bring it back.
	liftedRetention = 15 * time.Second
	// limitRetention is how long a limit is remembered that nobody has reported again.
	limitRetention = 5 * time.Minute
)

// limits is what is known of the limits of backend servers, by the newest report of each. Instances report changes to the
// holder, which passes them on. Load pattern: hundreds of instances use a server rarely; if each had to be told by the
// server itself, a server in need would get a request of every one of them first.
type limits map[backendlimit.Server]backendlimit.State

// update records a report and returns whether it says anything new about the limit.
func (l limits) update(server backendlimit.Server, s backendlimit.State) bool {
	before := l[server]
	after := before.Update(s)
	if after == before {
		return false
	}
	l[server] = after
	return before.Limit != after.Limit
}

// prune drops what is too old to matter.
func (l limits) prune(now time.Time) {
	for server, s := range l {
		if age := now.Sub(s.AsOf); age > limitRetention || !s.Announced && age > liftedRetention {
			delete(l, server)
		}
	}
}

// encode returns the limits as they are sent to other instances.
func (l limits) encode(now time.Time) []*turnv1.ServerLimit {
	var out []*turnv1.ServerLimit
	for server, s := range l {
		out = append(out, &turnv1.ServerLimit{
			Id: server.ID, Incarnation: server.Incarnation, RequestsPerSecond: s.RequestsPerSecond, Lifted: !s.Announced,
			AgeMs: now.Sub(s.AsOf).Milliseconds(),
		})
	}
	return out
}

func decodeLimit(m *turnv1.ServerLimit, now time.Time) (backendlimit.Server, backendlimit.State) {
	s := backendlimit.State{AsOf: now.Add(-time.Duration(m.AgeMs) * time.Millisecond)}
	if !m.Lifted {
		s.Limit = backendlimit.Limit{Announced: true, RequestsPerSecond: m.RequestsPerSecond}
	}
	return backendlimit.Server{ID: m.Id, Incarnation: m.Incarnation}, s
}

// exchangeLimits records the limits that an instance reports and adds those that it lacks to the response. h.mu must be
// held.
func (h *BucketHolder) exchangeLimits(r *turnv1.TakeRequest, resp *turnv1.TakeResponse, now time.Time) {
	for _, m := range r.Observed {
		if h.limits.update(decodeLimit(m, now)) {
			h.limitsRevision++
		}
	}
	resp.LimitsRevision = h.limitsRevision
	if r.LimitsRevision == h.limitsRevision {
		return
	}
	h.limits.prune(now)
	resp.Limits = h.limits.encode(now)
}

// ReportServer tells the other instances, through the holder, what a response showed about the limit of a server.
func (l *Limiter) ReportServer(server backendlimit.Server, s backendlimit.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits.update(server, s) {
		l.unreported[server] = true
	}
}

// limitReports returns the limits that the holder does not know yet: the changes since the last request, or all of them
// if it has not answered before. l.mu must be held.
func (l *Limiter) limitReports(now time.Time) []*turnv1.ServerLimit {
	l.limits.prune(now)
	if l.limitsRevision == 0 {
		return l.limits.encode(now)
	}
	reports := limits{}
	for server := range l.unreported {
		if s, ok := l.limits[server]; ok {
			reports[server] = s
		}
	}
	clear(l.unreported)
	return reports.encode(now)
}

// repeatReports makes the next request repeat the reports of one that failed.
func (l *Limiter) repeatReports(r *turnv1.TakeRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range r.Observed {
		l.unreported[backendlimit.Server{ID: m.Id, Incarnation: m.Incarnation}] = true
	}
}

// learnLimits records the limits in a response of the holder and passes them on. l.mu must not be held.
func (l *Limiter) learnLimits(resp *turnv1.TakeResponse) {
	for _, m := range resp.Limits {
		l.mu.Lock()
		server, s := decodeLimit(m, l.now())
		l.limits.update(server, s)
		l.mu.Unlock()
		if l.OnLimit != nil {
			l.OnLimit(server, s)
		}
	}
}
