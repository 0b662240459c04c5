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

// serveTake takes for another instance. Only takes that are short of tokens wait, for tokens from other data centres.
func (c *Controller) serveTake(ctx context.Context, req *quotav1.TakeRequest) *quotav1.TakeResponse {
	resp := &quotav1.TakeResponse{Results: make([]*quotav1.TakeResult, len(req.Items))}
	var wg sync.WaitGroup
	for i, it := range req.Items {
		if it.Refused > 0 {
			c.noteRefused(it.Account, it.Refused)
		}
		r, short := c.tryTake(it.Account, it.N, true)
		resp.Results[i] = toResult(r)
		if r.outcome == quotav1.TakeResult_NOT_HOLDER && it.PassOn {
			wg.Go(func() { resp.Results[i] = toResult(c.passOn(ctx, it)) })
		}
		if short <= 0 {
			continue
		}
		wg.Go(func() {
			resp.Results[i] = toResult(c.takeShort(ctx, it.Account, it.N, r, short))
		})
	}
	wg.Wait()
	return resp
}

// server adapts the Controller, whose own Take is for callers in the process.
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
	s.c.holder.Offer(s.c.now(), fromHandOver(req))
	return &quotav1.HandOverResponse{}, nil
}

// serveLend lends what is held here, and passes the rest on to its holder once.
func (c *Controller) serveLend(req *quotav1.LendRequest) (*quotav1.LendResponse, error) {
	var made lent
	elsewhere := map[string][]*quotav1.LendItem{}
	for _, it := range req.Items {
		held, err := c.lend(req, it, &made)
		if err != nil {
			return nil, err
		}
		if held {
			continue
		}
		part := quota.PartOf(it.Account, c.parts.Parts())
		if in, ok := c.parts.Holder(part); ok && !req.Forwarded && in.ID != c.table.Self().ID {
			elsewhere[in.ID] = append(elsewhere[in.ID], it)
		}
	}
	resp := &quotav1.LendResponse{Grants: c.recorded(made)}
	for id, items := range elsewhere {
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

// lent holds grants, and which of them have to be recorded.
type lent struct {
	grants []quota.Grant
	loans  []loanMade
	// grant is the index of the grant for each loan.
	grant []int
}

// recorded records the loans and empties the grants whose record failed.
func (c *Controller) recorded(made lent) []*quotav1.Grant {
	for i, ok := range c.record(made.loans) {
		if !ok {
			made.grants[made.grant[i]] = made.grants[made.grant[i]].Withheld()
		}
	}
	var out []*quotav1.Grant
	for _, g := range made.grants {
		out = append(out, toGrant(g))
	}
	return out
}

// lend adds the grant for one item to made, unless the part is held elsewhere.
func (c *Controller) lend(req *quotav1.LendRequest, it *quotav1.LendItem, made *lent) (held bool, err error) {
	if !c.lendLocked(req, it, made) {
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

func (c *Controller) lendLocked(req *quotav1.LendRequest, it *quotav1.LendItem, made *lent) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, _, held := c.account(it.Account)
	if !held {
		return false
	}
	part := quota.PartOf(it.Account, c.parts.Parts())
	g := c.holder.Lend(now, part, it.Account, req.DataCentre, req.Version, fromItem(req.Sender, it))
	if c.keepsBook() && g.NeedsRecord(c.cfg.DataCentre) {
		made.loans = append(made.loans, loanMade{part: part, term: c.holder.Term(part), account: it.Account})
		made.grant = append(made.grant, len(made.grants))
	}
	made.grants = append(made.grants, g)
	return true
}

// Leave stops the use of all parts held here and hands their state to the other instances of the data centre. Call
// it before the leases are given up.
func (c *Controller) Leave(ctx context.Context) error {
	c.mu.Lock()
	c.observeAll()
	c.leaving = true
	c.floor.Stop()
	states := c.holder.Leave(c.now())
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

// handOver offers the states to one instance. An offer that is lost makes the next holder start empty.
func (c *Controller) handOver(ctx context.Context, addr string, states []quota.PartState) {
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
