package cell

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	cellv1 "github.com/berylpond/berylpond/api/cell/v1"
	"github.com/berylpond/berylpond/internal/claim"
	"github.com/berylpond/berylpond/internal/lease"
)

// keptTable is a claim table that waits for the successor of its owner.
type keptTable struct {
	table *cellv1.Table
	at    time.Time
}

// Leave hands the held parts and the claim table over and stops acquiring and voting. Run has to go on until it
// returns. An error says that the successor of this slot will abstain for the claim window.
func (c *Controller) Leave(ctx context.Context) error {
	c.mu.Lock()
	now := time.Now()
	c.leaving = true
	for _, part := range c.proposer.Leave(now) {
		if slot, ok := c.heir(now, part); ok {
			c.offers = append(c.offers, &cellv1.Offer{Part: uint32(part), ToSlot: uint32(slot)})
		}
	}
	table, complete := c.exportTable(now)
	slot, found := c.heir(now, c.cfg.Slot)
	c.mu.Unlock()
	if err := wait(ctx, c.beat()); err != nil {
		return err
	}
	if c.cfg.Slots == 1 {
		return nil // There is nobody to hand over to; the successor abstains.
	}
	if !complete {
		return errors.New("claim table not handed over: the voter still abstained")
	}
	if !found {
		return errors.New("claim table not handed over: no other slot answers")
	}
	return c.storeTable(ctx, slot, table)
}

// heir is the first slot after the part's home that answers. The mutex is held.
func (c *Controller) heir(now time.Time, part int) (int, bool) {
	for i := range c.cfg.Slots {
		slot := (part + i) % c.cfg.Slots
		if slot != c.cfg.Slot && c.proposer.Answered(now, slot) {
			return slot, true
		}
	}
	return 0, false
}

func wait(ctx context.Context, g *sync.WaitGroup) error {
	done := make(chan struct{})
	go func() {
		g.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// exportTable stops the voter. The mutex is held.
func (c *Controller) exportTable(now time.Time) (*cellv1.Table, bool) {
	entries, complete := c.voter.Export(now)
	t := &cellv1.Table{Owner: ownerProto(c.self)}
	for _, e := range entries {
		t.Entries = append(t.Entries, &cellv1.TableEntry{
			Id:          e.ID,
			Executor:    &cellv1.Owner{Slot: uint32(e.Executor.Slot), Incarnation: e.Executor.Incarnation},
			Attempt:     e.Executor.Attempt,
			State:       uint32(e.State),
			Durable:     e.Durable,
			Outcome:     e.Outcome,
			ExpiresInMs: e.ExpiresIn.Milliseconds(),
		})
	}
	return t, complete
}

// storeTable gives the table to one slot only: a second copy could be taken after the first one was outdated.
func (c *Controller) storeTable(ctx context.Context, slot int, t *cellv1.Table) error {
	client, err := c.client(slot)
	if err != nil {
		return err
	}
	_, err = client.StoreTable(ctx, &cellv1.StoreTableRequest{DataCentre: c.cfg.DataCentre, Table: t})
	return errors.Wrap(err, "claim table not handed over")
}

// StoreTable implements cellv1.CellServer.
func (s *server) StoreTable(_ context.Context, req *cellv1.StoreTableRequest) (*cellv1.StoreTableResponse, error) {
	c := s.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.accepts(req.DataCentre, req.GetTable().GetOwner()) {
		return nil, errStranger
	}
	c.kept[ownerFrom(req.Table.Owner)] = keptTable{table: req.Table, at: time.Now()}
	return &cellv1.StoreTableResponse{}, nil
}

// TakeTable implements cellv1.CellServer. A table is given out once.
func (s *server) TakeTable(_ context.Context, req *cellv1.TakeTableRequest) (*cellv1.TakeTableResponse, error) {
	c := s.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if req.DataCentre != c.cfg.DataCentre {
		return nil, errStranger
	}
	owner := ownerFrom(req.Owner)
	k := c.kept[owner]
	delete(c.kept, owner)
	return &cellv1.TakeTableResponse{Table: k.table}, nil
}

// dropKept drops the tables that nobody took within the claim window. The mutex is held.
func (c *Controller) dropKept(now time.Time) {
	for owner, k := range c.kept {
		if now.Sub(k.at) >= c.cfg.ClaimWindow {
			delete(c.kept, owner)
		}
	}
}

// takeTable asks the other slots for the predecessor's table until one has it or the abstention has ended.
func (c *Controller) takeTable(ctx context.Context) {
	ticker := time.NewTicker(c.cfg.Heartbeat)
	defer ticker.Stop()
	for c.voterAbstains() {
		for slot := range c.cfg.Slots {
			if slot != c.cfg.Slot && c.takeTableFrom(ctx, slot) {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Controller) voterAbstains() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.leaving && c.voter.Abstaining(time.Now())
}

func (c *Controller) takeTableFrom(ctx context.Context, slot int) bool {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Lease)
	defer cancel()
	client, err := c.client(slot)
	if err != nil {
		return false
	}
	owner := lease.Owner{Slot: c.cfg.Slot, Incarnation: c.predecessor}
	res, err := client.TakeTable(ctx, &cellv1.TakeTableRequest{DataCentre: c.cfg.DataCentre, Owner: ownerProto(owner)})
	if err != nil || res.Table == nil {
		return false
	}
	c.importTable(res.Table)
	return true
}

func (c *Controller) importTable(t *cellv1.Table) {
	entries := make([]claim.Entry, 0, len(t.Entries))
	for _, e := range t.Entries {
		entries = append(entries, claim.Entry{
			ID: e.Id, Executor: executor(ownerFrom(e.Executor), e.Attempt), State: claim.State(e.State),
			Durable: e.Durable, Outcome: e.Outcome, ExpiresIn: time.Duration(e.ExpiresInMs) * time.Millisecond,
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving {
		return
	}
	c.voter.Import(time.Now(), entries)
	klog.InfoS("Took over the claim table of the predecessor", "claims", len(entries))
}

// CaughtUp ends the voter's abstention after the log was read up to an end that was taken at readAt, and every intent
// found there is known to the caller, who looks there before it claims. It is refused within lease and margin of the
// start, or if readAt is in the future. It is safe only where every executor dispatches after its intent was durable, by Claim.FreshUntil; where
// executors may dispatch while the log is away, it must not be called.
func (c *Controller) CaughtUp(readAt time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.leaving && !readAt.After(time.Now()) && c.voter.CaughtUp(readAt)
}

// MarkDurable notes that the intent of an id was read from the log, whoever claimed it.
func (c *Controller) MarkDurable(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a, known := c.voter.Lookup(id); known {
		c.voter.MarkDurable(id, a.Executor)
	}
}
