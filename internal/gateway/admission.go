package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/admission"
	"github.com/berylpond/berylpond/internal/feature"
	"github.com/berylpond/berylpond/internal/homes"
	"github.com/berylpond/berylpond/internal/placement"
	"github.com/berylpond/berylpond/internal/verdict"
)

const (
	// reviewInterval is how often the waiting requests of a service are looked at beside the ends of requests: what other
	// instances have sent changes without an event here.
	reviewInterval = 5 * time.Millisecond
	// retrySpread is the fraction of a Retry-After that is added at random at most, so that clients which were refused at one
	// moment do not come back at one moment.
	retrySpread = 0.25
)

// rooms holds the queues of requests that wait for a place, by the backend servers that they may use: a queue is reviewed
// with the outlook of any one of its requests.
type rooms struct {
	programs *programMemory

	mu     sync.Mutex
	queues map[roomKey]*roomQueue
}

// roomKey names the backend servers that a request may use.
type roomKey struct{ service, homes string }

func newRooms() *rooms { return &rooms{programs: newProgramMemory(), queues: map[roomKey]*roomQueue{}} }

func (r *rooms) queue(service string, in homes.Set) *roomQueue {
	k := roomKey{service, in.String()}
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.queues[k]
	if q == nil {
		q = &roomQueue{queue: admission.NewQueue(rand.Float64), decided: map[*admission.Waiter]chan struct{}{}}
		r.queues[k] = q
	}
	return q
}

// roomQueue is the queue of one service in one set of regions, shared by the requests that wait in it.
type roomQueue struct {
	mu    sync.Mutex
	queue *admission.Queue
	// decided holds, by waiting request, the channel that is closed once it waits no longer.
	decided  map[*admission.Waiter]chan struct{}
	reviewed time.Time
}

// offer asks for a place. The channel is closed once the request waits no longer.
func (q *roomQueue) offer(now time.Time, r admission.Request, o placement.Outlook) (*admission.Waiter, <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w, decided := q.queue.Offer(now, r, o)
	done := make(chan struct{})
	q.decided[w] = done
	q.settle(decided)
	return w, done
}

// review decides on the waiting requests, unless that was done just before.
func (q *roomQueue) review(now time.Time, outlook func() placement.Outlook) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queue.Len() == 0 || now.Sub(q.reviewed) < reviewInterval/2 {
		return
	}
	q.reviewed = now
	q.settle(q.queue.Review(now, outlook()))
}

func (q *roomQueue) settle(decided []*admission.Waiter) {
	for _, w := range decided {
		close(q.decided[w])
		delete(q.decided, w)
	}
}

// withdraw removes a request that no longer waits for its place.
func (q *roomQueue) withdraw(w *admission.Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, waits := q.decided[w]; waits {
		delete(q.decided, w)
		q.queue.Withdraw(w)
		return
	}
	if w.Decision.Outcome == admission.Admit {
		q.queue.NotSent()
	}
}

// room is the place of one admitted request: reserved at first, taken once the request has a backend server.
type room struct {
	queue   *roomQueue
	outlook func() placement.Outlook
	taken   time.Time
	left    bool
}

// take records that the request was given a backend server.
func (r *room) take(now time.Time) {
	if r == nil || !r.taken.IsZero() || r.left {
		return
	}
	r.taken = now
	r.queue.mu.Lock()
	defer r.queue.mu.Unlock()
	r.queue.queue.Sent()
}

// leave gives the place to the requests that wait.
func (r *room) leave(now time.Time) {
	if r == nil || r.left {
		return
	}
	r.left = true
	r.queue.mu.Lock()
	if r.taken.IsZero() {
		r.queue.queue.NotSent()
	} else {
		r.queue.queue.Ended(now.Sub(r.taken))
	}
	r.queue.reviewed = time.Time{}
	r.queue.mu.Unlock()
	r.queue.review(now, r.outlook)
}

