package quotactl

import (
	"context"
	"time"

	quotav1 "github.com/berylpond/berylpond/api/quota/v1"
	"github.com/berylpond/berylpond/internal/quota"
)

// minElsewherePause is the least time between two takes of one call in other data centres.
const minElsewherePause = 100 * time.Millisecond

// elsewhere takes in other data centres while the part has no holder in this one. A lack of tokens there is no answer
// about this data centre's share, so the take goes on waiting for its holder.
type elsewhere struct {
	// last is the answer by which the take was admitted.
	last result
	next time.Time
}

// try reports whether the take was admitted.
func (e *elsewhere) try(ctx context.Context, c *Controller, account string, n float64) bool {
	if c.now().Before(e.next) {
		return false
	}
	addr, dc, ok := c.askedElsewhere()
	if !ok {
		return false
	}
	r, err := c.batcher(addr).take(ctx, &quotav1.TakeItem{Account: account, N: n, PassOn: true})
	if err != nil {
		c.leaveAlone(dc)
		return false
	}
	e.next = c.now().Add(max(minElsewherePause, r.retryAfter))
	e.last = r
	return r.outcome == quotav1.TakeResult_ADMITTED
}

// askedElsewhere returns the address of an instance of another data centre, each data centre in turn.
func (c *Controller) askedElsewhere() (addr, dc string, ok bool) {
	c.mu.Lock()
	c.turn++
	var answering []string
	for _, dc := range c.cfg.DataCentres {
		if p := c.peers[dc]; p != nil && !c.now().Before(p.silentTil) {
			answering = append(answering, dc)
		}
	}
	turn := c.turn
	c.mu.Unlock()
	if len(answering) == 0 {
		return "", "", false
	}
	dc = answering[turn%len(answering)]
	in, ok := c.instanceOf(dc)
	return in.PeerAddr, dc, ok
}

// leaveAlone notes that a data centre did not answer.
func (c *Controller) leaveAlone(dc string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[dc]
	p.silentTil = c.now().Add(silentPeerPause)
	p.next++
}

// passOn takes at the holder in this data centre for an instance of another one.
func (c *Controller) passOn(ctx context.Context, it *quotav1.TakeItem) result {
	in, ok := c.parts.Holder(quota.PartOf(it.Account, c.parts.Parts()))
	if !ok || in.ID == c.table.Self().ID {
		return result{outcome: quotav1.TakeResult_NOT_HOLDER}
	}
	r, err := c.batcher(in.PeerAddr).take(ctx, &quotav1.TakeItem{Account: it.Account, N: it.N})
	if err != nil {
		return result{outcome: quotav1.TakeResult_NOT_HOLDER}
	}
	return r
}
