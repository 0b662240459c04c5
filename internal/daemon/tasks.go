package daemon

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	programv1 "github.com/berylpond/berylpond/api/program/v1"
	"github.com/berylpond/berylpond/internal/config"
	"github.com/berylpond/berylpond/internal/frontend/request"
	"github.com/berylpond/berylpond/internal/keeper"
	"github.com/berylpond/berylpond/internal/ledger"
	"github.com/berylpond/berylpond/internal/peer"
	"github.com/berylpond/berylpond/internal/program"
	"github.com/berylpond/berylpond/internal/quota/quotactl"
	"github.com/berylpond/berylpond/internal/scheduler/framework"
	"github.com/berylpond/berylpond/internal/verdict"
)

const (
	sweepInterval = time.Second
	// republishDivisor is the divisor of the log's retention that gives the age at which a program's events are
	// appended to the log again, so that they do not expire.
	republishDivisor = 2
	// republishBatch is the maximum number of programs republished in one sweep.
	republishBatch = 50
	// collectInterval is the interval at which held shards are checked and failed collections of events are retried.
	collectInterval = 100 * time.Millisecond
)

// runCell joins the cell once the log has been read to its end and every promise that the slot's previous occupant may
// have given has expired.
func (d *Daemon) runCell(ctx context.Context) error {
	if err := d.journal.WaitCaughtUp(ctx); err != nil {
		return err
	}
	promiseTime := time.Duration(d.settings.Timing.Lease + d.settings.Timing.ClockMargin)
	select {
	case <-time.After(time.Until(d.started.Add(promiseTime))):
	case <-ctx.Done():
		return ctx.Err()
	}
	d.ledger.SetReady()
	d.cell.SetPredecessor(d.predecessor.Load())
	return d.cell.Run(ctx)
}

// runCollect makes each newly acquired shard ready by collecting the events that earlier holders recorded.
func (d *Daemon) runCollect(ctx context.Context) error {
	tick := time.NewTicker(collectInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		for shard := range d.shards.ShardCount() {
			d.collectEvents(ctx, shard)
		}
	}
}

func (d *Daemon) collectEvents(ctx context.Context, shard int) {
	term, ok := d.shards.HeldTerm(shard)
	if !ok || d.programs.Ready(shard, term) {
		return
	}
	err := d.ledger.CollectHeld(ctx, shard, term, d.applyCollected)
	if err != nil {
		klog.V(1).InfoS("Shard is not ready", "part", shard, "term", term, "err", err)
		return
	}
	d.programs.SetReady(shard, term)
	klog.InfoS("Shard is ready", "part", shard, "term", term)
}

func (d *Daemon) applyCollected(ev *programv1.Event) ledger.ApplyResult {
	switch d.programs.Apply(ev) {
	case program.Accepted:
		return ledger.Accepted
	case program.Duplicate:
		return ledger.Duplicate
	}
	return ledger.Rejected
}

// applyEvent applies an event read from the log at the given offset and marks it as read in the ledger.
func (d *Daemon) applyEvent(offset int64, ev *programv1.Event) {
	d.programs.Apply(ev)
	d.ledger.MarkRead(d.shardOf(ev.Program), offset, ev)
}

func (d *Daemon) shardOf(id string) int { return program.ShardOf(id, d.shards.ShardCount()) }

// forwardEvent sends an event to the current holder of a shard. It is used for a turn that ended after its shard had
// moved.
func (d *Daemon) forwardEvent(ctx context.Context, shard int, ev *programv1.Event) error {
	in, ok := d.shards.Holder(shard)
	if !ok || in.ID == d.table.Self().ID {
		return verdict.Fail(503, verdict.ReasonOwnerUnavailable, "the program's part has no other holder yet")
	}
	conn, err := d.pool.ReadyConn(ctx, in.PeerAddr)
	if err != nil {
		return err
	}
	raw, err := proto.Marshal(ev)
	if err != nil {
		return err
	}
	reply, err := peerv1.NewPeerClient(conn).RecordEvent(ctx, &peerv1.RecordEventRequest{Event: raw})
	if err != nil {
		return err
	}
	if reply.Failure != nil {
		return peer.FailureFromWire(reply.Failure)
	}
	return nil
}

func (d *Daemon) runSweep(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if n := d.programs.Sweep(ctx); n > 0 {
			klog.InfoS("Ended programs past their deadline", "programs", n)
		}
		d.republish()
		d.pool.CloseIdle()
	}
}

// republish appends the events of long-lived programs to the log again before they expire, a few programs at a time.
func (d *Daemon) republish() {
	if d.journal.events.Unavailable() {
		return
	}
	before := time.Now().Add(-time.Duration(d.settings.Platform.Retention) / republishDivisor)
	n, err := d.programs.Republish(before, republishBatch, d.journal.Enqueue)
	if err != nil {
		klog.ErrorS(err, "Failed to republish programs")
	}
	if n > 0 {
		klog.V(1).InfoS("Republished programs", "programs", n)
	}
}

// configChanged applies a new configuration to the components of this instance.
func (d *Daemon) configChanged(s *config.Snapshot) {
	var version uint64
	for _, team := range s.Teams() {
		version += s.Version(team)
	}
	var limits []quotactl.Limit
	for _, a := range s.Accounts() {
		limits = append(limits, quotactl.Limit{Account: request.QuotaName(a.Team, a.Name), Rate: a.Rate, Burst: float64(a.Burst)})
	}
	d.quota.SetLimits(version, limits)
	d.auth.CancelWithdrawn(s)
	d.backends.SetSnapshot(s)
	d.updateModels()
}

// updateModels passes the current engines of each model to the keeper.
func (d *Daemon) updateModels() {
	snap := d.config.Snapshot()
	if snap == nil {
		return
	}
	type key struct{ team, model string }
	groups := map[key]*keeper.Group{}
	var order []key
	for _, b := range d.backends.All() {
		if !b.IsModel {
			continue
		}
		k := key{b.Team, b.Name}
		g := groups[k]
		if g == nil {
			o := snap.Document(b.Team).Objective
			g = &keeper.Group{Team: b.Team, Model: b.Name, Drained: map[string]bool{}, Objective: framework.Objective{
				ProgramLatency: o.ProgramLatency, WastedCache: o.WastedCache,
				RefusalsWithinRate: o.RefusalsWithinRate, WorstServedAccount: o.WorstServedAccount,
			}}
			groups[k] = g
			order = append(order, k)
		}
		g.Engines = append(g.Engines, b.Address)
		g.Drained[b.Address] = b.Draining
	}
	var list []keeper.Group
	for _, k := range order {
		list = append(list, *groups[k])
	}
	d.keeper.SetGroups(list)
}
