package keeper

import (
	"sync"
	"time"

	"github.com/berylpond/berylpond/internal/invariant"
	"github.com/berylpond/berylpond/internal/scheduler"
	"github.com/berylpond/berylpond/internal/scheduler/framework"
	"github.com/berylpond/berylpond/internal/verdict"
)

// admitResult is the result for a queued call: a grant, a refusal, or neither if the call was dropped because the
// instance is no longer the keeper.
type admitResult struct {
	grant   *framework.Grant
	refusal *verdict.Error
}

// runner serialises access to one scheduler.Group and delivers results to the waiting calls.
type runner struct {
	metrics *metrics
	now     func() time.Time
	// isKeeper reports whether this instance may grant permits for the group now. It is called before every decision,
	// because the process may have been paused past the end of its lease. Nil means always.
	isKeeper func() bool

	mu        sync.Mutex
	group     *scheduler.Group              // guarded by mu
	waiters   map[string]chan<- admitResult // guarded by mu
	granted   map[string]struct{}           // guarded by mu: calls that hold a permit
	nextEvent map[string]uint64             // guarded by mu: sequence number after which to read cache events, by engine
}

func newRunner(s framework.Settings, m *metrics, now func() time.Time, isKeeper func() bool) *runner {
	return &runner{
		isKeeper:  isKeeper,
		metrics:   m,
		now:       now,
		group:     scheduler.New(s),
		waiters:   map[string]chan<- admitResult{},
		granted:   map[string]struct{}{},
		nextEvent: map[string]uint64{},
	}
}

// submit queues the call. Exactly one result is sent on the channel, unless cancel removes the call first.
func (r *runner) submit(c framework.Call) (<-chan admitResult, *verdict.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hasCallLocked(c.ID) {
		return nil, verdict.Refuse(statusConflict, verdict.ReasonDuplicate, 0, "call %s already has or awaits a permit", c.ID)
	}
	now := r.now()
	if err := r.group.Submit(now, c); err != nil {
		return nil, err
	}
	ch := make(chan admitResult, 1)
	r.waiters[c.ID] = ch
	r.decideLocked(now)
	return ch, nil
}

// hasCallLocked reports whether the call is waiting or granted. r.mu must be held.
func (r *runner) hasCallLocked(id string) bool {
	_, waits := r.waiters[id]
	_, runs := r.granted[id]
	return waits || runs
}

// cancel removes a queued call. It returns false if the call already has a result; its channel then holds the result.
func (r *runner) cancel(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.waiters[id]; !ok {
		return false
	}
	delete(r.waiters, id)
	r.group.Cancel(r.now(), id)
	return true
}

func (r *runner) progress(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group.Progress(r.now(), id)
}

func (r *runner) done(id string, o framework.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.granted[id]; !ok {
		return
	}
	delete(r.granted, id)
	now := r.now()
	r.group.Done(now, id, o)
	r.metrics.outcome(o.Kind)
	r.decideLocked(now)
}

// tick runs a decision, which applies everything that depends on time: deadlines, leases, probation.
func (r *runner) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decideLocked(r.now())
}

// dropQueue sends every queued call an empty result. Granted permits are not affected.
func (r *runner) dropQueue() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropQueueLocked(r.now())
}

// dropQueueLocked implements dropQueue. r.mu must be held.
func (r *runner) dropQueueLocked(now time.Time) {
	for id, ch := range r.waiters {
		r.group.Cancel(now, id)
		ch <- admitResult{}
		delete(r.waiters, id)
	}
}

// observe runs f on the group and then a decision.
func (r *runner) observe(f func(g *scheduler.Group, now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	f(r.group, now)
	r.decideLocked(now)
}

// decideLocked runs a scheduling decision and delivers its results. r.mu must be held.
func (r *runner) decideLocked(now time.Time) {
	if r.isKeeper != nil && !r.isKeeper() {
		r.dropQueueLocked(now)
		return
	}
	d := r.group.Decide(now)
	for i := range d.Grants {
		r.grantLocked(&d.Grants[i])
	}
	for _, refusal := range d.Refusals {
		r.deliverLocked(refusal.CallID, admitResult{refusal: refusal.Err})
	}
}

// grantLocked delivers a grant. r.mu must be held.
func (r *runner) grantLocked(g *framework.Grant) {
	_, duplicate := r.granted[g.CallID]
	invariant.Check(!duplicate, "keeper.call_granted_once", "call", g.CallID)
	r.granted[g.CallID] = struct{}{}
	r.deliverLocked(g.CallID, admitResult{grant: g})
}

// deliverLocked sends a result to a waiting call. r.mu must be held.
func (r *runner) deliverLocked(id string, a admitResult) {
	ch, ok := r.waiters[id]
	if !invariant.Check(ok, "keeper.answered_call_waits", "call", id) {
		return
	}
	delete(r.waiters, id)
	ch <- a
}

// idle reports whether no call is waiting or granted.
func (r *runner) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.waiters) == 0 && len(r.granted) == 0
}

func (r *runner) nextEventOf(engine string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nextEvent[engine]
}

func (r *runner) setNextEvent(engine string, next uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextEvent[engine] = next
}
