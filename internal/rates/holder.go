// Package rates keeps client accounts within their rate and burst over all instances. One instance holds the token
// buckets; the others take tokens from it ahead of need, each good for a moment only, and admit requests with them.
package rates

import (
	"context"
	"sync"
	"time"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/routing"
)

const (
	// activeWithin is how recently an instance asked for tokens to count as one that the holder serves.
	activeWithin = 900 * time.Millisecond
	// burstShare is the part of an account's burst that a bucket holds in any case. The rest makes up for tokens that are
	// used up to grantLife after they were granted, and for those granted by a holder that was cut off meanwhile.
	burstShare = 0.5
	// toleratedExcess is what the bucket of a small account may hold beyond burstShare, in requests: half of what the
	// platform tolerates beyond a limit in a window. The other half covers what new buckets start with.
	toleratedExcess = 10.0
	// programReserve is the part of a bucket that new programs leave to those under way: a program that is refused
	// halfway has spent its tokens in vain.
	programReserve = 0.5
	// firstFill is how long a new bucket fills before its level says that the account is short.
	firstFill = time.Second
	// rememberFor is how long an instance counts as one that may be served by another holder, or by itself.
	rememberFor = 15 * time.Second
	// cutOffShare is the part of its share of a rate that an instance uses while it may be cut off: the balancer sends
	// new connections elsewhere, so the other side needs the rest.
	cutOffShare = 0.25
	// lendWithin is how recently a holder must have heard from the store to hand out the shares of instances that do not
	// ask it. It is shorter than activeWithin: a holder that is itself cut off never lends.
	lendWithin = 750 * time.Millisecond
	// cutOffAfter is how long a holder hears nothing from the store until it uses cutOffShare. It ends before another
	// instance can hold the buckets, which takes the store 1.5 s.
	cutOffAfter = 1200 * time.Millisecond
)

// Accounts returns the limits in force; nil before the first configuration.
type Accounts func() *routing.Configuration

// Members lists the peer addresses of the other instances that were seen lately.
type Members func() []string

// Tenure is an instance's right to hold the buckets.
type Tenure int

const (
	// NotHolding means that the instance does not hold the buckets, or that another one is known to.
	NotHolding Tenure = iota
	// Retiring means that the instance no longer holds the buckets and knows of no other that does. It goes on for those
	// that still ask it, as each instance is counted at one holder only.
	Retiring
	// Holding means that the buckets are dealt to the instance.
	Holding
)

// Holder holds the buckets. It serves the gRPC service Rates.
//
// It grants an account's rate times the share of the known instances that ask it, and while these are most of them and
// the store answers, all of the rate but cutOffShare of what belongs to the others: those may be served by another holder
// on the other side of a partition, or by themselves, and all together stay within the rate.
type Holder struct {
	turnv1.UnimplementedRatesServer

	accounts Accounts
	members  Members
	self     string
	tenure   func() Tenure
	// silence is the time since the store last answered.
	silence func() time.Duration
	now     func() time.Time

	mu      sync.Mutex
	buckets map[string]*bucket
	asked   map[string]time.Time
	// lastTake is when any instance asked; zero while the buckets are held elsewhere.
	lastTake time.Time
}

type bucket struct {
	tokens float64
	filled time.Time
	// since is when the bucket began.
	since time.Time
}

// NewHolder returns a holder without buckets. tenure tells whether the instance holds them now, silence how long ago the
// store last answered.
func NewHolder(a Accounts, m Members, self string, tenure func() Tenure, silence func() time.Duration) *Holder {
	return &Holder{
		accounts: a, members: m, self: self, tenure: tenure, silence: silence, now: time.Now,
		buckets: map[string]*bucket{}, asked: map[string]time.Time{},
	}
}

