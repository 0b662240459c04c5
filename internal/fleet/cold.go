package fleet

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/backendlimit"
)

const (
	// maxColdTime bounds how long a server is taken as cold after a report, if its service states no period.
	maxColdTime = time.Minute
	// coldRenewal is by how much a report must extend the time for which a server is cold to count as a change. The time left
	// that a server reports is as old as the report, so the end that it shows varies from one report to the next.
	coldRenewal = 100 * time.Millisecond
	// coldReadLag is how much older an entry may be than the time at which it was read.
	coldReadLag = time.Second
	// coldLimitTTL is how long the limit of a service is used before it is read again: a request compares dozens of servers.
	coldLimitTTL = 100 * time.Millisecond
)

// ColdReport is what the entry of a server says about how long it is still cold. A server is cold after its start, and may
// become cold again: it accepts few requests until its caches are filled.
type ColdReport struct {
	Known bool
	// Left is how much longer the server is cold as of AsOf, when the entry was read; zero if it is not cold. AsOf is not set
	// if the entry has just been read.
	Left time.Duration
	AsOf time.Time
}

// asOf returns the report with its time set.
func (r ColdReport) asOf(now time.Time) ColdReport {
	if r.AsOf.IsZero() {
		r.AsOf = now
	}
	return r
}

// ColdLimit is what a service allows for its cold servers. The zero value is no limit.
type ColdLimit struct {
	// Limited is set if cold servers are limited to RequestsPerSecond, with a bucket of Burst tokens.
	Limited           bool
	RequestsPerSecond float64
	Burst             float64
	// Period is the longest time for which a server is cold; zero if not stated.
	Period time.Duration
	// Instances is the number of instances that share the rate.
	Instances int
}

// coldState is what is known of how long a server is cold. Load pattern: servers come back with empty caches, or lose them
// in mid-service, while the instances have requests waiting for them. The state ends by itself, so that a server whose
// entry can't be read any more is used again.
type coldState struct {
	until time.Time
	// read is when the latest report was read; zero if there is none.
	read time.Time
	// asOf is when the latest report was read that said that the server is cold. It bounds until.
	asOf time.Time
	// assumed is since when the server is taken as cold for lack of a report; zero if there is one.
	assumed time.Time
	// reported is the end that the followers of this instance know.
	reported time.Time
}

// report returns the state after an entry was read. A report on which nothing is known changes nothing, and one that may
// have been written before the server was assumed to be cold does not make it warm.
func (c coldState) report(r ColdReport) coldState {
	if !r.Known {
		return c
	}
	c.read = r.AsOf
	until := r.AsOf.Add(min(max(r.Left, 0), maxColdTime))
	if !c.assumed.IsZero() {
		if r.AsOf.Before(c.assumed.Add(coldReadLag)) && until.Before(c.until) {
			return c
		}
		c.assumed = time.Time{}
	}
	c.until = until
	if r.Left > 0 {
		c.asOf = r.AsOf
	}
	return c
}

// assume returns the state of a server that is taken as cold since a time, until an entry says otherwise.
func (c coldState) assume(since time.Time) coldState {
	if until := since.Add(maxColdTime); until.After(c.until) {
		c.until = until
	}
	c.asOf, c.assumed = since, since
	return c
}

// end returns when the server stops being cold. It is in the past if the server is not cold.
func (c coldState) end(period time.Duration) time.Time {
	if last := c.asOf.Add(period); period > 0 && last.Before(c.until) {
		return last
	}
	return c.until
}

// SetColdLimit sets the function that returns what a service allows for its cold servers. It must be called before the
// fleet is used.
func (f *Fleet) SetColdLimit(of func(service string) ColdLimit) {
	f.coldLimitOf, f.coldLimits = of, map[string]readColdLimit{}
}

// coldLimit returns the limit of a server as long as it is cold, and when that ends. f.mu must be held.
func (f *Fleet) coldLimit(s *server, now time.Time) (l ColdLimit, end time.Time, cold bool) {
	if !now.Before(s.cold.until) || f.coldLimitOf == nil {
		return ColdLimit{}, time.Time{}, false
	}
	l = f.serviceColdLimit(s.Service, now)
	end = s.cold.end(l.Period)
	return l, end, l.Limited && now.Before(end)
}

// readColdLimit is the limit of a service with the time at which it was read.
type readColdLimit struct {
	ColdLimit
	at time.Time
}

// serviceColdLimit returns what a service allows for its cold servers. f.mu must be held.
func (f *Fleet) serviceColdLimit(service string, now time.Time) ColdLimit {
	read, ok := f.coldLimits[service]
	if !ok || now.Sub(read.at) >= coldLimitTTL {
		read = readColdLimit{f.coldLimitOf(service), now}
		f.coldLimits[service] = read
	}
	return read.ColdLimit
}

// limitOf returns the limit that applies to a server now. f.mu must be held.
func (f *Fleet) limitOf(s *server, now time.Time) backendlimit.Limit {
	if l, _, cold := f.coldLimit(s, now); cold {
		return s.limit.Limit.WithCold(l.RequestsPerSecond, l.Burst)
	}
	return s.limit.Limit
}

