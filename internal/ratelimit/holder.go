// Package ratelimit enforces the rate and burst limits of client accounts, and the request limits that backend servers
// announce, over all instances. One instance, the holder, has the token buckets. The others get tokens with a short time to
// live from it: those of accounts are prefetched, those of servers asked for when a request needs one.
package ratelimit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/backendlimit"
	"github.com/berylpond/berylpond/internal/routing"
)

const (
	// activeWithin is how recently an instance must have requested tokens to count as served by the holder.
	activeWithin = 900 * time.Millisecond
	// burstShare is the fraction of an account's burst that a bucket holds for accounts of any size. The rest compensates
	// for tokens that are used up to grantTTL after they were granted, and for those granted by an isolated holder
	// meanwhile.
	burstShare = 0.5
	// toleratedExcess is the number of requests that the bucket of a small account may hold beyond burstShare: half of
	// what the platform tolerates beyond a limit per window. The other half covers the initial tokens of new buckets.
	toleratedExcess = 10.0
	// programReserve is the fraction of a bucket that is reserved for running programs: if a program is refused midway,
	// the tokens that it has spent are wasted.
	programReserve = 0.5
	// warmUp is how long a new bucket fills before a low level is taken as a shortage of the account.
	warmUp = time.Second
	// memberRetention is how long an instance that stopped requesting tokens is still counted, since another holder may
	// serve it or it may use its own share.
	memberRetention = 15 * time.Second
	// isolatedShare is the fraction of its share of a rate that an instance uses while it may be isolated. The load
	// balancer sends new connections elsewhere, so the instances on the other side of the partition need the rest.
	isolatedShare = 0.25
	// lendWithin is how recently the store must have responded to a holder for it to lend the shares of instances that do
	// not request tokens from it. It is shorter than activeWithin, so that an isolated holder never lends.
	lendWithin = 750 * time.Millisecond
	// isolatedAfter is the time without a response of the store after which a holder uses only isolatedShare. It is
	// shorter than the 1.5 s that the store takes before another instance can hold the buckets.
	isolatedAfter = 1200 * time.Millisecond
)

// ConfigurationFunc returns the configuration in force, which has the limits of the accounts, or nil before the first
// one.
type ConfigurationFunc func() *routing.Configuration

// MembersFunc lists the peer addresses of the other instances that were seen recently.
type MembersFunc func() []string

// HolderState is the state of an instance with regard to holding the buckets.
type HolderState int

const (
	// NotHolding means that the instance does not hold the buckets, or that another one is known to hold them.
	NotHolding HolderState = iota
	// Retiring means that the instance no longer holds the buckets and that no other holder is known. It continues to
	// serve the instances that still request tokens from it, which is safe since each instance is counted at one holder
	// only.
	Retiring
	// Holding means that the buckets are assigned to the instance.
	Holding
)

// BucketHolder holds the buckets. It serves the gRPC service Rates.
//
// It grants an account's rate times the fraction of the known instances that request tokens from it. While these are a
// majority and the store responds, it also lends the share of the other instances except for isolatedShare of it. That
// rest is for instances that another holder serves on the other side of a network partition or that use their own
// share, so that all together stay within the rate.
type BucketHolder struct {
	turnv1.UnimplementedRatesServer

	configuration ConfigurationFunc
	members       MembersFunc
	self          string
	holderState   func() HolderState
	// sinceContact returns the time since the store last responded.
	sinceContact func() time.Duration
	now          func() time.Time
	// ExchangeSuspects, if not nil, is the holder's part of Suspects.
	ExchangeSuspects func(r *turnv1.TakeRequest, resp *turnv1.TakeResponse)
	// ExchangeLoads, if not nil, is the holder's part of Loads.
	ExchangeLoads func(r *turnv1.TakeRequest, resp *turnv1.TakeResponse)

	mu      sync.Mutex
	buckets map[string]*bucket
	// servers holds the buckets of backend servers that limit their requests.
	servers     map[backendlimit.Server]*bucket
	lastRequest map[string]time.Time
	// limits holds the announced limits of backend servers. limitsRevision increases with each change; it begins at a random
	// number, so that revisions of different holders differ.
	limits         limits
	limitsRevision int64
	// lastTake is the time of the last request of any instance; zero while another instance holds the buckets.
	lastTake time.Time
}

type bucket struct {
	tokens float64
	// filled is when tokens was last brought up to date.
	filled  time.Time
	created time.Time
	// rate is the rate at which a backend server's bucket was last filled.
	rate float64
}

// NewBucketHolder returns a holder without buckets. holderState reports whether the instance holds them now, and
// sinceContact how long ago the store last responded.
func NewBucketHolder(configuration ConfigurationFunc, members MembersFunc, self string, holderState func() HolderState,
	sinceContact func() time.Duration) *BucketHolder {
	return &BucketHolder{
		configuration: configuration, members: members, self: self, holderState: holderState, sinceContact: sinceContact,
		now:     time.Now,
		buckets: map[string]*bucket{}, servers: map[backendlimit.Server]*bucket{}, lastRequest: map[string]time.Time{},
		limits: limits{}, limitsRevision: 1 + rand.Int64N(1<<62),
	}
}