// Take implements turnv1.RatesServer.
func (h *Holder) Take(_ context.Context, r *turnv1.TakeRequest) (*turnv1.TakeResponse, error) {
	none := &turnv1.TakeResponse{Outcome: turnv1.Outcome_OUTCOME_NOT_OWNER, Holder: h.self}
	if r.Leaving {
		h.mu.Lock()
		delete(h.asked, r.Instance)
		h.mu.Unlock()
		return none, nil
	}
	c := h.accounts()
	if c == nil || h.tenure() == NotHolding {
		h.mu.Lock()
		h.lastTake = time.Time{}
		h.mu.Unlock()
		return none, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if now.Sub(h.lastTake) > activeWithin {
		// What another holder has granted meanwhile is not known, so the buckets start with little.
		h.buckets = map[string]*bucket{}
	}
	h.lastTake = now
	for name, a := range c.Accounts {
		if h.buckets[name] == nil {
			h.buckets[name] = &bucket{tokens: min(size(a)/2, toleratedExcess), filled: now, since: now}
		}
	}
	if !h.servedElsewhere(r.ServedBy, r.ServedMsAgo) && !h.servedElsewhere(r.ServedBefore, r.ServedBeforeMsAgo) {
		h.asked[r.Instance] = now
	}
	share, known := h.share(now, append(r.Known, r.Instance))
	resp := &turnv1.TakeResponse{Outcome: turnv1.Outcome_OUTCOME_OK, Holder: h.self, Instances: int32(known)}
	for _, d := range r.Demands {
		a, ok := c.Accounts[d.Account]
		if !ok {
			resp.Grants = append(resp.Grants, &turnv1.Grant{Account: d.Account})
			continue
		}
		resp.Grants = append(resp.Grants, h.grant(a, d, share, now))
	}
	return resp, nil
}

// servedElsewhere reports whether another holder still counts an instance among those that it serves.
func (h *Holder) servedElsewhere(holder string, msAgo int64) bool {
	return holder != "" && holder != h.self && time.Duration(msAgo)*time.Millisecond <= activeWithin
}

// share is the part of each rate that this holder grants, and how many instances are known.
func (h *Holder) share(now time.Time, told []string) (float64, int) {
	active, known := h.count(now, told)
	served := min(float64(active)/float64(known), 1)
	silence, holding := h.silence(), h.tenure() == Holding
	// Only one side has most of the instances, so two holders never lend at once.
	switch majority := served > 0.5; {
	case majority && silence < lendWithin && holding:
		return served + (1-cutOffShare)*(1-served), known
	case !majority && (silence > cutOffAfter || !holding):
		return served * cutOffShare, known
	default:
		return served, known
	}
}

// count returns how many instances ask this holder, and how many are known.
func (h *Holder) count(now time.Time, told []string) (active, all int) {
	known := map[string]bool{h.self: true}
	for _, a := range told {
		known[a] = true
	}
	for _, a := range h.members() {
		known[a] = true
	}
	for a, at := range h.asked {
		switch age := now.Sub(at); {
		case age <= activeWithin:
			active++
			known[a] = true
		case age <= rememberFor:
			known[a] = true
		default:
			delete(h.asked, a)
		}
	}
	return active, len(known)
}

// size is the most tokens that a bucket of the account holds.
func size(a routing.Account) float64 { return min(a.Burst, a.Burst*burstShare+toleratedExcess) }

func (h *Holder) grant(a routing.Account, d *turnv1.Demand, share float64, now time.Time) *turnv1.Grant {
	b := h.buckets[a.Name]
	rate, burst := a.Rate*share, max(size(a)*share, 1)
	filled := b.tokens + rate*now.Sub(b.filled).Seconds() + float64(max(d.Unused, 0))
	b.tokens = min(filled, max(burst, b.tokens))
	b.filled = now
	n := min(max(d.Want, 0), int64(b.tokens))
	b.tokens -= float64(n)
	g := &turnv1.Grant{Account: a.Name, Tokens: n}
	if rate <= 0 {
		return g
	}
	if n < d.Want {
		g.RetryAfterMs = int64((1 - min(b.tokens, 0.999)) / rate * 1000)
	}
	if short := burst*programReserve - b.tokens; short > 0 && now.Sub(b.since) > firstFill {
		g.ProgramsAfterMs = max(int64(short/rate*1000), 1)
	}
	return g
}
