// Package loadshare adds up what all instances have in progress at the backend servers and what they have seen there. Each
// instance reports its part to one holder along with its requests for tokens, and gets the sums with the response.
package loadshare

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/berylpond/berylpond/internal/backendlimit"
)

const (
	// reportTTL is how long a report counts that the instance doesn't replace, longer than the interval between two
	// requests to the holder.
	reportTTL = 900 * time.Millisecond
	// roundInterval is the minimum interval between two rounds of sums.
	roundInterval = 100 * time.Millisecond
	// smoothing is the time constant of the sums of what is in progress: news are older than most requests are long, so
	// that only what lasts is of use to the instances.
	smoothing = 500 * time.Millisecond
	// evidenceHalfLife is the time in which completed and failed requests lose half their weight.
	evidenceHalfLife = 3 * time.Second
	// maxServers bounds the servers of the sums, maxReportedServers those of a report.
	maxServers         = 16 << 10
	maxReportedServers = 4096
	// minWeight is the weight below which evidence is forgotten.
	minWeight = 0.05
)

// Bounds of what is believed of a report.
const (
	maxRequests  = 4096
	maxWork      = time.Minute
	maxCount     = 1000
	minSlowness  = 0.1
	maxSlowness  = 10
	maxReporters = 16 << 10
)

// Load is what there is in progress at a server, and what was seen there.
type Load struct {
	Server backendlimit.Server
	// Requests is the number of requests in progress, Reading the time to read the prompts of those that have had no event
	// yet, Left the time for all that is left of them.
	Requests      float64
	Reading, Left time.Duration
	// Completed and Failed count requests that ended; Slowness is the mean ratio of the time that Compared of the completed ones
	// took to one that is the same for all servers of the service, zero if unknown.
	Completed, Failed, Compared, Slowness float64
}

func (l Load) bounded() Load {
	l.Requests = bound(l.Requests, 0, maxRequests)
	l.Reading, l.Left = min(max(l.Reading, 0), maxWork), min(max(l.Left, 0), maxWork)
	l.Completed, l.Failed = bound(l.Completed, 0, maxCount), bound(l.Failed, 0, maxCount)
	l.Compared = bound(l.Compared, 0, maxCount)
	if l.Slowness = bound(l.Slowness, 0, maxSlowness); l.Slowness > 0 {
		l.Slowness = max(l.Slowness, minSlowness)
	}
	return l
}

// bound limits a number that another instance sent; what isn't a number is the lower limit.
func bound(x, low, high float64) float64 {
	if math.IsNaN(x) {
		return low
	}
	return min(max(x, low), high)
}

// Sums is the holder's part: the last report of each instance, and the sums over them. It answers loads that no single
// instance sees, as each has a small part of the requests. It is not safe for concurrent use.
type Sums struct {
	reports map[string]report
	servers map[backendlimit.Server]*sum
	// revision increases with each round; it begins at a random number, so that revisions of different holders differ.
	revision int64
	rounded  time.Time
	round    []Load
}

type report struct {
	at    time.Time
	loads []Load
}

// sum is the state of one server. slow is the sum of the ratios of those completed requests that were compared.
type sum struct {
	smooth                            Load
	completed, failed, slow, compared float64
}

// NewSums returns sums without reports.
func NewSums() *Sums {
	return &Sums{
		reports: map[string]report{}, servers: map[backendlimit.Server]*sum{}, revision: 1 + rand.Int64N(1<<62),
	}
}

// Report takes the report of an instance in place of its last one.
func (s *Sums) Report(instance string, loads []Load, now time.Time) {
	if _, known := s.reports[instance]; !known && len(s.reports) >= maxReporters {
		return
	}
	if len(loads) > maxReportedServers {
		loads = loads[:maxReportedServers]
	}
	for i := range loads {
		loads[i] = loads[i].bounded()
		l := loads[i]
		if l.Completed == 0 && l.Failed == 0 && l.Compared == 0 {
			continue
		}
		if e := s.server(l.Server); e != nil {
			e.completed, e.failed = e.completed+l.Completed, e.failed+l.Failed
			if l.Slowness > 0 {
				e.slow, e.compared = e.slow+l.Compared*l.Slowness, e.compared+l.Compared
			}
		}
	}
	s.reports[instance] = report{at: now, loads: loads}
}

func (s *Sums) server(id backendlimit.Server) *sum {
	e := s.servers[id]
	if e == nil && len(s.servers) < maxServers {
		e = &sum{smooth: Load{Server: id}}
		s.servers[id] = e
	}
	return e
}

// Round returns the sums and their revision, those with the most requests in progress or the most failures first. They
// change at most once in roundInterval.
func (s *Sums) Round(now time.Time) ([]Load, int64) {
	elapsed := now.Sub(s.rounded)
	if elapsed < roundInterval {
		return s.round, s.revision
	}
	gain := 1 - math.Exp(-elapsed.Seconds()/smoothing.Seconds())
	fade := math.Exp2(-elapsed.Seconds() / evidenceHalfLife.Seconds())
	if s.rounded.IsZero() {
		gain, fade = 1, 1
	}
	s.rounded = now
	s.revision++
	current := map[backendlimit.Server]Load{}
	for instance, r := range s.reports {
		if now.Sub(r.at) > reportTTL {
			delete(s.reports, instance)
			continue
		}
		for _, l := range r.loads {
			c := current[l.Server]
			c.Requests, c.Reading, c.Left = c.Requests+l.Requests, c.Reading+l.Reading, c.Left+l.Left
			current[l.Server] = c
		}
	}
	for id := range current {
		s.server(id)
	}
	s.round = make([]Load, 0, len(s.servers))
	for id, e := range s.servers {
		e.update(current[id], gain, fade)
		if e.idle() {
			delete(s.servers, id)
			continue
		}
		s.round = append(s.round, e.load())
	}
	slices.SortFunc(s.round, func(a, b Load) int { return cmp.Compare(b.rank(), a.rank()) })
	return s.round, s.revision
}

func (l Load) rank() float64 { return l.Requests + l.Failed }

// Most returns the first n of the sums of a round. If that leaves servers out, it takes from each what the first of those
// has in progress, so that the servers compare as if all were listed.
func Most(round []Load, n int) []Load {
	if len(round) <= n {
		return round
	}
	base := round[n]
	out := slices.Clone(round[:n])
	for i := range out {
		l := &out[i]
		l.Requests = max(l.Requests-base.Requests, 0)
		l.Reading, l.Left = max(l.Reading-base.Reading, 0), max(l.Left-base.Left, 0)
	}
	return out
}

func (e *sum) update(now Load, gain, fade float64) {
	m := &e.smooth
	m.Requests += gain * (now.Requests - m.Requests)
	m.Reading += time.Duration(gain * float64(now.Reading-m.Reading))
	m.Left += time.Duration(gain * float64(now.Left-m.Left))
	e.completed, e.failed = e.completed*fade, e.failed*fade
	e.slow, e.compared = e.slow*fade, e.compared*fade
}

func (e *sum) idle() bool { return e.smooth.Requests < minWeight && e.completed+e.failed < minWeight }

func (e *sum) load() Load {
	l := e.smooth
	l.Completed, l.Failed = e.completed, e.failed
	if e.compared > 0 {
		l.Slowness, l.Compared = e.slow/e.compared, e.compared
	}
	return l
}

// Instances returns the number of instances whose reports count.
func (s *Sums) Instances() int { return len(s.reports) }
