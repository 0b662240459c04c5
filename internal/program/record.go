package program

import (
	"context"
	"net/http"
	"time"

	programv1 "github.com/berylpond/berylpond/api/program/v1"
	"github.com/berylpond/berylpond/internal/verdict"
)

// record makes the event durable, then applies it. If recording fails, the event stays pending. An event that does not
// fit the state is never recorded, since it might precede the event it conflicts with in the log.
func (c *Controller) record(ctx context.Context, shard int, term uint64, ev *programv1.Event) error {
	switch c.check(ev) {
	case Duplicate:
		return nil
	case Rejected:
		return verdict.Refuse(http.StatusConflict, verdict.ReasonWrongHead, 0, "the program has moved on")
	}
	record := c.rec.Record
	if ev.GetTurnCommitted() == nil && ev.GetCreated() == nil {
		// For reservations, abandoned turns and ends of programs a majority of the cell suffices until they reach the log.
		record = c.rec.RecordOnMajority
	}
	if err := record(ctx, shard, term, ev); err != nil {
		c.mu.Lock()
		c.pending[ev.Program] = ev
		c.mu.Unlock()
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNotDurable, retryNotDurable,
			"the program's record could not be kept outside this instance")
	}
	if currentTerm, ok := c.shards.HeldTerm(shard); !ok || currentTerm != term {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOwnerUnavailable, retryNotDurable,
			"this instance lost the program's part while recording")
	}
	if c.Apply(ev) == Rejected {
		return verdict.Refuse(http.StatusConflict, verdict.ReasonWrongHead, 0, "the program moved on while recording")
	}
	return nil
}

func (c *Controller) check(ev *programv1.Event) Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Check(ev)
}

// recordPending records the pending event of an earlier failed attempt, if there is one.
func (c *Controller) recordPending(ctx context.Context, id string, shard int, term uint64) error {
	c.mu.Lock()
	ev := c.pending[id]
	c.mu.Unlock()
	if ev == nil {
		return nil
	}
	if err := c.record(ctx, shard, term, ev); err != nil && verdict.From(err).Reason != verdict.ReasonWrongHead {
		return err
	}
	c.clearPending(id)
	return nil
}

func (c *Controller) clearPending(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// RecordForwarded records the end of a turn that began at a previous holder of the shard. It is accepted only if it
// follows the program's current head. While a call of the program is in progress here it is refused with
// ReasonTurnInProgress: if two turns were recorded concurrently, later readers of the log might see them in the
// opposite order.
func (c *Controller) RecordForwarded(ctx context.Context, ev *programv1.Event) error {
	shard, term, refused := c.heldShard(ev.Program)
	if refused != nil {
		return refused
	}
	if !c.acquire(ev.Program) {
		return turnInProgress()
	}
	defer c.release(ev.Program)
	if err := c.recordPending(ctx, ev.Program, shard, term); err != nil {
		return err
	}
	return c.record(ctx, shard, term, ev)
}

// recordOrForward records the end of a turn here, or at the shard's new holder if the lease has moved meanwhile.
func (c *Controller) recordOrForward(ctx context.Context, shard int, term uint64, ev *programv1.Event) error {
	if currentTerm, ok := c.shards.HeldTerm(shard); ok && currentTerm == term {
		err := c.record(ctx, shard, term, ev)
		if err == nil {
			return nil
		}
		if currentTerm, ok := c.shards.HeldTerm(shard); ok && currentTerm == term {
			return err
		}
	}
	for {
		err := c.forward(ctx, shard, ev)
		if err == nil {
			c.Apply(ev)
			c.clearPending(ev.Program)
			return nil
		}
		if e := verdict.From(err); e.Reason == verdict.ReasonWrongHead {
			return e
		}
		select {
		case <-time.After(forwardRetryDelay):
		case <-ctx.Done():
			return err
		}
	}
}