// awaitRoom holds the request until there is a place for it, or refuses it.
func (x *exchange) awaitRoom(ctx context.Context) error {
	if x.room != nil || !x.features.Enabled(feature.Admission) {
		return nil
	}
	criteria := x.criteria()
	outlook := func() placement.Outlook { return x.fleet.Outlook(criteria) }
	q := x.rooms.queue(x.service, x.homes)
	r := x.admissionRequest()
	w, decided := q.offer(x.now(), r, outlook())
	if err := x.awaitDecision(ctx, q, w, decided, outlook); err != nil {
		return err
	}
	held := x.now().Sub(x.started)
	x.logAdmission(w, held)
	x.metrics.observeAdmission(w, held)
	if w.Decision.Outcome == admission.Refuse {
		x.rooms.programs.refused(x.programKey(), x.now())
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoRoom, w.Decision.RetryAfter,
			"%d places of %d servers are taken (%s)", w.Decision.Outlook.Places, w.Decision.Outlook.Servers, w.Decision.Cause)
	}
	x.room = &room{queue: q, outlook: outlook}
	return nil
}

// awaitDecision waits until the request waits no longer in the queue. It returns an error if the client left or the
// deadline passed before.
func (x *exchange) awaitDecision(ctx context.Context, q *roomQueue, w *admission.Waiter, decided <-chan struct{},
	outlook func() placement.Outlook) error {
	select {
	case <-decided:
		return nil
	default:
	}
	x.metrics.waiting.Inc()
	defer x.metrics.waiting.Dec()
	t := time.NewTicker(reviewInterval)
	defer t.Stop()
	for {
		select {
		case <-decided:
			return nil
		case <-t.C:
			q.review(x.now(), outlook)
		case <-ctx.Done():
			q.withdraw(w)
			return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonQueueTimeout, retryAfterTransient,
				"no place came free: %v", ctx.Err())
		}
	}
}

func (x *exchange) admissionRequest() admission.Request {
	r := admission.Request{
		Account: x.account.Name, Priority: x.route.Priority, Arrived: x.started, RespondBy: x.respondBy,
		Objective: x.route.LatencyObjective, Bytes: len(x.body),
	}
	if x.account.HasPriority {
		r.Priority = x.account.Priority
	}
	if x.TimeToFinish > 0 || x.PastFinish {
		r.FinishBy = x.started.Add(x.TimeToFinish)
	}
	if x.isFirstTurn {
		r.Class = admission.FirstTurn
		r.RefusedBefore, r.ProgramTime = x.rooms.programs.lookUp(x.programKey(), x.route.Name)
	}
	return r
}

func (x *exchange) programKey() programKey { return programKey{x.account.Name, x.Program} }

// logAdmission writes a line on a request that waited or was refused.
func (x *exchange) logAdmission(w *admission.Waiter, held time.Duration) {
	d := w.Decision
	if d.Cause == admission.CauseUnknown || d.Cause == admission.CauseFree && d.Expected == 0 {
		return
	}
	klog.InfoS("request waited for a place", "request", x.ID, "program", x.Program, "service", x.service,
		"class", w.Class.String(), "priority", w.Priority, "outcome", d.Outcome.String(), "cause", string(d.Cause),
		"held_ms", held.Milliseconds(), "expected_ms", d.Expected.Milliseconds(), "ahead", d.Ahead,
		"servers", d.Outlook.Servers, "places", d.Outlook.Places, "free", d.Outlook.Free,
		"wait_ms", d.Outlook.Wait.Milliseconds(), "left_ms", x.remaining().Milliseconds(),
		"retry_after_ms", d.RetryAfter.Milliseconds())
}

// spreadRetryAfter adds a random part to the Retry-After of a refusal whose end is not known.
func (x *exchange) spreadRetryAfter(e *verdict.Error) *verdict.Error {
	if e.RetryAfter <= 0 || !x.features.Enabled(feature.Admission) {
		return e
	}
	switch e.Reason {
	case verdict.ReasonNoRoom, verdict.ReasonQuarantined, verdict.ReasonEvacuated:
		// The queue has spread it, or it is when the refusals end.
		return e
	}
	spread := *e
	spread.RetryAfter += time.Duration(retrySpread * rand.Float64() * float64(e.RetryAfter))
	return &spread
}
