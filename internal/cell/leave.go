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

// storedTable is the claim table of a stopped slot, stored for the successor of its owner.
type storedTable struct {
	table *cellv1.Table
	at    time.Time
}

// Leave hands over the held shards and the claim table, and stops acquiring and voting. Run must not end before Leave
// returns. After an error the successor of this slot abstains for the claim window.
func (c *Controller) Leave(ctx context.Context) error {
	c.mu.Lock()
	now := time.Now()
	c.leaving = true
	for _, shard := range c.proposer.ReleaseAll(now) {
		if slot, ok := c.fallbackSlot(now, shard); ok {
			c.offers = append(c.offers, &cellv1.Offer{Part: uint32(shard), ToSlot: uint32(slot)})
		}
	}
	table, complete := c.exportTable(now)
	slot, found := c.fallbackSlot(now, c.cfg.Slot)
	c.mu.Unlock()
	if err := wait(ctx, c.runRound()); err != nil {
		return err
	}
	if c.cfg.Slots == 1 {
		return nil // no other slot could store the table; the successor abstains
	}
	if !complete {
		return errors.New("claim table not handed over: the voter was still abstaining")
	}
	if !found {
		return errors.New("claim table not handed over: no other slot responds")
	}
	return c.storeTable(ctx, slot, table)
}

// fallbackSlot returns the first other slot that responds, starting at the shard's home slot. c.mu must be held.
func (c *Controller) fallbackSlot(now time.Time, shard int) (int, bool) {
	for i := range c.cfg.Slots {
		slot := (shard + i) % c.cfg.Slots
		if slot != c.cfg.Slot && c.proposer.Responded(now, slot) {
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

// exportTable stops the voter and returns its table, and whether the table is complete. c.mu must be held.
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

// storeTable hands the table to one slot only: with a second copy a later incarnation could import an outdated table.
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
	if !c.acceptsSender(req.DataCentre, req.GetTable().GetOwner()) {
		return nil, errNotOccupant
	}
	c.storedTables[ownerFrom(req.Table.Owner)] = storedTable{table: req.Table, at: time.Now()}
	return &cellv1.StoreTableResponse{}, nil
}

// TakeTable implements cellv1.CellServer. It returns a table once only.
func (s *server) TakeTable(_ context.Context, req *cellv1.TakeTableRequest) (*cellv1.TakeTableResponse, error) {
	c := s.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if req.DataCentre != c.cfg.DataCentre {
		return nil, errNotOccupant
	}
	owner := ownerFrom(req.Owner)
	stored := c.storedTables[owner]
	delete(c.storedTables, owner)
	return &cellv1.TakeTableResponse{Table: stored.table}, nil
}

// dropExpiredTables drops the tables that were not fetched within the claim window. c.mu must be held.
func (c *Controller) dropExpiredTables(now time.Time) {
	for owner, stored := range c.storedTables {
		if now.Sub(stored.at) >= c.cfg.ClaimWindow {
			delete(c.storedTables, owner)
		}
	}
}

// fetchTable asks the other slots for the predecessor's table until one returns it or the abstention has ended.
func (c *Controller) fetchTable(ctx context.Context) {
	ticker := time.NewTicker(c.cfg.Heartbeat)
	defer ticker.Stop()
	for c.voterAbstains() {
		for slot := range c.cfg.Slots {
			if slot != c.cfg.Slot && c.fetchTableFrom(ctx, slot) {
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

func (c *Controller) fetchTableFrom(ctx context.Context, slot int) bool {
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
	klog.InfoS("Imported the claim table of the predecessor", "claims", len(entries))
}

// EndAbstention ends the voter's abstention after the caller has read the log up to its end as of readAt. The caller
// must know every intent found there and check them before it claims. EndAbstention returns false if readAt is within
// lease plus margin of the start, or in the future. It is safe only if every executor dispatches after its intent is
// durable, by Claim.DurableBy. Where executors may dispatch while the log is unavailable, it must not be called.
func (c *Controller) EndAbstention(readAt time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.leaving && !readAt.After(time.Now()) && c.voter.EndAbstention(readAt)
}

// MarkDurable records that the intent of an id was read from the log, whichever attempt claimed it.
func (c *Controller) MarkDurable(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if response, known := c.voter.Lookup(id); known {
		c.voter.MarkDurable(id, response.Executor)
	}
}
