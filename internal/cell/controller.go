// Package cell runs the leases and the request claims of one data centre's cell among its slots over gRPC. A cell is the
// quorum group of the instances of a data centre; each of its members occupies one numbered slot.
//
// A Controller runs one slot. It stores nothing on disk: a new incarnation abstains until the promises of its predecessor
// have expired. The caller must ensure that at most one process occupies a slot at a time.
package cell

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	cellv1 "github.com/berylpond/berylpond/api/cell/v1"
	"github.com/berylpond/berylpond/internal/claim"
	"github.com/berylpond/berylpond/internal/lease"
	"github.com/berylpond/berylpond/internal/member"
)

// Default durations of a cell.
const (
	DefaultLease       = 2 * time.Second
	DefaultMargin      = 200 * time.Millisecond
	DefaultHeartbeat   = 500 * time.Millisecond
	DefaultClaimWindow = 10 * time.Minute
)

// Config describes the local slot and its cell. Zero durations are replaced by the defaults.
type Config struct {
	DataCentre string
	// Slot is the index of the local slot, from 0.
	Slot int
	// Slots is the number of slots of the cell, at most lease.MaxSlots.
	Slots int
	// Incarnation increases with each start of the process in the slot.
	Incarnation uint64
	Lease       time.Duration
	Margin      time.Duration
	Heartbeat   time.Duration
	// ClaimWindow is the time for which voters retain claims.
	ClaimWindow time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.Lease, DefaultLease)
	setDefault(&c.Margin, DefaultMargin)
	setDefault(&c.Heartbeat, DefaultHeartbeat)
	setDefault(&c.ClaimWindow, DefaultClaimWindow)
	c.Slots = min(max(c.Slots, 1), lease.MaxSlots)
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Dialer provides connections to other instances. It may pool them; the Controller never closes one.
type Dialer interface {
	Conn(addr string) (grpc.ClientConnInterface, error)
}

// Grant is the lease of a shard that the local slot holds.
type Grant struct {
	Shard int
	// Term is the fencing token: it increases with each lease of the shard.
	Term uint64
	// PreviousTerm is the term of the shard's lease immediately before this one, or a later term that no slot held; 0
	// if it is not known. It may become known only after the shard is held.
	PreviousTerm uint64
	// ExpiresAt is when the lease expires unless it is renewed.
	ExpiresAt time.Time
}

// Option configures a Controller.
type Option func(*Controller)

// WithIssueTime sets the function that extracts the time of issue from a request id. Without it an id counts as issued
// when it is claimed, and a repetition after the claim window is not recognised.
func WithIssueTime(f func(id string) (time.Time, bool)) Option {
	return func(c *Controller) { c.issueTime = f }
}

// WithPredecessor sets the incarnation of the slot immediately before this one, so that the claim table that it handed
// to another slot is imported. Without the option no table is imported.
func WithPredecessor(incarnation uint64) Option {
	return func(c *Controller) { c.predecessor = incarnation }
}

// WithWitness adds a witness to a cell of even size, so that half of its slots and the witness form a majority.
// Either all slots of the cell must have it or none. A cell of odd size ignores it.
func WithWitness(v Witness) Option {
	return func(c *Controller) {
		if c.cfg.Slots%2 == 0 {
			c.witness = v
		}
	}
}

// SetPredecessor is the equivalent of WithPredecessor for an incarnation that is determined after New. It must be
// called before Run.
func (c *Controller) SetPredecessor(incarnation uint64) { c.predecessor = incarnation }

// Controller runs one slot of a cell. It is safe for concurrent use.
type Controller struct {
	cfg         Config
	table       *member.Table
	dial        Dialer
	self        lease.Owner
	issueTime   func(id string) (time.Time, bool)
	predecessor uint64
	witness     Witness // nil without a witness
	metrics     *metrics
	wake        chan struct{} // requests a round at once
	changed     chan struct{} // signals a change of held

	mu           sync.Mutex // guards the fields below
	acceptor     *lease.Acceptor
	proposer     *lease.Proposer
	voter        *claim.Voter
	attempt      uint64
	leaving      bool
	incarnations [lease.MaxSlots]uint64    // highest incarnation seen of each slot
	noteQueues   [lease.MaxSlots]noteQueue // by slot
	offers       []*cellv1.Offer
	storedTables map[lease.Owner]storedTable // claim tables of stopped slots, for their successors
	// witnessBusy is set while a round waits for the witness.
	witnessBusy bool
	held        []int
	onChange    []func([]int)
}

