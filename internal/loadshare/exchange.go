package loadshare

import (
	"sync"
	"time"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/backendlimit"
)

const (
	// reportInterval is the minimum interval between two reports of an instance; it asks for tokens more often than that.
	reportInterval = 200 * time.Millisecond
	// noReport is the revision in requests that carry no report.
	noReport = -1
)

// Fleet is what an instance knows of its backend servers.
type Fleet interface {
	// ReportLoads returns what this instance has in progress, and what it has seen since the last call.
	ReportLoads() []Load
	// RestoreLoads gives back what was seen, as the report was lost.
	RestoreLoads([]Load)
	// LearnLoads replaces what the other instances have in progress and have seen, as of a time.
	LearnLoads(others []Load, asOf time.Time)
	// InService reports whether an incarnation of a server takes requests.
	InService(id string, incarnation int64) bool
}

// Exchange reports the loads of an instance to the holder and takes its sums; at the holder it adds them up.
type Exchange struct {
	fleet   Fleet
	now     func() time.Time
	metrics *Metrics

	mu sync.Mutex
	// holder is the instance that was last reported to, revision that of its last sums, and own what it was told.
	holder   string
	revision int64
	reported time.Time
	own      []Load
	// lost counts the reports that were lost since the last response.
	lost int
	sums *Sums
	sent map[string]time.Time
}

// NewExchange returns an exchange for the fleet.
func NewExchange(f Fleet, now func() time.Time, m *Metrics) *Exchange {
	return &Exchange{fleet: f, now: now, metrics: m, sums: NewSums(), sent: map[string]time.Time{}}
}

// Report adds this instance's loads to a request to the holder.
func (x *Exchange) Report(holder string, r *turnv1.TakeRequest) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	if holder != x.holder {
		x.holder, x.revision, x.reported = holder, 0, time.Time{}
	}
	r.LoadsRevision = noReport
	if now.Sub(x.reported) < reportInterval {
		return
	}
	x.metrics.reports.WithLabelValues("sent").Inc()
	x.reported, x.own = now, x.fleet.ReportLoads()
	r.LoadsRevision, r.Loads = x.revision, encode(x.own)
}

// ReportFailed tells that the request was lost. What was seen goes into the next report, but not beyond that: an instance
// that is cut off from the holder sees servers fail that others reach.
func (x *Exchange) ReportFailed(r *turnv1.TakeRequest) {
	if r.LoadsRevision == noReport {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.metrics.reports.WithLabelValues("lost").Inc()
	if x.lost++; x.lost == 1 {
		x.fleet.RestoreLoads(x.own)
	}
	x.reported = time.Time{}
}

// Learn takes the sums of a response.
func (x *Exchange) Learn(resp *turnv1.TakeResponse) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lost = 0
	if resp.LoadsRevision <= 0 || resp.LoadsRevision == x.revision {
		return
	}
	x.revision = resp.LoadsRevision
	x.metrics.sums.Inc()
	x.fleet.LearnLoads(without(decode(resp.Loads), x.own), x.reported)
}

// without takes what this instance has in progress itself from the sums.
func without(sums, own []Load) []Load {
	mine := make(map[backendlimit.Server]Load, len(own))
	for _, l := range own {
		mine[l.Server] = l
	}
	for i := range sums {
		l, m := &sums[i], mine[sums[i].Server]
		l.Requests = max(l.Requests-m.Requests, 0)
		l.Reading, l.Left = max(l.Reading-m.Reading, 0), max(l.Left-m.Left, 0)
	}
	return sums
}

// Serve is the holder's part: it takes the report of a request and adds the sums to the response when they are due.
func (x *Exchange) Serve(r *turnv1.TakeRequest, resp *turnv1.TakeResponse) {
	if r.LoadsRevision == noReport {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	x.sums.Report(r.Instance, x.known(decode(r.Loads)), now)
	round, revision := x.sums.Round(now)
	n, interval := Budget(len(round), x.sums.Instances())
	resp.LoadsRevision = revision
	// Reports come at intervals of their own, so that half of one counts as due. An instance that has no sums of this holder
	// gets them at once; one that doesn't take part sends neither a revision nor loads.
	isNew := r.LoadsRevision == 0 && len(r.Loads) > 0
	if !isNew && (revision == r.LoadsRevision || now.Sub(x.sent[r.Instance]) < interval-reportInterval/2) {
		resp.LoadsRevision = r.LoadsRevision
		return
	}
	if len(x.sent) > 2*x.sums.Instances()+16 {
		clear(x.sent)
	}
	x.sent[r.Instance] = now
	resp.Loads = encode(Most(round, n))
}

// known drops the loads of servers that are not in service here, so that a garbled report fills no memory.
func (x *Exchange) known(loads []Load) []Load {
	out := loads[:0]
	for _, l := range loads {
		if x.fleet.InService(l.Server.ID, l.Server.Incarnation) {
			out = append(out, l)
		}
	}
	return out
}

func encode(loads []Load) []*turnv1.BackendLoad {
	out := make([]*turnv1.BackendLoad, len(loads))
	messages := make([]turnv1.BackendLoad, len(loads))
	for i, l := range loads {
		m := &messages[i]
		m.Id, m.Incarnation = l.Server.ID, l.Server.Incarnation
		m.MeanRequests = float32(l.Requests)
		m.Requests, m.WorkUs, m.ReadingUs = int32(l.Requests+0.5), l.Left.Microseconds(), l.Reading.Microseconds()
		m.Completed, m.Failed = int32(l.Completed+0.5), int32(l.Failed+0.5)
		if m.Compared = int32(l.Compared + 0.5); m.Compared > 0 {
			m.Slowness = l.Slowness
		}
		out[i] = m
	}
	return out
}

func decode(messages []*turnv1.BackendLoad) []Load {
	messages = messages[:min(len(messages), maxReportedServers)]
	out := make([]Load, 0, len(messages))
	for _, m := range messages {
		out = append(out, Load{
			Server:   backendlimit.Server{ID: m.GetId(), Incarnation: m.GetIncarnation()},
			Requests: float64(m.GetMeanRequests()), Reading: microseconds(m.GetReadingUs()), Left: microseconds(m.GetWorkUs()),
			Completed: float64(m.GetCompleted()), Failed: float64(m.GetFailed()),
			Compared: float64(compared(m)), Slowness: m.GetSlowness(),
		}.bounded())
	}
	return out
}

// compared is the weight of the slowness; builds that don't tell it count all completed requests.
func compared(m *turnv1.BackendLoad) int32 {
	if m.GetCompared() == 0 && m.GetSlowness() > 0 {
		return m.GetCompleted()
	}
	return m.GetCompared()
}

func microseconds(n int64) time.Duration {
	return time.Duration(min(max(n, 0), maxWork.Microseconds())) * time.Microsecond
}
