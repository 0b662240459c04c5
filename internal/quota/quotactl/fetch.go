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

// fetchAhead is the duration of an account's demand for which tokens are fetched beyond those that takes wait for.
const fetchAhead = 10 * time.Millisecond

// minRefill is the number of tokens that a lender should accrue before it is asked again.
const minRefill = 0.2

// emptyFraction is the fraction of the requested tokens below which a grant counts as empty.
const emptyFraction = 0.05

// tokenFetch is a fetch of tokens in progress for an account. Concurrent takes of the account wait for it.
type tokenFetch struct {
	// want is the number of tokens that all waiting takes need.
	want float64
	done chan struct{}
}

// peerState is what is known about another data centre. It is guarded by Controller.mu.
type peerState struct {
	dc           string
	nextInstance int
	silentUntil  time.Time
	accounts     map[string]*peerAccount
}

// peerAccount is what is known about an account at another data centre: the bucket level there, as last reported, and
// the times until which no tokens or rate are requested, with the lengths of the backoffs that end then.
type peerAccount struct {
	level           float64
	tokenBackoffEnd time.Time
	rateBackoffEnd  time.Time
	rateBackoff     time.Duration
	tokenBackoff    time.Duration
}

func (p *peerState) account(name string) *peerAccount {
	a := p.accounts[name]
	if a == nil {
		a = &peerAccount{}
		p.accounts[name] = a
	}
	return a
}

// fetchTokens fetches tokens of an account from other data centres. It reports whether the take should be retried.
func (c *Controller) fetchTokens(ctx context.Context, account string, n float64) bool {
	c.mu.Lock()
	if g := c.fetches[account]; g != nil {
		g.want += n
		c.mu.Unlock()
		select {
		case <-g.done:
			return true
		case <-ctx.Done():
			return false
		}
	}
	peers := c.tokenLenders(account)
	if len(peers) == 0 {
		c.mu.Unlock()
		return false
	}
	g := &tokenFetch{want: n, done: make(chan struct{})}
	c.fetches[account] = g
	c.mu.Unlock()
	for _, dc := range peers {
		if !c.fetchFrom(g, dc, account) {
			break
		}
	}
	c.mu.Lock()
	delete(c.fetches, account)
	c.mu.Unlock()
	close(g.done)
	return true
}

