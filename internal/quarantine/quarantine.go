package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

const (
	// defaultTTL is how long a quarantine lasts if the platform does not say how long its store keeps records.
	defaultTTL = 5 * time.Minute
	// holderSilence is the time without an exchange after which an instance decides by what it knows itself.
	holderSilence = 1300 * time.Millisecond
	// decisionInterval is the interval between decisions while there are crashes that have not settled.
	decisionInterval = 100 * time.Millisecond
	// expiryInterval is the interval between searches for what is too old.
	expiryInterval = time.Second
)

// Quarantine keeps requests that make backend servers crash from being sent on, at every instance. Each instance reports the
// requests that were in progress at a server that crashed to one of them, the holder, which decides. It is safe for concurrent
// use.
type Quarantine struct {
	detector *detector
	metrics  *Metrics
	now      func() time.Time
	// onNews is called when there is something to report to the holder.
	onNews func()
	// decided is signalled when there may be decisions to record in the store.
	decided chan struct{}
	loaded  chan struct{}

	mu       sync.Mutex
	register *register
	// unreported holds the records with news for the holder.
	unreported map[Fingerprint]bool
	// holder is the instance that last answered, and holderRevision the revision that it answered with: zero if it does not
	// know of suspects.
	holder         string
	holderRevision int64
	// lastAnswer is when a holder that knows of suspects last answered, lastServed when another instance was last answered.
	lastAnswer, lastServed time.Time
	// decisionDue is set while a decision is scheduled, lastNews is when a crash was last recorded.
	decisionDue bool
	lastNews    time.Time
	lastExpiry  time.Time
}

// Options holds the dependencies of a Quarantine.
type Options struct {
	// Retention is how long the platform's store keeps records. A quarantine lasts as long.
	Retention time.Duration
	// Probe tries to connect to a backend server. The error is backendpath.ErrServerDown if just that server refuses it.
	Probe ProbeFunc
	// InService reports whether an incarnation of a server is registered and has not announced that it leaves.
	InService func(Server) bool
	// OnNews is called when there is something to report to the holder.
	OnNews  func()
	Metrics *Metrics
}

// New returns an empty quarantine. ctx ends its background work.
func New(ctx context.Context, o Options) *Quarantine {
	ttl := o.Retention
	if ttl <= 0 {
		ttl = defaultTTL
	}
	q := &Quarantine{
		metrics: o.Metrics, now: time.Now, onNews: o.OnNews, decided: make(chan struct{}, 1), loaded: make(chan struct{}),
		register: newRegister(ttl, 1+rand.Int64N(1<<62)), unreported: map[Fingerprint]bool{},
	}
	q.detector = newDetector(ctx, o.Probe, o.InService, q.addCrash)
	return q
}

// Until returns the end of the quarantine of a request. It is zero if the request may be sent.
func (q *Quarantine) Until(id Identity) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.register.quarantinedUntil(id, q.now())
}

// BrokenOff records that a backend server ended a run without a whole response. It counts against the request only if the
// server turns out to have crashed.
func (q *Quarantine) BrokenOff(id Identity, r Run) { q.detector.brokenOff(id, r, q.now()) }

// Completed records that a run of the request ended with a whole response.
func (q *Quarantine) Completed(id Identity) {
	q.mu.Lock()
	now := q.now()
	before := q.quarantined(id, now)
	cleared := q.register.complete(id, now)
	for _, f := range cleared {
		q.unreported[f] = true
		q.logChange(f, before[f], "completed here", now)
	}
	q.mu.Unlock()
	if len(cleared) > 0 {
		q.onNews()
	}
}

// quarantined returns those of the fingerprints that are in quarantine. q.mu must be held.
func (q *Quarantine) quarantined(id Identity, now time.Time) map[Fingerprint]bool {
	out := map[Fingerprint]bool{}
	for _, f := range id {
		if r := q.register.records[f]; r != nil && r.quarantined(now) {
			out[f] = true
		}
	}
	return out
}

// addCrash records that the requests were in progress at a server that crashed.
func (q *Quarantine) addCrash(s Server, at time.Time, runs []brokenRun) {
	q.metrics.crashes.Inc()
	q.mu.Lock()
	for _, r := range runs {
		for _, f := range q.register.addCrash(r.id, s, crash{sent: r.sent, at: at}) {
			q.unreported[f] = true
		}
	}
	q.expectDecision(q.now())
	q.mu.Unlock()
	q.onNews()
}

// expectDecision has the suspects looked at until the crash that was recorded now has settled. q.mu must be held.
func (q *Quarantine) expectDecision(now time.Time) {
	q.lastNews = now
	q.scheduleDecision()
}

func (q *Quarantine) scheduleDecision() {
	if !q.decisionDue {
		q.decisionDue = true
		time.AfterFunc(decisionInterval, q.decide)
	}
}

// decide puts requests in quarantine if this instance is the holder, or if none answers.
func (q *Quarantine) decide() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.decisionDue = false
	now := q.now()
	if now.Sub(q.lastNews) <= settleTime {
		q.scheduleDecision()
	}
	if now.Sub(q.lastServed) > holderSilence && now.Sub(q.lastAnswer) <= holderSilence {
		// The holder has decided by now.
		q.onNews()
		return
	}
	for _, f := range q.register.decide(now) {
		q.unreported[f] = true
		q.logChange(f, false, "decided here", now)
	}
	q.update(now)
}

// update drops what is too old and has new decisions recorded in the store. q.mu must be held.
func (q *Quarantine) update(now time.Time) {
	if now.Sub(q.lastExpiry) >= expiryInterval {
		q.lastExpiry = now
		q.register.expire(now)
	}
	q.metrics.requests.Set(float64(q.register.countQuarantined(now)))
	select {
	case q.decided <- struct{}{}:
	default:
	}
}

// logChange logs the start or the end of a quarantine, if there is one. q.mu must be held.
func (q *Quarantine) logChange(f Fingerprint, before bool, source string, now time.Time) {
	r := q.register.records[f]
	after := r != nil && r.quarantined(now)
	covers := "request"
	if !f.isWhole() {
		covers = "prefix"
	}
	switch {
	case !before && after:
		servers := make([]string, 0, len(r.crashes))
		for s := range r.crashes {
			servers = append(servers, s.ID)
		}
		klog.InfoS("request put in quarantine: backend servers crash when they run it", "fingerprint", f.String(), "covers", covers,
			"source", source, "crashed", servers, "for_ms", r.until.Sub(now).Milliseconds())
	case before && !after:
		klog.InfoS("request released from quarantine: a server has run it", "fingerprint", f.String(), "covers", covers,
			"source", source)
	}
}

// mergeAll merges what another instance knows. q.mu must be held.
func (q *Quarantine) mergeAll(suspects []*turnv1.CrashSuspect, source string, now time.Time) {
	crashes := false
	for _, m := range suspects {
		f, other, ok := decode(m, now)
		if !ok {
			klog.InfoS("suspect without a valid fingerprint was skipped", "source", source)
			continue
		}
		before := q.quarantined(Identity{f}, now)[f]
		if q.register.merge(f, other) {
			crashes = crashes || len(other.crashes) > 0
			q.logChange(f, before, source, now)
		}
	}
	if crashes {
		q.expectDecision(now)
	}
	if len(q.register.records) > 0 {
		q.update(now)
	}
}
