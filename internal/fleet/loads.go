package fleet

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/backendlimit"
	"github.com/berylpond/berylpond/internal/loadshare"
	"github.com/berylpond/berylpond/internal/placement"
)

const (
	// failurePrior is the number of completed requests that a server is assumed to have had.
	failurePrior = 4.0
	// minFailures is the least weight of failures that counts as evidence.
	minFailures = 1.0
	// maxAvoidedShare is the share of a service's servers that are avoided for their failures at once.
	maxAvoidedShare = 1.0 / 3
	// sharedGain is how much of the difference of a server's load from the mean of its service counts. All instances answer
	// to a difference at once, and learn of the answer late; with the whole difference they all take the same servers by
	// turns.
	sharedGain = 0.25
	// localSamples and remoteSamples are the servers of this and of another data centre that one plain call compares while
	// loads are shared.
	localSamples, remoteSamples = 3, 1
)

// seen is what this instance has seen of a server since its last report.
type seen struct {
	completed, failed int
	// slow is the sum of the ratios of the times of the completed requests that could be compared.
	slow     float64
	compared int
}

// compare records the ratio of the time of a request to what all instances compare with. The mean of this instance won't do:
// one that uses slow servers mostly finds them as fast as that.
func (s *seen) compare(ratio float64) {
	s.slow += ratio
	s.compared++
}

// shared is what other instances have in progress at a server, and what all have seen there.
type shared struct {
	loadshare.Load
	// failing is the share of requests that the server is expected to fail, zero if it is not to be avoided.
	failing float64
	// mean is the mean of the service's servers.
	mean meanLoad
}

// meanLoad is the mean of what other instances have in progress at the servers of a service.
type meanLoad struct{ requests, reading float64 }

// ReportLoads implements loadshare.Fleet.
func (f *Fleet) ReportLoads() []loadshare.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []loadshare.Load
	for _, s := range f.byID {
		if s.inFlight == 0 && s.seen == (seen{}) {
			continue
		}
		l := loadshare.Load{
			Server:   backendlimit.Server{ID: s.ID, Incarnation: s.Incarnation},
			Requests: float64(s.inFlight), Reading: s.reading, Left: s.left, Completed: float64(s.seen.completed),
			Failed: float64(s.seen.failed),
		}
		if s.seen.compared > 0 {
			l.Compared, l.Slowness = float64(s.seen.compared), s.seen.slow/float64(s.seen.compared)
		}
		s.seen = seen{}
		out = append(out, l)
	}
	return out
}

// RestoreLoads implements loadshare.Fleet.
func (f *Fleet) RestoreLoads(lost []loadshare.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range lost {
		s := f.byID[l.Server.ID]
		if s == nil || s.Incarnation != l.Server.Incarnation {
			continue
		}
		s.seen.completed += int(l.Completed)
		s.seen.failed += int(l.Failed)
		if l.Slowness > 0 {
			s.seen.compared += int(l.Compared)
			s.seen.slow += l.Compared * l.Slowness
		}
	}
}

// LearnLoads implements loadshare.Fleet.
func (f *Fleet) LearnLoads(others []loadshare.Load, asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sharedAt = asOf
	avoided := map[*server]bool{}
	for _, s := range f.byID {
		if s.shared.failing > 0 {
			avoided[s] = true
		}
		s.shared = shared{}
	}
	failing := map[string][]*server{}
	for _, l := range others {
		s := f.byID[l.Server.ID]
		if s == nil || s.Incarnation != l.Server.Incarnation {
			continue
		}
		s.shared.Load = l
		if l.Failed >= minFailures {
			failing[s.Service] = append(failing[s.Service], s)
		}
	}
	for service, servers := range f.byService {
		setMean(servers)
		avoid(failing[service], len(servers))
	}
	for _, s := range f.byID {
		logAvoided(s, avoided[s])
	}
}

// logAvoided writes a line when a server begins or ceases to be avoided.
func logAvoided(s *server, before bool) {
	if now := s.shared.failing > 0; now != before {
		klog.InfoS("backend server is avoided for its failures", "backend", s.ID, "service", s.Service, "avoided", now,
			"failed", s.shared.Failed, "completed", s.shared.Completed, "share", s.shared.failing)
	}
}

