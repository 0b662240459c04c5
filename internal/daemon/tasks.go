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
	// republishShare is the part of the log's retention after which a program's events are put on the log again.
	republishShare = 2
	// republishBatch is the number of programs republished in one sweep.
	republishBatch = 50
	// gatherPause is the pause before a part whose events could not be gathered is tried again.
	gatherPause = 100 * time.Millisecond
)

// runCell takes part in the cell once the log was read and the promises of the slot's previous occupant have run out.
func (d *Daemon) runCell(ctx context.Context) error {
	if err := d.journal.WaitCaughtUp(ctx); err != nil {
		return err
	}
	quiet := time.Duration(d.set.Timing.Lease + d.set.Timing.Margin)
	select {
	case <-time.After(time.Until(d.started.Add(quiet))):
	case <-ctx.Done():
		return ctx.Err()
	}
	d.ledger.SetReady()
	d.cell.SetPredecessor(d.predecessor.Load())
	return d.cell.Run(ctx)
}

// runGather makes each newly held part ready: it collects the events that earlier holders had recorded.
func (d *Daemon) runGather(ctx context.Context) error {
	tick := time.NewTicker(gatherPause)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		for part := range d.parts.Parts() {
			d.gather(ctx, part)
		}
	}
}

func (d *Daemon) gather(ctx context.Context, part int) {
	term, ok := d.parts.Holds(part)
	if !ok || d.programs.Ready(part, term) {
		return
	}
	err := d.ledger.Gather(ctx, part, term, d.applyGathered)
	if err != nil {
		klog.V(1).InfoS("Part is not ready", "part", part, "term", term, "err", err)
		return
	}
	d.programs.SetReady(part, term)
	klog.InfoS("Part is ready", "part", part, "term", term)
}

func (d *Daemon) applyGathered(ev *programv1.Event) ledger.Applied {
	switch d.programs.Apply(ev) {
	case program.Accepted:
		return ledger.Changed
	case program.Repeat:
		return ledger.Known
	}
	return ledger.Unfit
}

// applyEvent takes in an event from the log.
func (d *Daemon) applyEvent(ev *programv1.Event) {
	d.programs.Apply(ev)
	d.ledger.Seen(d.partOf(ev.Program), ev.Id)
}

func (d *Daemon) partOf(id string) int { return program.PartOf(id, d.parts.Parts()) }

// forwardEvent passes an event of a turn that ended after its part moved to the part's new holder.
func (d *Daemon) forwardEvent(ctx context.Context, part int, ev *programv1.Event) error {
	in, ok := d.parts.Holder(part)
	if !ok || in.ID == d.table.Self().ID {
		return verdict.Fail(503, verdict.ReasonOwnerUnavailable, "the program's part has no other holder yet")
	}
	conn, err := d.pool.Ready(ctx, in.PeerAddr)
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
		d.pool.Trim()
	}
}

// republish keeps the events of long-lived programs on the log, a few programs at a time.
func (d *Daemon) republish() {
	if d.journal.events.Away() {
		return
	}
	before := time.Now().Add(-time.Duration(d.set.Platform.Retention) / republishShare)
	n, err := d.programs.Republish(before, republishBatch, d.journal.Enqueue)
	if err != nil {
		klog.ErrorS(err, "Program is not republished")
	}
	if n > 0 {
		klog.V(1).InfoS("Republished programs", "programs", n)
	}
}

// configChanged puts a new configuration into force here.
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
	d.auth.EndWithdrawn(s)
	d.backends.SetSnapshot(s)
	d.updateModels()
}

// updateModels tells the keeper which engines there are.
func (d *Daemon) updateModels() {
	snap := d.config.Snapshot()
	if snap == nil {
		return
	}
	type key struct{ team, model string }
	groups := map[key]*keeper.Group{}
	var order []key
	for _, b := range d.backends.All() {
		if !b.Model {
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
		g.Drained[b.Address] = b.Leaving
	}
	var list []keeper.Group
	for _, k := range order {
		list = append(list, *groups[k])
	}
	d.keeper.SetModels(list)
}
