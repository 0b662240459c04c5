package keeper

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	keeperv1 "github.com/berylpond/berylpond/api/keeper/v1"
	"github.com/berylpond/berylpond/internal/failpoint"
	"github.com/berylpond/berylpond/internal/member"
	"github.com/berylpond/berylpond/internal/scheduler/framework"
	"github.com/berylpond/berylpond/internal/verdict"
)

var (
	// errMoved means that the requested instance is not, or is no longer, the keeper of the group.
	errMoved = errors.New("group has moved to another keeper")
	// errUnreachable means that no keeper responded. The call was not granted as far as this instance knows;
	// a grant whose message was lost is released when its stream ends.
	errUnreachable = errors.New("keeper is unreachable")
)

// Admit blocks until the call is granted a permit or refused. The error is always a *verdict.Error. Its verdict covers
// all attempts of the call: NotRun for a first attempt, and the verdict of the previous attempt (Call.PriorVerdict) for
// a retry.
func (c *Controller) Admit(ctx context.Context, call Call) (*Permit, error) {
	p, err := c.admit(ctx, call)
	if err != nil {
		return nil, c.refuse(&call, verdict.From(err))
	}
	if err := failpoint.Hit("keeper.grant.after"); err != nil {
		p.Done(Outcome{Kind: framework.Cancelled})
		return nil, c.refuse(&call, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonInternal, time.Second, "%v", err))
	}
	return p, nil
}

func (c *Controller) refuse(call *Call, e *verdict.Error) *verdict.Error {
	c.metrics.refused(e)
	if !call.IsRetry() {
		return e
	}
	combined := *e
	combined.Verdict = call.PriorVerdict
	return &combined
}

func (c *Controller) admit(ctx context.Context, call Call) (*Permit, error) {
	for range maxKeeperMoves {
		g := c.group(groupKey{call.Team, call.Model})
		if g == nil {
			return nil, verdict.Refuse(http.StatusNotFound, verdict.ReasonUnknownModel, 0, "no engines for model %q", call.Model)
		}
		p, err := c.admitOnce(ctx, g, call)
		switch {
		case errors.Is(err, errUnreachable):
			c.metrics.retries.WithLabelValues("keeper_unreachable").Inc()
			return c.admitLocal(ctx, g.degraded, call, "degraded")
		case errors.Is(err, errMoved):
			c.metrics.retries.WithLabelValues("keeper_moved").Inc()
			if err := sleep(ctx, c.cfg.RetryDelay); err != nil {
				return nil, cancelled(ctx)
			}
		default:
			return p, err
		}
	}
	g := c.group(groupKey{call.Team, call.Model})
	if g == nil {
		return nil, verdict.Refuse(http.StatusNotFound, verdict.ReasonUnknownModel, 0, "no engines for model %q", call.Model)
	}
	p, err := c.admitLocal(ctx, g.degraded, call, "degraded")
	if errors.Is(err, errMoved) {
		return nil, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOwnerUnavailable, time.Second, "the model's engines are changing hands")
	}
	return p, err
}

func (c *Controller) admitOnce(ctx context.Context, g *engineGroup, call Call) (*Permit, error) {
	if c.isKeeper(g) {
		return c.admitLocal(ctx, g.primary, call, "local")
	}
	keeper, ok := c.shards.Holder(g.shard())
	if !ok {
		return nil, errUnreachable
	}
	if keeper.ID == c.table.Self().ID {
		// This instance is still listed as the holder of the shard, but its lease has expired.
		return nil, errMoved
	}
	return c.admitRemote(ctx, keeper, call)
}

// admitLocal requests a permit from a scheduler in this process. mode is the metric label.
func (c *Controller) admitLocal(ctx context.Context, r *runner, call Call, mode string) (*Permit, error) {
	g, err := c.wait(ctx, r, call.Call, nil)
	if err != nil {
		return nil, err
	}
	c.metrics.grants.WithLabelValues(mode).Inc()
	c.metrics.queueWait.Observe(g.QueueWait.Seconds())
	return &Permit{Engine: g.Engine, CachedTokens: int(g.CachedTokens), source: localPermit{r, call.ID}}, nil
}

