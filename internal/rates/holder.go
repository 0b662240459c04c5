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
	// burstShare is the part of an account's burst that a bucket holds. The rest makes up for tokens that are used up to
	// grantLife after they were granted, and for those granted by a holder that was cut off meanwhile.
	burstShare = 0.5
	// programReserve is the part of a bucket that new programs leave to those under way: a program that is refused
	// halfway has spent its tokens in vain.
	programReserve = 0.5
	// firstFill is how long a new bucket fills before its level says that the account is short.
	firstFill = time.Second
	// rememberFor is how long an instance counts as one that may be served by another holder, or by itself.
	rememberFor = 15 * time.Second
)

// Accounts returns the limits in force; nil before the first configuration.
type Accounts func() *routing.Configuration

// Members lists the peer addresses of the other instances that were seen lately.
type Members func() []string

// Holder holds the buckets. It serves the gRPC service Rates.
//
// It grants an account's rate times the share of the known instances that ask it: instances that it does not reach may
// be served by another holder on the other side of a partition, so that all together stay within the rate.
type Holder struct {
	turnv1.UnimplementedRatesServer

	accounts Accounts
	members  Members
	self     string
	isHolder func() bool
	now      func() time.Time

	mu      sync.Mutex
	buckets map[string]*bucket
	asked   map[string]time.Time
	// lastTake is when any instance asked; zero while the buckets are held elsewhere.
	lastTake time.Time
}

type bucket struct {
	tokens float64
	filled time.Time
	// since is when the bucket began, empty.
	since time.Time
}

// NewHolder returns a holder with empty buckets. isHolder tells whether the instance holds them now.
func NewHolder(a Accounts, m Members, self string, isHolder func() bool) *Holder {
	return &Holder{
		accounts: a, members: m, self: self, isHolder: isHolder, now: time.Now,
		buckets: map[string]*bucket{}, asked: map[string]time.Time{},
	}
}

// Take implements turnv1.RatesServer.
func (h *Holder) Take(_ context.Context, r *turnv1.TakeRequest) (*turnv1.TakeResponse, error) {
	c := h.accounts()
	if c == nil || !h.isHolder() {
		h.mu.Lock()
		h.lastTake = time.Time{}
		h.mu.Unlock()
		return &turnv1.TakeResponse{Outcome: turnv1.Outcome_OUTCOME_NOT_OWNER, Holder: h.self}, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if now.Sub(h.lastTake) > activeWithin {
		// What another holder has granted meanwhile is not known, so the buckets start empty.
		h.buckets = map[string]*bucket{}
	}
	h.lastTake = now
	for name := range c.Accounts {
		if h.buckets[name] == nil {
			h.buckets[name] = &bucket{filled: now, since: now}
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

// share is the part of the known instances that this holder serves, and how many are known.
func (h *Holder) share(now time.Time, told []string) (float64, int) {
	known := map[string]bool{h.self: true}
	for _, a := range told {
		known[a] = true
	}
	for _, a := range h.members() {
		known[a] = true
	}
	active := 0
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
	return min(float64(active)/float64(len(known)), 1), len(known)
}

func (h *Holder) grant(a routing.Account, d *turnv1.Demand, share float64, now time.Time) *turnv1.Grant {
	b := h.buckets[a.Name]
	rate, burst := a.Rate*share, max(a.Burst*burstShare*share, 1)
	b.tokens = min(b.tokens+rate*now.Sub(b.filled).Seconds()+float64(max(d.Unused, 0)), burst)
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
