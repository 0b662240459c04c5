package cell

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	cellv1 "github.com/berylpond/berylpond/api/cell/v1"
	"github.com/berylpond/berylpond/internal/claim"
	"github.com/berylpond/berylpond/internal/invariant"
	"github.com/berylpond/berylpond/internal/lease"
)

var errNoAddress = errors.New("no address known for the slot")

var errNotOccupant = status.Error(codes.FailedPrecondition, "sender is not the present occupant of a slot of this cell")

// server implements the cell service for the other slots.
type server struct {
	cellv1.UnimplementedCellServer
	c *Controller
}

// acceptsSender reports whether the sender is the current occupant of a slot of this cell. c.mu must be held.
func (c *Controller) acceptsSender(dataCentre string, sender *cellv1.Owner) bool {
	return dataCentre == c.cfg.DataCentre && c.observeIncarnation(ownerFrom(sender))
}

// Exchange implements cellv1.CellServer.
func (s *server) Exchange(_ context.Context, req *cellv1.ExchangeRequest) (*cellv1.ExchangeResponse, error) {
	c := s.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.acceptsSender(req.DataCentre, req.Sender) {
		return nil, errNotOccupant
	}
	now := time.Now()
	sender := ownerFrom(req.Sender)
	for _, g := range req.Release {
		c.acceptor.Release(grantFrom(sender, g))
	}
	res := &cellv1.ExchangeResponse{Responder: ownerProto(c.self)}
	res.Parts = c.acquire(now, sender, req.Acquire)
	for _, shard := range req.RequestHandOver {
		c.handOver(now, int(shard), sender.Slot)
	}
	for _, o := range req.Offer {
		if int(o.ToSlot) == c.cfg.Slot {
			c.proposer.HandleOffer(now, int(o.Part))
			signal(c.wake)
		}
	}
	c.applyNotes(now, sender, req.Notes)
	return res, nil
}

// acquire requests the grants from the acceptor and returns the state of every shard. c.mu must be held.
func (c *Controller) acquire(now time.Time, sender lease.Owner, grants []*cellv1.Grant) []*cellv1.PartState {
	requested := make([]lease.Grant, c.cfg.Slots)
	for _, p := range grants {
		if int(p.Part) < c.cfg.Slots {
			requested[p.Part] = grantFrom(sender, p)
		}
	}
	states := make([]*cellv1.PartState, 0, c.cfg.Slots)
	for shard, g := range requested {
		st := c.acceptor.State(now, shard)
		if g.Term != 0 {
			invariant.Check(!st.Held || st.Term != g.Term || st.Holder == sender, "cell_one_holder_per_term",
				"part", shard, "term", g.Term)
			st = c.acceptor.Acquire(now, g)
		}
		states = append(states, stateProto(st))
	}
	return states
}

// handOver releases a shard in favour of its home slot. c.mu must be held.
func (c *Controller) handOver(now time.Time, shard, toSlot int) {
	if !c.proposer.HandOver(now, shard, toSlot) {
		return
	}
	c.offers = append(c.offers, &cellv1.Offer{Part: uint32(shard), ToSlot: uint32(toSlot)})
	c.updateHeld(now)
	signal(c.wake)
}

// Vote implements cellv1.CellServer.
func (s *server) Vote(_ context.Context, req *cellv1.VoteRequest) (*cellv1.VoteResponse, error) {
	c := s.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.acceptsSender(req.DataCentre, req.Executor) {
		return nil, errNotOccupant
	}
	ex := executor(ownerFrom(req.Executor), req.Attempt)
	response := c.voter.Vote(time.Now(), req.Id, time.UnixMilli(req.IssuedUnixMs), ex)
	return &cellv1.VoteResponse{
		Result:   cellv1.VoteResponse_Result(response.Result),
		Executor: &cellv1.Owner{Slot: uint32(response.Executor.Slot), Incarnation: response.Executor.Incarnation},
		Outcome:  response.Outcome,
		Attempt:  response.Executor.Attempt,
	}, nil
}

// Notes implements cellv1.CellServer.
func (s *server) Notes(_ context.Context, req *cellv1.NotesRequest) (*cellv1.NotesResponse, error) {
	c := s.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.acceptsSender(req.DataCentre, req.Sender) {
		return nil, errNotOccupant
	}
	c.applyNotes(time.Now(), ownerFrom(req.Sender), req.Notes)
	return &cellv1.NotesResponse{}, nil
}

// applyNotes applies notes about the sender's claims to the voter. c.mu must be held.
func (c *Controller) applyNotes(now time.Time, sender lease.Owner, notes []*cellv1.Note) {
	for _, n := range notes {
		ex := executor(sender, n.Attempt)
		issued := time.UnixMilli(n.IssuedUnixMs)
		switch n.Kind {
		case cellv1.Note_KIND_WITHDRAW:
			c.voter.Withdraw(now, n.Id, issued, ex)
		case cellv1.Note_KIND_SETTLE:
			c.settle(now, n.Id, issued, ex, n.Outcome)
		case cellv1.Note_KIND_DURABLE:
			c.voter.MarkDurable(n.Id, ex)
		}
	}
}

// settle records the outcome of a claim. c.mu must be held.
func (c *Controller) settle(now time.Time, id string, issued time.Time, ex claim.Executor, outcome []byte) {
	ok := c.voter.RecordOutcome(now, id, issued, ex, outcome)
	invariant.Check(ok, "cell_one_executor_per_id", "id", id)
}

func executor(o lease.Owner, attempt uint64) claim.Executor {
	return claim.Executor{Slot: o.Slot, Incarnation: o.Incarnation, Attempt: attempt}
}
