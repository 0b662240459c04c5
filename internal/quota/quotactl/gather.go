package quotactl

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	quotav1 "github.com/berylpond/berylpond/api/quota/v1"
	"github.com/berylpond/berylpond/internal/member"
	"github.com/berylpond/berylpond/internal/quota"
)

// fetchAhead is how much of an account's demand is fetched beyond what takes wait for.
const fetchAhead = 10 * time.Millisecond

// usefulTokens is how many tokens a lender should have got again before it is asked again.
const usefulTokens = 0.2

// uselessFraction is the part of what was asked for below which an answer counts as empty.
const uselessFraction = 0.05

// gather is one fetch of tokens under way for an account. Takes that find it wait for its end.
type gather struct {
	// want is the sum of the takes that wait.
	want float64
	done chan struct{}
}

// peerState is what is known of another data centre; Controller.mu guards it.
type peerState struct {
	dc        string
	next      int
	silentTil time.Time
	accounts  map[string]*peerAccount
}

type peerAccount struct {
	level      float64
	noTokens   time.Time
	noRate     time.Time
	ratePause  time.Duration
	tokenPause time.Duration
}

func (p *peerState) account(name string) *peerAccount {
	a := p.accounts[name]
	if a == nil {
		a = &peerAccount{}
		p.accounts[name] = a
	}
	return a
}

// gather fetches tokens of an account from other data centres. It reports whether trying to take again may help.
func (c *Controller) gather(ctx context.Context, account string, n float64) bool {
	c.mu.Lock()
	if g := c.gathers[account]; g != nil {
		g.want += n
		c.mu.Unlock()
		select {
		case <-g.done:
			return true
		case <-ctx.Done():
			return false
		}
	}
	peers := c.askable(account)
	if len(peers) == 0 {
		c.mu.Unlock()
		return false
	}
	g := &gather{want: n, done: make(chan struct{})}
	c.gathers[account] = g
	c.mu.Unlock()
	for _, dc := range peers {
		if !c.fetch(g, dc, account) {
			break
		}
	}
	c.mu.Lock()
	delete(c.gathers, account)
	c.mu.Unlock()
	close(g.done)
	return true
}

// askable returns the data centres that may have tokens of the account, the best first. c.mu is held.
func (c *Controller) askable(account string) []string {
	now := c.now()
	var out []string
	for dc, p := range c.peers {
		if now.Before(p.silentTil) || now.Before(p.account(account).noTokens) {
			continue
		}
		out = append(out, dc)
	}
	slices.SortFunc(out, func(a, b string) int {
		la, lb := c.peers[a].account(account).level, c.peers[b].account(account).level
		switch {
		case la > lb:
			return -1
		case la < lb:
			return 1
		default:
			return 0
		}
	})
	return out
}

// fetch asks one data centre for the tokens still short, and reports whether more are needed.
func (c *Controller) fetch(g *gather, dc, account string) bool {
	c.mu.Lock()
	now, a, held := c.account(account)
	if !held || a == nil {
		c.mu.Unlock()
		return false
	}
	a.Advance(now)
	short := g.want - a.Level()
	if short <= 0 {
		c.mu.Unlock()
		return false
	}
	ask := short + fetchAhead.Seconds()*a.Demand(now)
	seq := c.holder.NextSequence()
	a.Sent(now, dc, seq)
	version := c.holder.Version()
	c.mu.Unlock()
	item := toItem(account, quota.Request{Sequence: seq, Tokens: ask})
	c.exchange(dc, version, []*quotav1.LendItem{item})
	return true
}

// exchange sends requests to another data centre and takes in the grants.
func (c *Controller) exchange(dc string, version uint64, items []*quotav1.LendItem) {
	resp, err := c.lendCall(dc, version, items)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[dc]
	now := c.now()
	if err != nil {
		c.metrics.lendFailed.Inc()
		p.silentTil = now.Add(silentPeerPause)
		p.next++
		return
	}
	bySeq := make(map[uint64]*quotav1.LendItem, len(items))
	for _, it := range items {
		bySeq[it.Sequence] = it
	}
	for _, g := range resp.Grants {
		if it := bySeq[g.Sequence]; it != nil {
			c.takeIn(p, it, g)
			delete(bySeq, g.Sequence)
		}
	}
	for _, it := range bySeq {
		c.takeIn(p, it, &quotav1.Grant{Sequence: it.Sequence})
	}
}

