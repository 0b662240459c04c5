package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/berylpond/berylpond/internal/routing"
	"github.com/berylpond/berylpond/internal/verdict"
)

// plannedStop is a planned stop of the instance. Its connections are closed soon after the end.
type plannedStop struct{ end time.Time }

// admit decides about a request that has arrived during the stop, and until when it must be answered. A request that may be
// repeated is given the time that is left. Any other one is taken only if it ends in time whatever happens: with a shorter
// deadline its outcome would be unknown, while another instance can still run it as it is.
//
// Load pattern: clients go on using open connections during the stop, and their requests arrive until its end.
func (s plannedStop) admit(now, respondBy time.Time, repeatable bool) (time.Time, bool) {
	switch {
	case !respondBy.After(s.end):
		return respondBy, true
	case repeatable && now.Add(minAttemptTime).Before(s.end):
		return s.end, true
	default:
		return time.Time{}, false
	}
}

// stopState holds the planned stop, once there is one.
type stopState struct {
	planned atomic.Pointer[plannedStop]
	// ended is done at the end of the stop.
	ended context.Context
	end   context.CancelFunc
}

func newStopState() *stopState {
	s := &stopState{}
	s.ended, s.end = context.WithCancel(context.Background())
	return s
}

// BeginStop tells that the connections of clients are closed soon after the given time. Requests of which nothing has been
// relayed by then get a failure as their answer. It must be called once at most.
func (g *Gateway) BeginStop(end time.Time) {
	g.stop.planned.Store(&plannedStop{end: end})
	time.AfterFunc(end.Sub(g.now()), g.stop.end)
}

// admitWhileStopping refuses a request that can't be served before the instance ends, or shortens its deadline. It is called
// once the whole request has arrived.
func (x *exchange) admitWhileStopping() error {
	s := x.stop.planned.Load()
	if s == nil {
		return nil
	}
	respondBy, taken := s.admit(x.now(), x.respondBy, x.route.Kind == routing.Idempotent)
	if !taken {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonShuttingDown, retryAfterTransient,
			"the instance stops in %v, and the request may take longer", s.end.Sub(x.now()).Round(time.Millisecond))
	}
	x.respondBy = respondBy
	return nil
}

// untilStopped returns a context that also ends at the end of a planned stop, unless part of the response has been relayed
// by then: what is relayed goes on for as long as the connection does.
func (x *exchange) untilStopped(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	x.outliveStop = context.AfterFunc(x.stop.ended, cancel)
	return ctx, func() {
		x.outliveStop()
		cancel()
	}
}
