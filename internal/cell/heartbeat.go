package cell

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	cellv1 "github.com/berylpond/berylpond/api/cell/v1"
	"github.com/berylpond/berylpond/internal/failpoint"
	"github.com/berylpond/berylpond/internal/lease"
)

const (
	// maxNotes is the maximum number of notes queued for one slot.
	maxNotes = 8192
	// maxNotesPerMessage is the maximum number of notes in one heartbeat.
	maxNotesPerMessage = 512
)

// noteQueue holds the notes that one slot has not acknowledged. A note reports the withdrawal, the outcome or the
// durability of a claim.
type noteQueue struct {
	notes []*cellv1.Note
	// inFlight is set while a message with notes awaits its response.
	inFlight bool
}

// runRound sends one heartbeat to all slots. The returned group is done when every slot has responded or timed out.
func (c *Controller) runRound() *sync.WaitGroup {
	var group sync.WaitGroup
	if failpoint.Hit("cell.acquire.before") != nil {
		return &group
	}
	c.mu.Lock()
	now := time.Now()
	c.voter.Sweep(now)
	c.dropExpiredTables(now)
	round := c.proposer.Tick(now, c.acceptor)
	c.exchangeLocal(now, round)
	offers := c.offers
	c.offers = nil
	c.updateHeld(now)
	var requests [lease.MaxSlots]*cellv1.ExchangeRequest
	for slot := range c.cfg.Slots {
		if slot != c.cfg.Slot {
			requests[slot] = c.request(slot, round, offers)
		}
	}
	askWitness := c.witness != nil && !c.witnessBusy
	c.witnessBusy = c.witnessBusy || askWitness
	needWitness := c.proposer.NeedsWitness(now, round)
	c.mu.Unlock()
	if askWitness {
		group.Go(func() { c.exchangeWitness(round, needWitness) })
	}
	for slot, req := range requests[:c.cfg.Slots] {
		if req != nil {
			group.Go(func() { c.exchange(slot, round, req) })
		}
	}
	return &group
}

// exchangeLocal applies the round to the acceptor of the local slot. c.mu must be held.
func (c *Controller) exchangeLocal(now time.Time, r lease.Round) {
	for _, g := range r.Release {
		c.acceptor.Release(g)
	}
	requested := make([]lease.Grant, c.cfg.Slots)
	for _, g := range r.Acquire {
		requested[g.Shard] = g
	}
	for shard, g := range requested {
		st := c.acceptor.State(now, shard)
		if g.Term != 0 {
			st = c.acceptor.Acquire(now, g)
		}
		c.proposer.HandleResponse(now, r.SentAt, c.cfg.Slot, g, st)
	}
}

// request builds the heartbeat for one slot. c.mu must be held.
func (c *Controller) request(slot int, r lease.Round, offers []*cellv1.Offer) *cellv1.ExchangeRequest {
	req := &cellv1.ExchangeRequest{Sender: ownerProto(c.self), DataCentre: c.cfg.DataCentre, Offer: offers}
	for _, g := range r.Acquire {
		req.Acquire = append(req.Acquire, grantProto(g))
	}
	for _, g := range r.Release {
		req.Release = append(req.Release, grantProto(g))
	}
	for _, shard := range r.RequestHandOver {
		req.RequestHandOver = append(req.RequestHandOver, uint32(shard))
	}
	if q := &c.noteQueues[slot]; !q.inFlight && len(q.notes) > 0 {
		q.inFlight = true
		req.Notes = slices.Clone(q.notes[:min(len(q.notes), maxNotesPerMessage)])
	}
	return req
}

func (c *Controller) exchange(slot int, r lease.Round, req *cellv1.ExchangeRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.Lease)
	defer cancel()
	res, err := c.call(ctx, slot, req)
	if err == nil {
		err = failpoint.Hit("cell.acquire.after")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledge(slot, req.Notes, err == nil)
	if err != nil {
		c.metrics.exchanges.WithLabelValues("failed").Inc()
		klog.V(4).InfoS("Heartbeat to slot failed", "slot", slot, "err", err)
		return
	}
	c.metrics.exchanges.WithLabelValues("answered").Inc()
	c.handleResponse(slot, r, res)
}

func (c *Controller) call(ctx context.Context, slot int, req *cellv1.ExchangeRequest) (*cellv1.ExchangeResponse, error) {
	client, err := c.client(slot)
	if err != nil {
		return nil, err
	}
	return client.Exchange(ctx, req)
}

// handleResponse passes the response of a slot to the proposer. c.mu must be held.
func (c *Controller) handleResponse(slot int, r lease.Round, res *cellv1.ExchangeResponse) {
	if int(res.GetResponder().GetSlot()) != slot || !c.observeIncarnation(ownerFrom(res.GetResponder())) {
		return
	}
	now := time.Now()
	c.proposer.RecordResponse(r.SentAt, slot)
	for _, p := range res.Parts {
		st := stateFrom(p)
		c.proposer.HandleResponse(now, r.SentAt, slot, requestedGrant(r, st.Shard), st)
	}
	c.updateHeld(now)
}

func requestedGrant(r lease.Round, shard int) lease.Grant {
	for _, g := range r.Acquire {
		if g.Shard == shard {
			return g
		}
	}
	return lease.Grant{}
}

// observeIncarnation records the incarnation of a slot's occupant. It returns false for one that has been replaced and
// for an invalid slot. c.mu must be held.
func (c *Controller) observeIncarnation(o lease.Owner) bool {
	if o.Slot < 0 || o.Slot >= c.cfg.Slots || o.Slot == c.cfg.Slot || o.Incarnation < c.incarnations[o.Slot] {
		c.metrics.rejectedSenders.Inc()
		return false
	}
	c.incarnations[o.Slot] = o.Incarnation
	return true
}

// updateHeld signals a change if the held shards differ from those last reported. c.mu must be held.
func (c *Controller) updateHeld(now time.Time) {
	held := c.proposer.HeldShards(now)
	c.metrics.held.Set(float64(len(held)))
	if slices.Equal(held, c.held) {
		return
	}
	c.held = held
	c.metrics.heldChanges.Inc()
	signal(c.changed)
}

// enqueue queues a note for every other slot. c.mu must be held.
func (c *Controller) enqueue(n *cellv1.Note) {
	for slot := range c.cfg.Slots {
		if slot != c.cfg.Slot {
			c.enqueueFor(slot, n)
		}
	}
}

// enqueueFor queues a note for one slot and drops the oldest one if the queue is full. c.mu must be held.
func (c *Controller) enqueueFor(slot int, n *cellv1.Note) {
	q := &c.noteQueues[slot]
	if len(q.notes) >= maxNotes {
		q.notes = q.notes[1:]
		c.metrics.droppedNotes.Inc()
	}
	q.notes = append(q.notes, n)
}

// acknowledge removes the notes that a slot has received; if ok is false they stay queued. c.mu must be held.
func (c *Controller) acknowledge(slot int, notes []*cellv1.Note, ok bool) {
	if len(notes) == 0 {
		return
	}
	q := &c.noteQueues[slot]
	q.inFlight = false
	if !ok {
		return
	}
	last := slices.Index(q.notes, notes[len(notes)-1])
	q.notes = slices.Clone(q.notes[last+1:])
}

func (c *Controller) client(slot int) (cellv1.CellClient, error) {
	in, ok := c.table.AtSlot(c.cfg.DataCentre, slot)
	if !ok || in.PeerAddr == "" {
		return nil, errNoAddress
	}
	conn, err := c.dial.Conn(in.PeerAddr)
	if err != nil {
		return nil, err
	}
	return cellv1.NewCellClient(conn), nil
}
