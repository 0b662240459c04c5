// Package quotactl runs package quota over gRPC: each instance serves the parts of client accounts that it holds and
// asks the holders of the others.
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

// Parts tells who holds the parts of this data centre's account space. Its methods are called for each take, with a
// lock held: they must not block or call the Controller.
type Parts interface {
	// Parts is the number of parts. It never changes while the process runs.
	Parts() int
	// Lease reports whether this instance holds part now, and its lease. Terms only rise.
	Lease(part int) (quota.Lease, bool)
	// Holder returns the instance that is believed to hold part.
	Holder(part int) (member.Instance, bool)
}

// Dialer gives connections to other instances.
type Dialer interface {
	Conn(addr string) (grpc.ClientConnInterface, error)
}

// Config says where this instance stands. It must agree at all instances but for DataCentre and Slot.
type Config struct {
	// DataCentre is this instance's data centre.
	DataCentre string
	// DataCentres lists all data centres.
	DataCentres []string
	// Slot is this instance's slot of Slots in the data centre's cell. Slots must agree within the data centre.
	Slot, Slots int
	// SlotWait is the lease term of slots plus its margin. Default 5 s.
	SlotWait time.Duration
	// TakeTimeout bounds the wait for the holder's answer. Default 250 ms.
	TakeTimeout time.Duration
	// HolderWait bounds the wait of a take for a holder of the account's part: the time in which a lease passes to
	// another instance and that becomes known. Default SlotWait and 1 s.
	HolderWait time.Duration
	// LendTimeout bounds the wait for another data centre's answer. Default 30 ms.
	LendTimeout time.Duration
	// Terms of loans. Default quota.DefaultTerms.
	Terms quota.Terms
}

const (
	defaultSlotWait = 5 * time.Second
	// defaultHolderNews is two heartbeats: one until a lease is asked for, and one until its new holder is known.
	defaultHolderNews  = time.Second
	defaultTakeTimeout = 250 * time.Millisecond
	defaultLendTimeout = 30 * time.Millisecond
	// tickInterval is the time between looks at demand.
	tickInterval = 250 * time.Millisecond
	// silentPeerPause is how long a data centre that did not answer in time is not asked.
	silentPeerPause = time.Second
	// minEmptyPause and maxEmptyPause bound how long a data centre that had no tokens of an account is not asked.
	minEmptyPause = 2 * time.Millisecond
	maxEmptyPause = 100 * time.Millisecond
	// overRatePause is the same for an account over its rate.
	overRatePause = 500 * time.Millisecond
	// minRatePause and maxRatePause bound how long a data centre that had no rate to lend is not asked for it.
	minRatePause = 500 * time.Millisecond
	maxRatePause = 4 * time.Second
	// silentHolderPause is how long a holder is left alone after silentHolderCalls calls without an answer.
	silentHolderPause = 500 * time.Millisecond
	silentHolderCalls = 2
	// overBurstRetry is the time to come back given when a take is larger than the account's burst.
	overBurstRetry = time.Minute
	// holderPoll is the time between two looks for a holder, by at most maxHolderWaits takes at once.
	holderPoll     = 20 * time.Millisecond
	maxHolderWaits = 4096
	// noHolderRetry is the time to come back given when no holder can be reached.
	noHolderRetry = time.Second
)

// Option changes a Controller.
type Option func(*Controller)

// WithClock replaces the monotonic clock.
func WithClock(now func() time.Time) Option { return func(c *Controller) { c.now = now } }

// Controller is safe for concurrent use.
type Controller struct {
	cfg     Config
	table   *member.Table
	parts   Parts
	dial    Dialer
	now     func() time.Time
	metrics *metrics
	// waiting counts the takes that wait for a holder.
	waiting atomic.Int64
	// sender names this run of this process.
	sender string

	// mu guards all below.
	mu      sync.Mutex
	holder  *quota.Holder
	floor   *quota.SlotFloor
	leaving bool
	// sheds holds the accounts whose takes are refused here for a while.
	sheds map[string]*shed
	// turn chooses the data centre in which takes without a holder are tried.
	turn    int
	gathers map[string]*gather
	peers   map[string]*peerState
	batches map[string]*batcher
	book    *quota.Book
	// unrecorded are the loans for the next message to the slots; recording is set while messages are sent.
	unrecorded []waitingLoan
	recording  bool
	// learning is the term under which the books of a part are or were read; tried is closed after the first read.
	learning map[int]uint64
	tried    map[int]chan struct{}
}

