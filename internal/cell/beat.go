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
	// maxNotes bounds the notes that wait for one slot.
	maxNotes = 8192
	// maxNotesPerMessage bounds the notes of one heartbeat.
	maxNotesPerMessage = 512
)

// peerQueue holds the notes that a slot has not acknowledged.
type peerQueue struct {
	notes []*cellv1.Note
	busy  bool
}

// beat runs one round against all slots. The returned group ends when every slot answered or timed out.
func (c *Controller) beat() *sync.WaitGroup {
	var sent sync.WaitGroup
	if failpoint.Hit("cell.acquire.before") != nil {
		return &sent
	}
	c.mu.Lock()
	now := time.Now()
	c.voter.Sweep(now)
	c.dropKept(now)
	round := c.proposer.Tick(now, c.acceptor)
	c.answerLocal(now, round)
	offers := c.offers
	c.offers = nil
	c.updateHeld(now)
	var requests [lease.MaxSlots]*cellv1.ExchangeRequest
	for slot := range c.cfg.Slots {
		if slot != c.cfg.Slot {
			requests[slot] = c.request(slot, round, offers)
		}
	}
	askExtra := c.extra != nil && !c.extraBusy
	c.extraBusy = c.extraBusy || askExtra
	need := c.proposer.NeedsExtra(now, round)
	c.mu.Unlock()
	if askExtra {
		sent.Go(func() { c.exchangeExtra(round, need) })
	}
	for slot, req := range requests[:c.cfg.Slots] {
		if req != nil {
			sent.Go(func() { c.exchange(slot, round, req) })
		}
	}
	return &sent
}

// answerLocal gives the round to the acceptor of the own slot. The mutex is held.
func (c *Controller) answerLocal(now time.Time, r lease.Round) {
	for _, g := range r.Release {
		c.acceptor.Release(g)
	}
	asked := make([]lease.Grant, c.cfg.Slots)
	for _, g := range r.Acquire {
		asked[g.Part] = g
	}
	for part, g := range asked {
		st := c.acceptor.State(now, part)
		if g.Term != 0 {
			st = c.acceptor.Acquire(now, g)
		}
		c.proposer.Answer(now, r.SentAt, c.cfg.Slot, g, st)
	}
}

// request builds the message for one slot. The mutex is held.
func (c *Controller) request(slot int, r lease.Round, offers []*cellv1.Offer) *cellv1.ExchangeRequest {
	req := &cellv1.ExchangeRequest{Sender: ownerProto(c.self), DataCentre: c.cfg.DataCentre, Offer: offers}
	for _, g := range r.Acquire {
		req.Acquire = append(req.Acquire, grantProto(g))
	}
	for _, g := range r.Release {
		req.Release = append(req.Release, grantProto(g))
	}
	for _, part := range r.Wanted {
		req.RequestHandOver = append(req.RequestHandOver, uint32(part))
	}
	if q := &c.peers[slot]; !q.busy && len(q.notes) > 0 {
		q.busy = true
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
	c.take(slot, r, res)
}

func (c *Controller) call(ctx context.Context, slot int, req *cellv1.ExchangeRequest) (*cellv1.ExchangeResponse, error) {
	client, err := c.client(slot)
	if err != nil {
		return nil, err
	}
	return client.Exchange(ctx, req)
}

// take gives a response to the proposer. The mutex is held.
func (c *Controller) take(slot int, r lease.Round, res *cellv1.ExchangeResponse) {
	if int(res.GetResponder().GetSlot()) != slot || !c.hear(ownerFrom(res.GetResponder())) {
		return
	}
	now := time.Now()
	c.proposer.Alive(r.SentAt, slot)
	for _, p := range res.Parts {
		st := stateFrom(p)
		c.proposer.Answer(now, r.SentAt, slot, askedFor(r, st.Part), st)
	}
	c.updateHeld(now)
}

func askedFor(r lease.Round, part int) lease.Grant {
	for _, g := range r.Acquire {
		if g.Part == part {
			return g
		}
	}
	return lease.Grant{}
}

// hear notes the incarnation of a slot's occupant and reports false for an outdated one. The mutex is held.
func (c *Controller) hear(o lease.Owner) bool {
	if o.Slot < 0 || o.Slot >= c.cfg.Slots || o.Slot == c.cfg.Slot || o.Incarnation < c.known[o.Slot] {
		c.metrics.strangers.Inc()
		return false
	}
	c.known[o.Slot] = o.Incarnation
	return true
}

// updateHeld compares the held parts with those last told. The mutex is held.
func (c *Controller) updateHeld(now time.Time) {
	held := c.proposer.Held(now)
	c.metrics.held.Set(float64(len(held)))
	if slices.Equal(held, c.held) {
		return
	}
	c.held = held
	c.metrics.changes.Inc()
	signal(c.changed)
}

// enqueue adds a note for every other slot. The mutex is held.
func (c *Controller) enqueue(n *cellv1.Note) {
	for slot := range c.cfg.Slots {
		if slot != c.cfg.Slot {
			c.enqueueFor(slot, n)
		}
	}
}

// enqueueFor adds a note for one slot; the oldest gives way when the queue is full. The mutex is held.
func (c *Controller) enqueueFor(slot int, n *cellv1.Note) {
	q := &c.peers[slot]
	if len(q.notes) >= maxNotes {
		q.notes = q.notes[1:]
		c.metrics.droppedNotes.Inc()
	}
	q.notes = append(q.notes, n)
}

// acknowledge ends the sending of notes to a slot. The mutex is held.
func (c *Controller) acknowledge(slot int, notes []*cellv1.Note, ok bool) {
	if len(notes) == 0 {
		return
	}
	q := &c.peers[slot]
	q.busy = false
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