// wait queues the call until it is granted or refused. It returns errMoved when the runner dropped the call. onQueued,
// if set, is called every queuedKeepalive while the call is queued.
func (c *Controller) wait(ctx context.Context, r *runner, call framework.Call,
	onQueued func()) (*framework.Grant, error) {
	ch, refusal := r.submit(call)
	if refusal != nil {
		return nil, refusal
	}
	result, ok := awaitResult(ctx, ch, onQueued)
	if !ok {
		if r.cancel(call.ID) {
			return nil, cancelled(ctx)
		}
		result = <-ch
	}
	switch {
	case result.refusal != nil:
		return nil, result.refusal
	case result.grant == nil:
		return nil, errMoved
	case ctx.Err() != nil:
		r.done(call.ID, framework.Outcome{Kind: framework.Cancelled})
		return nil, cancelled(ctx)
	}
	return result.grant, nil
}

// awaitResult returns false when ctx ends before the result arrives.
func awaitResult(ctx context.Context, ch <-chan admitResult, onQueued func()) (admitResult, bool) {
	var tick <-chan time.Time
	if onQueued != nil {
		t := time.NewTicker(queuedKeepalive)
		defer t.Stop()
		tick = t.C
	}
	for {
		select {
		case a := <-ch:
			return a, true
		case <-ctx.Done():
			return admitResult{}, false
		case <-tick:
			onQueued()
		}
	}
}

// admitRemote requests a permit from the group's keeper on another instance.
func (c *Controller) admitRemote(ctx context.Context, keeper member.Instance, call Call) (*Permit, error) {
	conn, err := c.dialer.Conn(keeper.PeerAddr)
	if err != nil {
		return nil, errUnreachable
	}
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	timer := time.AfterFunc(c.cfg.KeepaliveTimeout, cancel)
	resetTimeout := func() { timer.Reset(c.cfg.KeepaliveTimeout) }
	p, err := c.openStream(streamCtx, cancel, resetTimeout, keeperv1.NewKeeperClient(conn), call)
	detached := stop()
	inTime := timer.Stop()
	switch {
	case err == nil && detached && inTime:
		c.metrics.grants.WithLabelValues("remote").Inc()
		return p, nil
	case ctx.Err() != nil:
		cancel()
		return nil, cancelled(ctx)
	case err == nil:
		cancel()
		return nil, errUnreachable
	}
	cancel()
	return nil, err
}

func (c *Controller) openStream(ctx context.Context, cancel, resetTimeout func(), client keeperv1.KeeperClient,
	call Call) (*Permit, error) {
	stream, err := client.Admit(ctx)
	if err != nil {
		return nil, unreachable(err)
	}
	request := &keeperv1.AdmitRequest{Kind: &keeperv1.AdmitRequest_Call{Call: callToWire(call, c.now())}}
	if err := stream.Send(request); err != nil {
		return nil, unreachable(err)
	}
	reply, err := stream.Recv()
	for err == nil && reply.GetQueued() != nil {
		resetTimeout()
		reply, err = stream.Recv()
	}
	if err != nil {
		return nil, unreachable(err)
	}
	if granted := reply.GetGranted(); granted != nil {
		c.metrics.queueWait.Observe((time.Duration(granted.GetQueueWaitUs()) * time.Microsecond).Seconds())
		source := &remotePermit{stream: stream, cancel: cancel}
		return &Permit{Engine: granted.GetEngine(), CachedTokens: int(granted.GetCachedTokens()), source: source}, nil
	}
	if reply.GetRefused().GetMoved() {
		return nil, errMoved
	}
	return nil, refusedFromWire(reply.GetRefused())
}

func unreachable(err error) error {
	klog.V(2).InfoS("Keeper did not respond", "err", err)
	return errUnreachable
}

func cancelled(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Refuse(http.StatusGatewayTimeout, verdict.ReasonDeadline, 0, "the deadline passed in the queue")
	}
	// 499 is the nonstandard status for a client that closed the request, as in nginx.
	return verdict.Refuse(499, verdict.ReasonCancelled, 0, "the caller gave up in the queue")
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
