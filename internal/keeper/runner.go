package keeper

import (
	"sync"
	"time"

	"github.com/berylpond/berylpond/internal/invariant"
	"github.com/berylpond/berylpond/internal/scheduler"
	"github.com/berylpond/berylpond/internal/scheduler/framework"
	"github.com/berylpond/berylpond/internal/verdict"
)

// answer is what a queued call gets: a grant, a refusal, or neither when its keeper lost the group.
type answer struct {
	grant   *framework.Grant
	refusal *verdict.Error
}

// runner serialises access to one scheduler.Group and wakes the calls that wait in it.
type runner struct {
	metrics *metrics
	now     func() time.Time
	// holds reports whether this instance may decide for the group now. It is asked at every decision, since the
	// process may have been paused for any time. Nil means always.
	holds func() bool

	mu      sync.Mutex
	group   *scheduler.Group         // guarded by mu
	waiters map[string]chan<- answer // guarded by mu
	granted map[string]struct{}      // guarded by mu: calls with an open permit
	after   map[string]uint64        // guarded by mu: next cache event to read, by engine
}

func newRunner(s framework.Settings, m *metrics, now func() time.Time, holds func() bool) *runner {
	return &runner{
		holds:   holds,
		metrics: m,
		now:     now,
		group:   scheduler.New(s),
		waiters: map[string]chan<- answer{},
		granted: map[string]struct{}{},
		after:   map[string]uint64{},
	}
}

// submit queues the call. The channel gets exactly one answer, unless cancel takes the call back first.
func (r *runner) submit(c framework.Call) (<-chan answer, *verdict.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known(c.ID) {
		return nil, verdict.Refuse(statusConflict, verdict.ReasonDuplicate, 0, "call %s already has or awaits a permit", c.ID)
	}
	now := r.now()
	if err := r.group.Submit(now, c); err != nil {
		return nil, err
	}
	ch := make(chan answer, 1)
	r.waiters[c.ID] = ch
	r.decide(now)
	return ch, nil
}

// known is called with mu held.
func (r *runner) known(id string) bool {
	_, waits := r.waiters[id]
	_, runs := r.granted[id]
	return waits || runs
}

// cancel takes a queued call back. It reports false when the call was answered already: its channel then holds the
// answer.
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
	r.decide(now)
}

// tick lets time pass: deadlines, leases, probation.
func (r *runner) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decide(r.now())
}

// drop answers every queued call with neither grant nor refusal. Open permits stay.
func (r *runner) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropAll(r.now())
}

// dropAll is called with mu held.
func (r *runner) dropAll(now time.Time) {
	for id, ch := range r.waiters {
		r.group.Cancel(now, id)
		ch <- answer{}
		delete(r.waiters, id)
	}
}

// observe runs f on the group and decides again.
func (r *runner) observe(f func(g *scheduler.Group, now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	f(r.group, now)
	r.decide(now)
}

// decide is called with mu held.
func (r *runner) decide(now time.Time) {
	if r.holds != nil && !r.holds() {
		r.dropAll(now)
		return
	}
	d := r.group.Decide(now)
	for i := range d.Grants {
		r.grant(&d.Grants[i])
	}
	for _, refusal := range d.Refusals {
		r.answer(refusal.CallID, answer{refusal: refusal.Err})
	}
}

// grant is called with mu held.
func (r *runner) grant(g *framework.Grant) {
	_, twice := r.granted[g.CallID]
	invariant.Check(!twice, "keeper.call_granted_once", "call", g.CallID)
	r.granted[g.CallID] = struct{}{}
	r.answer(g.CallID, answer{grant: g})
}

// answer is called with mu held.
func (r *runner) answer(id string, a answer) {
	ch, ok := r.waiters[id]
	if !invariant.Check(ok, "keeper.answered_call_waits", "call", id) {
		return
	}
	delete(r.waiters, id)
	ch <- a
}

// idle reports whether no call waits or runs.
func (r *runner) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.waiters) == 0 && len(r.granted) == 0
}

func (r *runner) eventsAfter(engine string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.after[engine]
}

func (r *runner) setEventsAfter(engine string, next uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.after[engine] = next
}