// tokenLenders returns the data centres that may have tokens of the account, ordered by falling bucket level. c.mu must
// be held.
func (c *Controller) tokenLenders(account string) []string {
	now := c.now()
	var out []string
	for dc, p := range c.peers {
		if now.Before(p.silentUntil) || now.Before(p.account(account).tokenBackoffEnd) {
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

// fetchFrom asks one data centre for the tokens still missing. It reports false if none are missing or the shard is
// lost.
func (c *Controller) fetchFrom(g *tokenFetch, dc, account string) bool {
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
	a.RecordSent(now, dc, seq)
	version := c.holder.Version()
	c.mu.Unlock()
	item := toLendItem(account, quota.Request{Sequence: seq, Tokens: ask})
	c.exchange(dc, version, []*quotav1.LendItem{item})
	return true
}

// exchange sends requests to another data centre and applies the grants. A request without a grant counts as refused.
func (c *Controller) exchange(dc string, version uint64, items []*quotav1.LendItem) {
	resp, err := c.lendCall(dc, version, items)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[dc]
	now := c.now()
	if err != nil {
		c.metrics.lendFailed.Inc()
		p.silentUntil = now.Add(silentPeerBackoff)
		p.nextInstance++
		return
	}
	bySeq := make(map[uint64]*quotav1.LendItem, len(items))
	for _, it := range items {
		bySeq[it.Sequence] = it
	}
	for _, g := range resp.Grants {
		if it := bySeq[g.Sequence]; it != nil {
			c.applyGrant(p, it, g)
			delete(bySeq, g.Sequence)
		}
	}
	for _, it := range bySeq {
		c.applyGrant(p, it, &quotav1.Grant{Sequence: it.Sequence})
	}
}

// applyGrant applies one grant and records the lender's bucket level. c.mu must be held.
func (c *Controller) applyGrant(p *peerState, it *quotav1.LendItem, g *quotav1.Grant) {
	grant := fromGrant(g)
	overRate := false
	if now, a, held := c.account(it.Account); held && a != nil {
		limit, _ := c.holder.Limit(it.Account)
		overRate = a.OverRate(now, limit.Rate) || a.Demand(now) > limit.Rate+limit.Burst
		c.holder.ApplyGrant(now, quota.ShardOf(it.Account, c.shards.ShardCount()), it.Account, grant)
	}
	now := c.now()
	pa := p.account(it.Account)
	pa.level = g.Level
	switch {
	case it.Tokens > 0:
		got := grant.Tokens()
		c.metrics.borrowedTokens.Add(got)
		share, _ := c.holder.Share(it.Account)
		pa.backOff(now, it.Tokens, got, share.Holder.Rate)
		if overRate && got < it.Tokens {
			pa.tokenBackoffEnd = now.Add(overRateBackoff)
		}
	case it.Rate > 0 && len(g.Pieces) > 0:
		pa.rateBackoff = 0
	case it.Rate > 0:
		pa.rateBackoff = min(maxRateBackoff, max(minRateBackoff, 2*pa.rateBackoff))
		pa.rateBackoffEnd = now.Add(pa.rateBackoff)
	}
}

// backOff sets the time until which the lender is not asked for tokens again. The backoff doubles while grants are
// empty, as they are for an account over its rate.
func (p *peerAccount) backOff(now time.Time, asked, got, rate float64) {
	if got >= asked {
		p.tokenBackoff = 0
		return
	}
	if got < emptyFraction*asked {
		p.tokenBackoff *= 2
	} else {
		p.tokenBackoff = 0
	}
	base := time.Duration(min(minRefill/max(rate, minRefill), 1) * float64(time.Second))
	p.tokenBackoff = min(maxEmptyBackoff, max(minEmptyBackoff, base, p.tokenBackoff))
	p.tokenBackoffEnd = now.Add(p.tokenBackoff)
}

var errNoInstance = errors.New("no live instance of the data centre is known")

// lendCall sends requests to an instance of the data centre, which forwards those for shards that it does not hold.
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
	return live[c.peers[dc].nextInstance%len(live)], true
}

// tick checks the lease of each shard and the demand of each account in use, and sends the resulting requests.
func (c *Controller) tick(context.Context) {
	byPeer, version := c.peerRequests()
	for dc, items := range byPeer {
		go c.exchange(dc, version, items)
	}
}

func (c *Controller) peerRequests() (map[string][]*quotav1.LendItem, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeAll()
	now := c.now()
	c.slotReserve.RecordAlive(now)
	c.loanStore.DeleteExpired(now)
	if in, ok := c.table.AtSlot(c.cfg.DataCentre, c.cfg.Slot); c.cfg.Slots > 0 && ok && in.ID != c.table.Self().ID && in.Incarnation > c.table.Self().Incarnation {
		c.slotReserve.Stop()
	}
	out := map[string][]*quotav1.LendItem{}
	c.holder.ForEachAccount(func(_ int, name string, a *quota.Account) {
		for _, w := range a.PeerRequests(now, c.rateLenders(now, name)) {
			p := c.peers[w.Peer]
			if p == nil || now.Before(p.silentUntil) {
				continue
			}
			seq := c.holder.NextSequence()
			a.RecordSent(now, w.Peer, seq)
			w.Request.Sequence = seq
			out[w.Peer] = append(out[w.Peer], toLendItem(name, w.Request))
		}
	})
	return out, c.holder.Version()
}

// rateLenders returns the data centres that may have rate of the account to lend. c.mu must be held.
func (c *Controller) rateLenders(now time.Time, account string) []string {
	var out []string
	for dc, p := range c.peers {
		if pa, ok := p.accounts[account]; ok && now.Before(pa.rateBackoffEnd) {
			continue
		}
		if !now.Before(p.silentUntil) {
			out = append(out, dc)
		}
	}
	return out
}