// New returns a controller without limits; it refuses every account until SetLimits.
func New(cfg Config, table *member.Table, parts Parts, dial Dialer, opts ...Option) *Controller {
	setDefault(&cfg.SlotWait, defaultSlotWait)
	setDefault(&cfg.HolderWait, cfg.SlotWait+defaultHolderNews)
	setDefault(&cfg.TakeTimeout, defaultTakeTimeout)
	setDefault(&cfg.LendTimeout, defaultLendTimeout)
	if cfg.Terms == (quota.Terms{}) {
		cfg.Terms = quota.DefaultTerms()
	}
	cfg.Terms.HandOver = cfg.SlotWait
	c := &Controller{
		cfg: cfg, table: table, parts: parts, dial: dial, now: time.Now, metrics: newMetrics(), sender: uuid.NewString(),
		holder:  quota.NewHolder(cfg.DataCentre, cfg.Terms, len(cfg.DataCentres), cfg.Slots),
		gathers: map[string]*gather{}, peers: map[string]*peerState{}, batches: map[string]*batcher{}, sheds: map[string]*shed{},
		learning: map[int]uint64{}, tried: map[int]chan struct{}{},
	}
	for _, o := range opts {
		o(c)
	}
	c.book = quota.NewBook(c.now(), cfg.Terms)
	c.floor = quota.NewSlotFloor(c.now(), cfg.SlotWait)
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

// Register adds the service for other instances to s.
func (c *Controller) Register(s grpc.ServiceRegistrar) { quotav1.RegisterQuotaServer(s, &server{c: c}) }

// Collectors returns the metrics.
func (c *Controller) Collectors() []prometheus.Collector {
	return append(c.metrics.collectors(), shares{c})
}

// Run follows demand until ctx ends.
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

// SetLimits takes a version of the limits into force. Older versions are dropped.
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

// observe looks up the lease of part and reports whether it may be used at the returned time. c.mu is held.
func (c *Controller) observe(part int) (time.Time, bool) {
	now := c.now()
	l, held := c.parts.Lease(part)
	usable := c.holder.Observe(now, part, l, held && !c.leaving)
	c.learn(part)
	return now, usable
}

// account returns the state of an account whose part is held here. c.mu is held.
func (c *Controller) account(name string) (now time.Time, a *quota.Account, held bool) {
	part := quota.PartOf(name, c.parts.Parts())
	now, held = c.observe(part)
	if !held {
		return now, nil, false
	}
	a, _ = c.holder.Account(part, name)
	return now, a, true
}

// ShareStatus describes one account held here, for status pages.
type ShareStatus struct {
	Account  string
	Part     int
	Level    float64
	Current  quota.Amount
	Lent     quota.Amount
	Borrowed quota.Amount
	// Demand is in requests per second.
	Demand float64
}

// Shares returns the accounts that are held here and were in use.
func (c *Controller) Shares() []ShareStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeAll()
	now := c.now()
	var out []ShareStatus
	c.holder.Held(func(part int, name string, a *quota.Account) {
		a.Advance(now)
		out = append(out, ShareStatus{
			Account: name, Part: part, Level: a.Level(), Current: a.Current(),
			Lent: a.Lent(), Borrowed: a.Borrowed(), Demand: a.Demand(now),
		})
	})
	return out
}

// observeAll drops parts whose lease has gone and starts those newly held. c.mu is held.
func (c *Controller) observeAll() {
	for part := range c.parts.Parts() {
		c.observe(part)
	}
}