// permits reports whether a request may be sent to a server. Without a permission a cold server gets nothing.
func (c Criteria) permits(s *server, l backendlimit.Limit) bool {
	switch {
	case !l.Announced:
		return true
	case c.Permit == nil:
		return !l.Cold
	default:
		return c.Permit(backendlimit.Server{ID: s.ID, Incarnation: s.Incarnation}, l)
	}
}

// coldPenalty is what is added to the load of a cold server, as a fraction of a server's slots, so that it fills last: warm
// servers come first, those of other data centres included, as long as they have room. An instance sees only its own part
// of the load of a server that has none.
func coldPenalty(instances int) float64 { return remotePenalty + 1/float64(max(instances, 1)) }

// coldLoad returns what is added to the load of a server while it is cold. f.mu must be held.
func (f *Fleet) coldLoad(s *server, now time.Time) float64 {
	if l, _, cold := f.coldLimit(s, now); cold {
		return coldPenalty(l.Instances)
	}
	return 0
}

// isCold reports whether a server is cold and therefore limited. f.mu must be held.
func (f *Fleet) isCold(s *server, now time.Time) bool {
	_, _, cold := f.coldLimit(s, now)
	return cold
}

// IsTokenLate reports whether the server is cold and the request no longer has a token for it, given how long ago it took
// one. Load pattern: servers come back with empty caches, and opening a connection to one takes far longer than usual, or
// the server turns cold meanwhile. Requests that come late would add to those of a later moment.
func (f *Fleet) IsTokenLate(b *Backend, age, most time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isCold(b.server, f.now()) && (!b.pickedCold || age > most)
}

// updateCold records a report of a server and returns whether the followers of this instance must learn of it. f.mu must
// be held.
func (f *Fleet) updateCold(s *server, next coldState) bool {
	now := f.now()
	_, _, wasCold := f.coldLimit(s, now)
	s.cold = next
	_, end, cold := f.coldLimit(s, now)
	f.noteCold(s, cold, end.Sub(now))
	if cold && (!wasCold || end.Sub(s.cold.reported) > coldRenewal) {
		s.cold.reported = end
		return true
	}
	return wasCold != cold
}

// noteCold writes a line when a server turns cold and when that is found to have ended. f.mu must be held.
func (f *Fleet) noteCold(s *server, cold bool, left time.Duration) {
	if s.notedCold == cold {
		return
	}
	s.notedCold = cold
	if cold {
		f.coldSpells++
		klog.InfoS("backend server is cold", "backend", s.ID, "service", s.Service, "data_centre", s.DataCentre, "born",
			s.Incarnation, "left_ms", left.Milliseconds(), "assumed", !s.cold.assumed.IsZero())
		return
	}
	klog.InfoS("backend server is no longer cold", "backend", s.ID, "born", s.Incarnation)
}

// AssumeCold treats the servers of a data centre as cold since a time, for lack of entries from after it: until one that is
// newer says otherwise, for the period of their service at most. Load pattern: an evacuated data centre is taken back, and
// its servers have lost their caches shortly before.
func (f *Fleet) AssumeCold(dataCentre string, since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.assumeCold(dataCentre, since)
}

// assumeCold implements AssumeCold. f.mu must be held.
func (f *Fleet) assumeCold(dataCentre string, since time.Time) {
	f.assumedCold[dataCentre] = since
	for _, s := range f.byID {
		if s.DataCentre == dataCentre {
			f.updateCold(s, s.cold.assume(since))
		}
	}
}

// startCold returns the state of a server that this instance hears of for the first time. One that joins the others is cold
// unless its entry says otherwise. f.mu must be held.
func (f *Fleet) startCold(e Entry) coldState {
	var c coldState
	if since, ok := f.assumedCold[e.DataCentre]; ok && f.now().Sub(since) < maxColdTime {
		c = c.assume(since)
	}
	if !e.Cold.Known && f.loaded {
		return c.assume(f.now())
	}
	return c.report(e.Cold.asOf(f.now()))
}

// currentCold returns what this instance knows about a server, for its followers. f.mu must be held.
func (f *Fleet) currentCold(s *server, now time.Time) ColdReport {
	_, end, cold := f.coldLimit(s, now)
	if cold {
		return ColdReport{Known: true, Left: end.Sub(now), AsOf: now}
	}
	return ColdReport{Known: !s.cold.read.IsZero(), AsOf: s.cold.read}
}

// ColdOutlook is what the cold servers of a service accept together.
type ColdOutlook struct {
	// Share is this instance's share of what they accept, in requests per second.
	Share float64
	// Left is how much longer the last of them is cold.
	Left time.Duration
}

// ColdOutlook returns what the cold servers of a service accept.
func (f *Fleet) ColdOutlook(service string) ColdOutlook {
	f.mu.Lock()
	defer f.mu.Unlock()
	var o ColdOutlook
	now := f.now()
	for _, s := range f.byService[service] {
		l, end, cold := f.coldLimit(s, now)
		if !cold || !f.mayBeUsed(s, now) {
			continue
		}
		o.Share += l.RequestsPerSecond / float64(max(l.Instances, 1))
		o.Left = max(o.Left, end.Sub(now))
	}
	return o
}

// ColdServers returns how many servers are cold, and how often one has turned cold.
func (f *Fleet) ColdServers() (cold, spells int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, s := range f.byID {
		if _, _, is := f.coldLimit(s, now); is {
			cold++
		}
	}
	return cold, f.coldSpells
}
