package quotactl

import (
	"context"
	"time"

	quotav1 "github.com/berylpond/berylpond/api/quota/v1"
	"github.com/berylpond/berylpond/internal/quota"
)

// minFallbackInterval is the least time between two attempts of one take in other data centres.
const minFallbackInterval = 100 * time.Millisecond

// remoteFallback sends a take to other data centres while the shard has no holder in this one. A refusal there for lack
// of tokens does not decide the take, since it says nothing about this data centre's share: the take continues to wait
// for its holder.
type remoteFallback struct {
	// last is the last response. After an admission it is the one that admitted the take.
	last        result
	nextAttempt time.Time
}

// try reports whether the take was admitted.
func (e *remoteFallback) try(ctx context.Context, c *Controller, account string, n float64) bool {
	if c.now().Before(e.nextAttempt) {
		return false
	}
	addr, dc, ok := c.fallbackInstance()
	if !ok {
		return false
	}
	r, err := c.batcher(addr).take(ctx, &quotav1.TakeItem{Account: account, N: n, PassOn: true})
	if err != nil {
		c.markSilent(dc)
		return false
	}
	e.nextAttempt = c.now().Add(max(minFallbackInterval, r.retryAfter))
	e.last = r
	return r.outcome == quotav1.TakeResult_ADMITTED
}

// fallbackInstance returns the address of an instance of another data centre, rotating among the data centres that
// respond.
func (c *Controller) fallbackInstance() (addr, dc string, ok bool) {
	c.mu.Lock()
	c.nextFallback++
	var responding []string
	for _, dc := range c.cfg.DataCentres {
		if p := c.peers[dc]; p != nil && !c.now().Before(p.silentUntil) {
			responding = append(responding, dc)
		}
	}
	cursor := c.nextFallback
	c.mu.Unlock()
	if len(responding) == 0 {
		return "", "", false
	}
	dc = responding[cursor%len(responding)]
	in, ok := c.instanceOf(dc)
	return in.PeerAddr, dc, ok
}

// markSilent records that a data centre did not respond, so that it is skipped for silentPeerBackoff.
func (c *Controller) markSilent(dc string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[dc]
	p.silentUntil = c.now().Add(silentPeerBackoff)
	p.nextInstance++
}

// forwardTake forwards a take from another data centre to the holder in this one.
func (c *Controller) forwardTake(ctx context.Context, it *quotav1.TakeItem) result {
	in, ok := c.shards.Holder(quota.ShardOf(it.Account, c.shards.ShardCount()))
	if !ok || in.ID == c.table.Self().ID {
		return result{outcome: quotav1.TakeResult_NOT_HOLDER}
	}
	r, err := c.batcher(in.PeerAddr).take(ctx, &quotav1.TakeItem{Account: it.Account, N: it.N})
	if err != nil {
		return result{outcome: quotav1.TakeResult_NOT_HOLDER}
	}
	return r
}