// New returns a Controller whose abstention starts now. Run must be started soon afterwards.
func New(cfg Config, table *member.Table, dial Dialer, opts ...Option) *Controller {
	cfg = cfg.withDefaults()
	now := time.Now()
	c := &Controller{
		cfg: cfg, table: table, dial: dial,
		self:         lease.Owner{Slot: cfg.Slot, Incarnation: cfg.Incarnation},
		issueTime:    func(string) (time.Time, bool) { return time.Time{}, false },
		metrics:      newMetrics(),
		wake:         make(chan struct{}, 1),
		changed:      make(chan struct{}, 1),
		storedTables: map[lease.Owner]storedTable{},
	}
	for _, o := range opts {
		o(c)
	}
	lc := cfg.leaseConfig()
	lc.Witness = c.witness != nil
	c.acceptor = lease.NewAcceptor(lc, now)
	c.proposer = lease.NewProposer(lc, c.self)
	c.voter = claim.NewVoter(now, cfg.ClaimWindow, lc.PromiseDuration())
	return c
}

func (c Config) leaseConfig() lease.Config {
	return lease.Config{Slots: c.Slots, Lease: c.Lease, Margin: c.Margin, Heartbeat: c.Heartbeat}
}

// Register registers the cell service on a gRPC server.
func (c *Controller) Register(s grpc.ServiceRegistrar) {
	cellv1.RegisterCellServer(s, &server{c: c})
}

// Run sends heartbeats until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	var done sync.WaitGroup
	defer done.Wait()
	done.Go(func() { c.notify(ctx) })
	if c.predecessor != 0 {
		done.Go(func() { c.fetchTable(ctx) })
	}
	ticker := time.NewTicker(c.cfg.Heartbeat)
	defer ticker.Stop()
	for {
		c.runRound()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-c.wake:
		}
	}
}

// HeldGrant returns the grant of a shard that is held now. Callers must check it at each use.
func (c *Controller) HeldGrant(shard int) (Grant, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, until, ok := c.proposer.Lease(time.Now(), shard)
	if !ok {
		return Grant{}, false
	}
	return Grant{Shard: shard, Term: g.Term, PreviousTerm: c.proposer.PreviousTerm(shard), ExpiresAt: until}, true
}

// LikelyHolder returns the instance that probably holds the shard. It is a routing hint only.
func (c *Controller) LikelyHolder(shard int) (member.Instance, bool) {
	if shard < 0 || shard >= c.cfg.Slots {
		return member.Instance{}, false
	}
	if _, ok := c.HeldGrant(shard); ok {
		return c.table.Self(), true
	}
	c.mu.Lock()
	owner, ok := c.proposer.ReportedHolder(time.Now(), shard)
	c.mu.Unlock()
	if !ok {
		return member.Instance{}, false
	}
	in, ok := c.table.AtSlot(c.cfg.DataCentre, owner.Slot)
	if !ok || (in.Incarnation != 0 && in.Incarnation != owner.Incarnation) {
		return member.Instance{}, false
	}
	return in, true
}

// HasQuorum reports whether a majority of the cell responded within the lease duration.
func (c *Controller) HasQuorum() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.proposer.HasQuorum(time.Now())
}

// OnHeldChange adds a function that is called, never concurrently, when the set of held shards has changed. The set may
// be outdated: HeldGrant is authoritative.
func (c *Controller) OnHeldChange(f func(held []int)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onChange = append(c.onChange, f)
}

func (c *Controller) notify(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.changed:
		}
		c.mu.Lock()
		held := append([]int(nil), c.held...)
		calls := append(([]func([]int))(nil), c.onChange...)
		c.mu.Unlock()
		for _, f := range calls {
			f(held)
		}
	}
}

// signal wakes the receiver of a channel of capacity one without blocking.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