// takeIn accepts one grant and notes what the lender has left. c.mu is held.
func (c *Controller) takeIn(p *peerState, it *quotav1.LendItem, g *quotav1.Grant) {
	grant := fromGrant(g)
	over := false
	if now, a, held := c.account(it.Account); held && a != nil {
		limit, _ := c.holder.Limit(it.Account)
		over = a.OverRate(now, limit.Rate) || a.Demand(now) > limit.Rate+limit.Burst
		c.holder.Accept(now, quota.PartOf(it.Account, c.parts.Parts()), it.Account, grant)
	}
	now := c.now()
	pa := p.account(it.Account)
	pa.level = g.Level
	switch {
	case it.Tokens > 0:
		got := grant.Tokens()
		c.metrics.borrowedTokens.Add(got)
		share, _ := c.holder.Share(it.Account)
		pa.noteTokens(now, it.Tokens, got, share.Holder.Rate)
		if over && got < it.Tokens {
			pa.noTokens = now.Add(overRatePause)
		}
	case it.Rate > 0 && len(g.Pieces) > 0:
		pa.ratePause = 0
	case it.Rate > 0:
		pa.ratePause = min(maxRatePause, max(minRatePause, 2*pa.ratePause))
		pa.noRate = now.Add(pa.ratePause)
	}
}

// noteTokens sets the time before which the lender is not asked again. An account over its rate finds nothing time
// after time, so the pause doubles while it does.
func (p *peerAccount) noteTokens(now time.Time, asked, got, rate float64) {
	if got >= asked {
		p.tokenPause = 0
		return
	}
	if got < uselessFraction*asked {
		p.tokenPause *= 2
	} else {
		p.tokenPause = 0
	}
	base := time.Duration(min(usefulTokens/max(rate, usefulTokens), 1) * float64(time.Second))
	p.tokenPause = min(maxEmptyPause, max(minEmptyPause, base, p.tokenPause))
	p.noTokens = now.Add(p.tokenPause)
}

var errNoInstance = errors.New("no instance of the data centre is known")

// lendCall asks some instance of the data centre; one that is not the holder passes the request on.
func (c *Controller) lendCall(dc string, version uint64, items []*quotav1.LendItem) (*quotav1.LendResponse, error) {
	in, ok := c.instanceOf(dc)
	if !ok {
		return nil, errNoInstance
	}
	req := &quotav1.LendRequest{DataCentre: c.cfg.DataCentre, Sender: c.sender, Version: version, Items: items}
	return c.lendAt(in, req)
}

func (c *Controller) lendAt(in member.Instance, req *quotav1.LendRequest) (*quotav1.LendResponse, error) {
	conn, err := c.dial.Conn(in.PeerAddr)
	if err != nil {
		return nil, errors.Wrapf(err, "connecting to %s", in.ID)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.LendTimeout)
	defer cancel()
	return quotav1.NewQuotaClient(conn).Lend(ctx, req)
}

func (c *Controller) instanceOf(dc string) (member.Instance, bool) {
	live := slices.DeleteFunc(c.table.InDataCentre(dc), func(in member.Instance) bool { return in.Leaving })
	if len(live) == 0 {
		return member.Instance{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return live[c.peers[dc].next%len(live)], true
}

// tick looks at the lease of each part and at the demand of each account in use, and asks for rate.
func (c *Controller) tick(context.Context) {
	byPeer, version := c.wishes()
	for dc, items := range byPeer {
		go c.exchange(dc, version, items)
	}
}

func (c *Controller) wishes() (map[string][]*quotav1.LendItem, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeAll()
	now := c.now()
	c.floor.Alive(now)
	c.book.Sweep(now)
	if in, ok := c.table.AtSlot(c.cfg.DataCentre, c.cfg.Slot); c.cfg.Slots > 0 && ok && in.ID != c.table.Self().ID && in.Incarnation > c.table.Self().Incarnation {
		c.floor.Stop()
	}
	out := map[string][]*quotav1.LendItem{}
	c.holder.Held(func(_ int, name string, a *quota.Account) {
		for _, w := range a.Wishes(now, c.rateLenders(now, name)) {
			p := c.peers[w.Peer]
			if p == nil || now.Before(p.silentTil) {
				continue
			}
			seq := c.holder.NextSequence()
			a.Sent(now, w.Peer, seq)
			w.Request.Sequence = seq
			out[w.Peer] = append(out[w.Peer], toItem(name, w.Request))
		}
	})
	return out, c.holder.Version()
}

// rateLenders returns the data centres that may have rate to lend. c.mu is held.
func (c *Controller) rateLenders(now time.Time, account string) []string {
	var out []string
	for dc, p := range c.peers {
		if pa, ok := p.accounts[account]; ok && now.Before(pa.noRate) {
			continue
		}
		if !now.Before(p.silentTil) {
			out = append(out, dc)
		}
	}
	return out
}