// Take implements turnv1.RatesServer.
func (h *BucketHolder) Take(_ context.Context, r *turnv1.TakeRequest) (*turnv1.TakeResponse, error) {
	notOwner := &turnv1.TakeResponse{Outcome: turnv1.Outcome_OUTCOME_NOT_OWNER, Holder: h.self}
	if r.Leaving {
		h.mu.Lock()
		delete(h.lastRequest, r.Instance)
		h.mu.Unlock()
		return notOwner, nil
	}
	c := h.configuration()
	if c == nil || h.holderState() == NotHolding {
		h.mu.Lock()
		h.lastTake = time.Time{}
		h.mu.Unlock()
		return notOwner, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if now.Sub(h.lastTake) > activeWithin {
		// The tokens that another holder granted meanwhile are unknown, so the new buckets start with few tokens.
		h.buckets, h.servers = map[string]*bucket{}, map[backendlimit.Server]*bucket{}
	}
	h.lastTake = now
	for name, a := range c.Accounts {
		if h.buckets[name] == nil {
			h.buckets[name] = &bucket{tokens: min(bucketSize(a)/2, toleratedExcess), filled: now, created: now}
		}
	}
	if !h.servedElsewhere(r.ServedBy, r.ServedMsAgo) && !h.servedElsewhere(r.ServedBefore, r.ServedBeforeMsAgo) {
		h.lastRequest[r.Instance] = now
	}
	share, known := h.share(now, append(r.Known, r.Instance))
	resp := &turnv1.TakeResponse{Outcome: turnv1.Outcome_OUTCOME_OK, Holder: h.self, Instances: int32(known)}
	h.exchangeLimits(r, resp, now)
	if h.ExchangeSuspects != nil {
		h.ExchangeSuspects(r, resp)
	}
	if h.ExchangeLoads != nil {
		h.ExchangeLoads(r, resp)
	}
	for _, d := range r.Demands {
		if d.Server != nil {
			resp.Grants = append(resp.Grants, h.grantForServer(d, share, now))
			continue
		}
		a, ok := c.Accounts[d.Account]
		if !ok {
			resp.Grants = append(resp.Grants, &turnv1.Grant{Account: d.Account})
			continue
		}
		resp.Grants = append(resp.Grants, h.grant(a, d, share, now))
	}
	return resp, nil
}

// servedElsewhere reports whether another holder may still count an instance among those that it serves.
func (h *BucketHolder) servedElsewhere(holder string, msAgo int64) bool {
	return holder != "" && holder != h.self && time.Duration(msAgo)*time.Millisecond <= activeWithin
}

// share returns the fraction of each rate that this holder grants, and the number of known instances.
func (h *BucketHolder) share(now time.Time, reported []string) (float64, int) {
	active, known := h.countInstances(now, reported)
	served := min(float64(active)/float64(known), 1)
	sinceContact, holding := h.sinceContact(), h.holderState() == Holding
	// Only one side of a partition has a majority of the instances, so two holders never lend at the same time.
	switch majority := served > 0.5; {
	case majority && sinceContact < lendWithin && holding:
		return served + (1-isolatedShare)*(1-served), known
	case !majority && (sinceContact > isolatedAfter || !holding):
		return served * isolatedShare, known
	default:
		return served, known
	}
}

// countInstances returns how many instances request tokens from this holder, and how many are known.
func (h *BucketHolder) countInstances(now time.Time, reported []string) (active, all int) {
	known := map[string]bool{h.self: true}
	for _, a := range reported {
		known[a] = true
	}
	for _, a := range h.members() {
		known[a] = true
	}
	for a, at := range h.lastRequest {
		switch age := now.Sub(at); {
		case age <= activeWithin:
			active++
			known[a] = true
		case age <= memberRetention:
			known[a] = true
		default:
			delete(h.lastRequest, a)
		}
	}
	return active, len(known)
}

// bucketSize returns the maximum number of tokens in a bucket of the account.
func bucketSize(a routing.Account) float64 { return min(a.Burst, a.Burst*burstShare+toleratedExcess) }

func (h *BucketHolder) grant(a routing.Account, d *turnv1.Demand, share float64, now time.Time) *turnv1.Grant {
	b := h.buckets[a.Name]
	rate, burst := a.RequestsPerSecond*share, max(bucketSize(a)*share, 1)
	g := b.grant(rate, burst, d, now)
	g.Account = a.Name
	if rate <= 0 {
		return g
	}
	if deficit := burst*programReserve - b.tokens; deficit > 0 && now.Sub(b.created) > warmUp {
		g.ProgramsAfterMs = max(int64(deficit/rate*1000), 1)
	}
	return g
}

// grant fills the bucket up to now and takes tokens from it.
func (b *bucket) grant(rate, burst float64, d *turnv1.Demand, now time.Time) *turnv1.Grant {
	filled := b.tokens + rate*now.Sub(b.filled).Seconds() + float64(max(d.Unused, 0))
	b.tokens = min(filled, max(burst, b.tokens))
	b.filled = now
	g := &turnv1.Grant{Tokens: min(max(d.Want, 0), int64(b.tokens))}
	b.tokens -= float64(g.Tokens)
	if g.Tokens < d.Want && rate > 0 {
		g.RetryAfterMs = int64((1 - min(b.tokens, 0.999)) / rate * 1000)
	}
	return g
}
