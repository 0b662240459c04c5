package quotactl

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	quotav1 "github.com/berylpond/berylpond/api/quota/v1"
	"github.com/berylpond/berylpond/internal/failpoint"
	"github.com/berylpond/berylpond/internal/quota"
)

// serveTake serves takes for another instance. A take that is short of tokens does not delay the others in the batch
// while tokens are fetched from other data centres.
func (c *Controller) serveTake(ctx context.Context, req *quotav1.TakeRequest) *quotav1.TakeResponse {
	resp := &quotav1.TakeResponse{Results: make([]*quotav1.TakeResult, len(req.Items))}
	var wg sync.WaitGroup
	for i, it := range req.Items {
		if it.Refused > 0 {
			c.recordRefused(it.Account, it.Refused)
		}
		r, short := c.tryTake(it.Account, it.N, true)
		resp.Results[i] = toResult(r)
		if r.outcome == quotav1.TakeResult_NOT_HOLDER && it.PassOn {
			wg.Go(func() { resp.Results[i] = toResult(c.forwardTake(ctx, it)) })
		}
		if short <= 0 {
			continue
		}
		wg.Go(func() {
			resp.Results[i] = toResult(c.retryTake(ctx, it.Account, it.N, r, short))
		})
	}
	wg.Wait()
	return resp
}

// server implements the Quota service. It is a type of its own since Controller.Take is the method for local callers.
type server struct {
	quotav1.UnimplementedQuotaServer
	c *Controller
}

// Take implements quotav1.QuotaServer.
func (s *server) Take(ctx context.Context, req *quotav1.TakeRequest) (*quotav1.TakeResponse, error) {
	return s.c.serveTake(ctx, req), nil
}

// Lend implements quotav1.QuotaServer.
func (s *server) Lend(_ context.Context, req *quotav1.LendRequest) (*quotav1.LendResponse, error) {
	return s.c.serveLend(req)
}

// HandOver implements quotav1.QuotaServer.
func (s *server) HandOver(_ context.Context, req *quotav1.HandOverRequest) (*quotav1.HandOverResponse, error) {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	s.c.holder.StoreHandOver(s.c.now(), fromHandOver(req))
	return &quotav1.HandOverResponse{}, nil
}

// serveLend serves the requests for accounts held here and forwards the others to their holders, unless they were
// forwarded already.
func (c *Controller) serveLend(req *quotav1.LendRequest) (*quotav1.LendResponse, error) {
	var batch grantBatch
	byHolder := map[string][]*quotav1.LendItem{}
	for _, it := range req.Items {
		held, err := c.lend(req, it, &batch)
		if err != nil {
			return nil, err
		}
		if held {
			continue
		}
		shard := quota.ShardOf(it.Account, c.shards.ShardCount())
		if in, ok := c.shards.Holder(shard); ok && !req.Forwarded && in.ID != c.table.Self().ID {
			byHolder[in.ID] = append(byHolder[in.ID], it)
		}
	}
	resp := &quotav1.LendResponse{Grants: c.recordGrants(batch)}
	for id, items := range byHolder {
		in, ok := c.table.Get(id)
		if !ok {
			continue
		}
		fwd := &quotav1.LendRequest{DataCentre: req.DataCentre, Sender: req.Sender, Version: req.Version, Forwarded: true, Items: items}
		if r, err := c.lendAt(in, fwd); err == nil {
			resp.Grants = append(resp.Grants, r.Grants...)
		}
	}
	return resp, nil
}

// grantBatch holds grants and the loans in them that have to be recorded.
type grantBatch struct {
	grants []quota.Grant
	loans  []loanKey
	// grantIndex is, for each loan, the index of its grant.
	grantIndex []int
}

// recordGrants records the loans, and withholds the contents of the grants whose loans could not be recorded.
func (c *Controller) recordGrants(batch grantBatch) []*quotav1.Grant {
	for i, ok := range c.record(batch.loans) {
		if !ok {
			batch.grants[batch.grantIndex[i]] = batch.grants[batch.grantIndex[i]].WithoutPieces()
		}
	}
	var out []*quotav1.Grant
	for _, g := range batch.grants {
		out = append(out, toGrant(g))
	}
	return out
}

// lend adds the grant for one item to batch. It reports false if this instance does not hold the shard.
func (c *Controller) lend(req *quotav1.LendRequest, it *quotav1.LendItem, batch *grantBatch) (held bool, err error) {
	if !c.lendLocked(req, it, batch) {
		return false, nil
	}
	point := "quota.loan.granted"
	if it.Tokens > 0 {
		point = "quota.transfer.debited"
	}
	if err := failpoint.Hit(point); err != nil {
		return true, status.Error(codes.Unavailable, err.Error())
	}
	return true, nil
}

func (c *Controller) lendLocked(req *quotav1.LendRequest, it *quotav1.LendItem, batch *grantBatch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, _, held := c.account(it.Account)
	if !held {
		return false
	}
	shard := quota.ShardOf(it.Account, c.shards.ShardCount())
	g := c.holder.Lend(now, shard, it.Account, req.DataCentre, req.Version, fromLendItem(req.Sender, it))
	if c.recordsLoans() && g.NeedsRecord(c.cfg.DataCentre) {
		batch.loans = append(batch.loans, loanKey{shard: shard, term: c.holder.Term(shard), account: it.Account})
		batch.grantIndex = append(batch.grantIndex, len(batch.grants))
	}
	batch.grants = append(batch.grants, g)
	return true
}

// Leave stops the use of all shards held here and hands their state over to the other instances of the data centre. It
// must be called before the leases are released.
func (c *Controller) Leave(ctx context.Context) error {
	c.mu.Lock()
	c.observeAll()
	c.leaving = true
	c.slotReserve.Stop()
	states := c.holder.ReleaseAll(c.now())
	c.mu.Unlock()
	var wg sync.WaitGroup
	for _, in := range c.table.InDataCentre(c.cfg.DataCentre) {
		if in.ID == c.table.Self().ID || in.Leaving {
			continue
		}
		wg.Go(func() { c.handOver(ctx, in.PeerAddr, states) })
	}
	wg.Wait()
	return ctx.Err()
}

// handOver sends the states to one instance. If they don't reach the next holder, it starts with empty buckets.
func (c *Controller) handOver(ctx context.Context, addr string, states []quota.ShardState) {
	conn, err := c.dial.Conn(addr)
	if err != nil {
		c.metrics.handOverFailed.Inc()
		return
	}
	for _, s := range states {
		callCtx, cancel := context.WithTimeout(ctx, c.cfg.TakeTimeout)
		_, err := quotav1.NewQuotaClient(conn).HandOver(callCtx, toHandOver(s))
		cancel()
		if err != nil {
			c.metrics.handOverFailed.Inc()
			return
		}
	}
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
