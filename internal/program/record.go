package program

import (
	"context"
	"net/http"
	"time"

	programv1 "github.com/berylpond/berylpond/api/program/v1"
	"github.com/berylpond/berylpond/internal/verdict"
)

// record makes the event durable, then applies it. When recording fails the event stays pending. An event that does not
// fit is never recorded: on the log it could come before the one that took its place.
func (c *Controller) record(ctx context.Context, part int, term uint64, ev *programv1.Event) error {
	switch c.fits(ev) {
	case Repeat:
		return nil
	case Rejected:
		return verdict.Refuse(http.StatusConflict, verdict.ReasonWrongHead, 0, "the program has moved on")
	}
	record := c.rec.Record
	if ev.GetTurnCommitted() == nil && ev.GetCreated() == nil {
		// Reservations and ends are bookkeeping between two turns; a majority of the cell is enough until the log has them.
		record = c.rec.RecordHeld
	}
	if err := record(ctx, part, term, ev); err != nil {
		c.mu.Lock()
		c.pending[ev.Program] = ev
		c.mu.Unlock()
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNotDurable, retryNotDurable,
			"the program's record could not be kept outside this instance")
	}
	if now, ok := c.parts.Holds(part); !ok || now != term {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOwnerUnavailable, retryNotDurable,
			"this instance lost the program's part while recording")
	}
	if c.Apply(ev) == Rejected {
		return verdict.Refuse(http.StatusConflict, verdict.ReasonWrongHead, 0, "the program moved on while recording")
	}
	return nil
}

func (c *Controller) fits(ev *programv1.Event) Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Fits(ev)
}

// flush records the event left pending by an earlier failure, if there is one.
func (c *Controller) flush(ctx context.Context, id string, part int, term uint64) error {
	c.mu.Lock()
	ev := c.pending[id]
	c.mu.Unlock()
	if ev == nil {
		return nil
	}
	if err := c.record(ctx, part, term, ev); err != nil && verdict.From(err).Reason != verdict.ReasonWrongHead {
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

// RecordForeign records the end of a turn that began at a previous holder of the part. The program's head decides
// whether it still fits. While a call of the program is under way here it is refused with ReasonTurnInProgress: of two
// turns that are recorded at once a later reader might see the other first.
func (c *Controller) RecordForeign(ctx context.Context, ev *programv1.Event) error {
	part, term, refused := c.hold(ev.Program)
	if refused != nil {
		return refused
	}
	if !c.acquire(ev.Program) {
		return turnInProgress()
	}
	defer c.release(ev.Program)
	if err := c.flush(ctx, ev.Program, part, term); err != nil {
		return err
	}
	return c.record(ctx, part, term, ev)
}

// recordOrForward records the end of a turn here, or at the part's new holder when the part has moved meanwhile.
func (c *Controller) recordOrForward(ctx context.Context, part int, term uint64, ev *programv1.Event) error {
	if now, ok := c.parts.Holds(part); ok && now == term {
		err := c.record(ctx, part, term, ev)
		if err == nil {
			return nil
		}
		if now, ok := c.parts.Holds(part); ok && now == term {
			return err
		}
	}
	for {
		err := c.forward(ctx, part, ev)
		if err == nil {
			c.Apply(ev)
			c.clearPending(ev.Program)
			return nil
		}
		if e := verdict.From(err); e.Reason == verdict.ReasonWrongHead {
			return e
		}
		select {
		case <-time.After(forwardPause):
		case <-ctx.Done():
			return err
		}
	}
}
