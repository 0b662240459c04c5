// Package quotactl runs the state machines of package quota over gRPC. Client accounts are divided into shards, each of
// which is leased to one instance of the data centre, its holder. An instance serves takes, which are requests to spend
// tokens of an account, for the shards that it holds, and sends other takes to the holder of the account's shard.
package quotactl

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"

	quotav1 "github.com/berylpond/berylpond/api/quota/v1"
	"github.com/berylpond/berylpond/internal/member"
	"github.com/berylpond/berylpond/internal/quota"
)

// Limit is a client account's rate and burst across all instances.
type Limit = quota.Limit

// ShardLeases looks up the leases of the shards of this data centre's accounts. Its methods are called for each take
// with a lock held, so they must not block or call the Controller.
type ShardLeases interface {
	// ShardCount returns the number of shards. It never changes while the process runs.
	ShardCount() int
	// Lease reports whether this instance holds shard now, and under which lease. Terms only rise.
	Lease(shard int) (quota.Lease, bool)
	// Holder returns the last known holder of shard.
	Holder(shard int) (member.Instance, bool)
}

// Dialer returns connections to other instances.
type Dialer interface {
	Conn(addr string) (grpc.ClientConnInterface, error)
}

// Config configures a Controller. All fields but DataCentre and Slot must be the same at all instances.
type Config struct {
	// DataCentre is this instance's data centre.
	DataCentre string
	// DataCentres lists all data centres, including this one.
	DataCentres []string
	// Slot is this instance's slot in the data centre's cell, which has Slots slots. Slots must be the same throughout
	// the data centre.
	Slot, Slots int
	// SlotWait is the duration of a slot's lease plus its margin. Default 5 s.
	SlotWait time.Duration
	// TakeTimeout bounds the wait for the holder's response. Default 250 ms.
	TakeTimeout time.Duration
	// HolderWait bounds how long a take waits while the account's shard has no holder. It should cover the time until
	// another instance acquires the lease and becomes known as the holder. Default SlotWait plus 1 s.
	HolderWait time.Duration
	// LendTimeout bounds the wait for another data centre's response. Default 30 ms.
	LendTimeout time.Duration
	// LoanTimings are the durations of the lending protocol. Default quota.DefaultLoanTimings.
	LoanTimings quota.LoanTimings
}

const (
	defaultSlotWait = 5 * time.Second
	// defaultHolderPropagation is two heartbeats: one until another instance requests the lease, and one until it is
	// known as the new holder.
	defaultHolderPropagation = time.Second
	defaultTakeTimeout       = 250 * time.Millisecond
	defaultLendTimeout       = 30 * time.Millisecond
	// tickInterval is the interval at which demand is evaluated.
	tickInterval = 250 * time.Millisecond
	// silentPeerBackoff is how long a data centre is skipped after a request to it failed.
	silentPeerBackoff = time.Second
	// minEmptyBackoff and maxEmptyBackoff bound how long a data centre is not asked for tokens of an account after it had
	// none.
	minEmptyBackoff = 2 * time.Millisecond
	maxEmptyBackoff = 100 * time.Millisecond
	// overRateBackoff is the length of that backoff for an account over its rate.
	overRateBackoff = 500 * time.Millisecond
	// minRateBackoff and maxRateBackoff bound how long a data centre is not asked for rate of an account after it had none
	// to lend.
	minRateBackoff = 500 * time.Millisecond
	maxRateBackoff = 4 * time.Second
	// silentHolderBackoff is how long no calls are made to a holder after silentHolderCalls consecutive calls failed.
	silentHolderBackoff = 500 * time.Millisecond
	silentHolderCalls   = 2
	// overBurstRetry is the retry delay returned for a take larger than the account's burst.
	overBurstRetry = time.Minute
	// holderPollInterval is the interval at which a take without a holder retries. At most maxHolderWaits takes do so
	// at once.
	holderPollInterval = 20 * time.Millisecond
	maxHolderWaits     = 4096
	// noHolderRetry is the retry delay returned when no holder can be reached.
	noHolderRetry = time.Second
)

// Option configures a Controller.
type Option func(*Controller)

// WithClock replaces the monotonic clock.
func WithClock(now func() time.Time) Option { return func(c *Controller) { c.now = now } }

// Controller admits takes at this instance and serves the Quota service for other instances. It is safe for concurrent
// use.
type Controller struct {
	cfg     Config
	table   *member.Table
	shards  ShardLeases
	dial    Dialer
	now     func() time.Time
	metrics *metrics
	// holderWaiters counts the takes that wait for a holder.
	holderWaiters atomic.Int64
	// sender identifies this run of this process.
	sender string

	// mu guards the fields below.
	mu          sync.Mutex
	holder      *quota.Holder
	slotReserve *quota.SlotReserve
	leaving     bool
	// sheds holds the accounts whose takes are refused without asking their holders for now.
	sheds map[string]*shed
	// nextFallback selects the data centre to which a take without a holder is sent, in rotation.
	nextFallback int
	fetches      map[string]*tokenFetch
	peers        map[string]*peerState
	batches      map[string]*batcher
	loanStore    *quota.LoanStore
	// unrecorded holds the loans for the next batch of records. recording is set while batches are being sent.
	unrecorded []queuedLoan
	recording  bool
	// recovering holds, by shard, the term for which loan recovery was last started. firstRead is closed after its
	// first attempt.
	recovering map[int]uint64
	firstRead  map[int]chan struct{}
}

