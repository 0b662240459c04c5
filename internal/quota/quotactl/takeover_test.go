package quotactl

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/berylpond/berylpond/internal/member"
	"github.com/berylpond/berylpond/internal/quota"
	"github.com/berylpond/berylpond/internal/verdict"
)

// kill isolates an instance from all others and ends its leases. It returns its shards, which then have no holder.
func (f *fleet) kill(i int) (shards []int) {
	f.net.mu.Lock()
	f.net.isolated[f.self[i].PeerAddr] = true
	f.net.mu.Unlock()
	cell := f.cells[f.self[i].DataCentre]
	cell.mu.Lock()
	defer cell.mu.Unlock()
	for shard, in := range cell.holders {
		if in.ID == f.self[i].ID {
			cell.holders[shard].ID = ""
			shards = append(shards, shard)
		}
	}
	return shards
}

// holderOf returns the index of the instance that holds the account in a data centre.
func (f *fleet) holderOf(dc, account string) int {
	cell := f.cells[dc]
	in := cell.holders[quota.ShardOf(account, len(cell.holders))]
	for i, o := range f.self {
		if o.ID == in.ID {
			return i
		}
	}
	return -1
}

// lentBurst returns the burst of the account that the instance, as its holder, has lent.
func (c *Controller) lentBurst(account string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, a, held := c.account(account)
	if !held || a == nil {
		return 0
	}
	a.Advance(now)
	return a.Lent().Burst
}

func TestNewHolderRecoversLoansAndServesTheRest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	timings := shortTimings
	timings.ShortLoan, timings.LongLoan = 700*time.Millisecond, 2*time.Second // loans must not expire during the test
	f := newFleet(t, 9, timings, []Limit{{Account: "kiosk", Rate: 300, Burst: 60}})
	time.Sleep(2200 * time.Millisecond) // until the loan stores are ready
	giza, nasr := f.holderOf("giza", "kiosk"), f.holderOf("nasr", "kiosk")
	// Exceeds the share of nasr until giza has lent to it. Which data centre is asked first is random.
	for end := time.Now().Add(10 * time.Second); f.ctl[giza].lentBurst("kiosk") <= 0.5 && time.Now().Before(end); {
		_ = f.ctl[nasr].Take(context.Background(), "kiosk", 1)
	}
	is.True(f.ctl[giza].lentBurst("kiosk") > 0.5)
	shards := f.kill(giza)
	next := (giza + 3) % 9
	f.cells["giza"].set(shards[0], f.self[next])
	c := f.ctl[next]
	_ = c.Take(context.Background(), "kiosk", 1) // waits for loan recovery; the bucket starts empty
	c.mu.Lock()
	defer c.mu.Unlock()
	now, a, held := c.account("kiosk")
	is.True(held)
	_, recovering := c.holder.RecoveringLoans(now, shards[0])
	is.True(!recovering)
	is.True(a.Lent().Burst > 0.5)
	a.Advance(now)
	share, _ := c.holder.Share("kiosk")
	is.True(a.Capacity().Burst >= share.Holder.Burst-a.Lent().Burst-1e-6) // everything that is not lent is in use
}

func TestTakeWithoutHolderIsServedByOtherDataCentre(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	net := &network{conns: map[string]*grpc.ClientConn{}, isolated: map[string]bool{}}
	f := newWaitingFleet(t, net, 3, shortTimings, []Limit{{Account: "kiosk", Rate: 30, Burst: 9}}, 5*time.Second)
	time.Sleep(1100 * time.Millisecond)
	f.cells["giza"].set(0, member.Instance{})
	is.NoErr(f.ctl[0].Take(context.Background(), "kiosk", 1))
	net.mu.Lock()
	net.isolated[f.self[1].PeerAddr], net.isolated[f.self[2].PeerAddr] = true, true
	net.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	ve := verdict.From(f.ctl[0].Take(ctx, "kiosk", 1))
	is.Equal(ve.Verdict, verdict.NotRun)
	is.Equal(ve.Reason, verdict.ReasonOwnerUnavailable)
	is.True(ctx.Err() != nil) // the take waited until its deadline
}