// setMean sets the mean load of the servers of a service, and their slowness relative to their mean.
func setMean(servers []*server) {
	var m meanLoad
	for _, s := range servers {
		m.requests += s.shared.Requests / float64(len(servers))
		m.reading += float64(s.shared.Reading) / float64(len(servers))
	}
	slowness, compared := 0.0, 0
	for _, s := range servers {
		s.shared.mean = m
		if s.shared.Slowness > 0 {
			slowness, compared = slowness+s.shared.Slowness, compared+1
		}
	}
	// What instances compare with is the same for all servers, but not their mean.
	for _, s := range servers {
		if s.shared.Slowness > 0 {
			s.shared.Slowness *= float64(compared) / slowness
		}
	}
}

// avoid sets how far the failing servers of a service are avoided: those that fail the most, up to maxAvoidedShare of all.
func avoid(failing []*server, all int) {
	share := func(s *server) float64 {
		return s.shared.Failed / (s.shared.Failed + s.shared.Completed + failurePrior)
	}
	slices.SortFunc(failing, func(a, b *server) int { return cmp.Compare(share(b), share(a)) })
	for _, s := range failing[:min(len(failing), int(maxAvoidedShare*float64(all)))] {
		s.shared.failing = share(s)
	}
}

// sharedWeight returns how much the loads of other instances count now; zero if they are unknown.
func (f *Fleet) sharedWeight(now time.Time) float64 {
	if f.sharedAt.IsZero() {
		return 0
	}
	return loadshare.Weight(now.Sub(f.sharedAt))
}

// sharedAge returns how old the loads of other instances are, zero if there never were any.
func (f *Fleet) sharedAge(now time.Time) time.Duration {
	if f.sharedAt.IsZero() {
		return 0
	}
	return now.Sub(f.sharedAt)
}

// requestsAt returns the number of requests in progress at a server, those of other instances included.
func (f *Fleet) requestsAt(b *server, now time.Time) float64 {
	return float64(b.inFlight) + f.sharedWeight(now)*damped(b.shared.Requests, b.shared.mean.requests)
}

// readingAt returns the time to read the prompts of the requests in progress at a server, those of other instances included.
func (f *Fleet) readingAt(b *server, now time.Time) time.Duration {
	others := damped(float64(b.shared.Reading), b.shared.mean.reading)
	return b.reading + time.Duration(f.sharedWeight(now)*others)
}

// damped returns the mean of a service with a part of a server's difference from it.
func damped(x, mean float64) float64 { return mean + sharedGain*(x-mean) }

// loadAt returns the load of a server, that of other instances included.
func (f *Fleet) loadAt(b *server, now time.Time) placement.Load {
	weight := f.sharedWeight(now)
	return placement.Load{
		Requests: f.requestsAt(b, now), Slots: b.Slots,
		Reading:  f.readingAt(b, now),
		Slowness: f.slowness(b, now), Failing: weight * b.shared.failing,
	}
}

// slowness is the evidence of all instances, or this instance's own while there is none.
func (f *Fleet) slowness(b *server, now time.Time) float64 {
	if f.sharedWeight(now) > 0 && b.shared.Slowness > 0 {
		return placement.Slowness(b.shared.Compared*b.shared.Slowness, b.shared.Compared)
	}
	return b.speed.Slowness(now)
}

// leastLoadedOfSome compares a few servers of this data centre and of others. Load pattern: many instances have the same
// news of the loads, which is older than most calls are long; if each took the best of all servers, they would take the
// same one.
func (f *Fleet) leastLoadedOfSome(c Criteria, now time.Time, usable func(*server) bool) *server {
	p := f.placementOf(c.Service)
	f.groupsOf(c.Service, p)
	var best *server
	var lowest float64
	sample := func(ids []string, n int, factor, extra float64) {
		for range n {
			for range sampleTries {
				b := f.byID[ids[f.random(len(ids))]]
				if excluded(c.Exclude, b.ID) || !usable(b) {
					continue
				}
				if load := f.sharedLoad(b, now)*factor + f.extraLoad(&c, b, now) + extra; best == nil || load < lowest {
					best, lowest = b, load
				}
				break
			}
		}
	}
	if local := p.groups[f.dataCentre]; len(local) > 0 {
		sample(local, localSamples, 1, 0)
	}
	if other := p.dataCentres[f.random(len(p.dataCentres))]; other != f.dataCentre {
		factor, extra := 1+placement.RemoteFraction, remotePenalty
		if c.AnyDataCentre {
			factor, extra = 1, 0
		}
		sample(p.groups[other], remoteSamples, factor, extra)
	}
	return best
}

// sharedLoad is the load of a server as a fraction of its slots, in time of an average server, with what its failures cost.
func (f *Fleet) sharedLoad(b *server, now time.Time) float64 {
	l := f.loadAt(b, now)
	return l.Requests/float64(max(l.Slots, 1))*l.Slowness + placement.FailureCost*l.Failing
}