// New returns a controller without limits. It refuses every take until SetLimits is called.
func New(cfg Config, table *member.Table, shards ShardLeases, dial Dialer, opts ...Option) *Controller {
	setDefault(&cfg.SlotWait, defaultSlotWait)
	setDefault(&cfg.HolderWait, cfg.SlotWait+defaultHolderPropagation)
	setDefault(&cfg.TakeTimeout, defaultTakeTimeout)
	setDefault(&cfg.LendTimeout, defaultLendTimeout)
	if cfg.LoanTimings == (quota.LoanTimings{}) {
		cfg.LoanTimings = quota.DefaultLoanTimings()
	}
	cfg.LoanTimings.HandOverTTL = cfg.SlotWait
	c := &Controller{
		cfg: cfg, table: table, shards: shards, dial: dial, now: time.Now, metrics: newMetrics(), sender: uuid.NewString(),
		holder:  quota.NewHolder(cfg.DataCentre, cfg.LoanTimings, len(cfg.DataCentres), cfg.Slots),
		fetches: map[string]*tokenFetch{}, peers: map[string]*peerState{}, batches: map[string]*batcher{}, sheds: map[string]*shed{},
		recovering: map[int]uint64{}, firstRead: map[int]chan struct{}{},
	}
	for _, o := range opts {
		o(c)
	}
	c.loanStore = quota.NewLoanStore(c.now(), cfg.LoanTimings)
	c.slotReserve = quota.NewSlotReserve(c.now(), cfg.SlotWait)
	for _, dc := range cfg.DataCentres {
		if dc != cfg.DataCentre {
			c.peers[dc] = &peerState{dc: dc, accounts: map[string]*peerAccount{}}
		}
	}
	return c
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// Register registers the Quota service, which other instances call, with s.
func (c *Controller) Register(s grpc.ServiceRegistrar) { quotav1.RegisterQuotaServer(s, &server{c: c}) }

// Collectors returns the metrics.
func (c *Controller) Collectors() []prometheus.Collector {
	return append(c.metrics.collectors(), shareCollector{c})
}

// Run adapts the shares of the accounts held here to demand until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			c.tick(ctx)
		}
	}
}

// SetLimits applies a version of the limits. Versions older than the one in force are ignored.
func (c *Controller) SetLimits(version uint64, limits []Limit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder.SetLimits(c.now(), version, limits)
	maps.DeleteFunc(c.sheds, func(name string, _ *shed) bool {
		_, known := c.holder.Limit(name)
		return !known
	})
	for _, p := range c.peers {
		maps.DeleteFunc(p.accounts, func(name string, _ *peerAccount) bool {
			_, known := c.holder.Limit(name)
			return !known
		})
	}
}

// observe looks up the lease of shard and reports whether the shard may be used at the returned time. c.mu must be
// held.
func (c *Controller) observe(shard int) (time.Time, bool) {
	now := c.now()
	l, held := c.shards.Lease(shard)
	usable := c.holder.Observe(now, shard, l, held && !c.leaving)
	c.startRecovery(shard)
	return now, usable
}

// account returns the state of an account whose shard is held here. c.mu must be held.
func (c *Controller) account(name string) (now time.Time, a *quota.Account, held bool) {
	shard := quota.ShardOf(name, c.shards.ShardCount())
	now, held = c.observe(shard)
	if !held {
		return now, nil, false
	}
	a, _ = c.holder.Account(shard, name)
	return now, a, true
}

// ShareStatus describes one account held here, for status pages.
type ShareStatus struct {
	Account  string
	Shard    int
	Level    float64
	Capacity quota.Amount
	Lent     quota.Amount
	Borrowed quota.Amount
	// Demand is in requests per second.
	Demand float64
}

// Shares returns the status of each account that is held here and has state.
func (c *Controller) Shares() []ShareStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeAll()
	now := c.now()
	var out []ShareStatus
	c.holder.ForEachAccount(func(shard int, name string, a *quota.Account) {
		a.Advance(now)
		out = append(out, ShareStatus{
			Account: name, Shard: shard, Level: a.Level(), Capacity: a.Capacity(),
			Lent: a.Lent(), Borrowed: a.Borrowed(), Demand: a.Demand(now),
		})
	})
	return out
}

// observeAll drops the state of shards whose lease is lost and creates that of shards newly held. c.mu must be held.
func (c *Controller) observeAll() {
	for shard := range c.shards.ShardCount() {
		c.observe(shard)
	}
}
