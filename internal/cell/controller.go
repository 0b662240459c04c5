// Package cell runs the leases and first claims of one data centre's cell against its other slots over gRPC.
//
// A Controller is one slot. It keeps nothing lasting: a new incarnation abstains until promises of its predecessor
// have run out. The caller guarantees that at most one process occupies a slot at a time.
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

// Config describes the own slot and its cell. Zero durations take the defaults.
type Config struct {
	DataCentre string
	// Slot is the own place, from 0.
	Slot int
	// Slots is the size of the cell, at most lease.MaxSlots.
	Slots int
	// Incarnation rises with each start of the slot's occupant.
	Incarnation uint64
	Lease       time.Duration
	Margin      time.Duration
	Heartbeat   time.Duration
	// ClaimWindow is the time for which voters keep claims.
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

// Dialer gives connections to other instances. It may pool them; the Controller never closes one.
type Dialer interface {
	Conn(addr string) (grpc.ClientConnInterface, error)
}

// Grant is a held part.
type Grant struct {
	Part int
	// Term is the fencing number: it rises with each holding of the part.
	Term uint64
	// Previous is the term of the part's holding right before this one, or a later one that nobody held; 0 when it
	// isn't known. It may become known after the part is held.
	Previous uint64
	// Until is when the grant runs out unless it is renewed.
	Until time.Time
}

// Option changes a Controller.
type Option func(*Controller)

// WithIssueTime sets the function that reads the time of issue from a request id. Without it an id counts as issued
// when it is claimed, and a claim that comes after the window is not recognised as a repetition.
func WithIssueTime(f func(id string) (time.Time, bool)) Option {
	return func(c *Controller) { c.issueTime = f }
}

// WithPredecessor names the slot's incarnation right before this one. Its claim table is taken over if it was handed
// to another slot; without the option it never is.
func WithPredecessor(incarnation uint64) Option {
	return func(c *Controller) { c.predecessor = incarnation }
}

// WithExtraVoter adds one more voter to a cell of even size, so that half of its slots and the voter are a majority.
// Every slot of the cell has to have it, or none. A cell of odd size ignores it.
func WithExtraVoter(v ExtraVoter) Option {
	return func(c *Controller) {
		if c.cfg.Slots%2 == 0 {
			c.extra = v
		}
	}
}

// SetPredecessor is WithPredecessor for an incarnation that is learned after New. It must be called before Run.
func (c *Controller) SetPredecessor(incarnation uint64) { c.predecessor = incarnation }

// Controller is one slot of a cell. It is safe for concurrent use.
type Controller struct {
	cfg         Config
	table       *member.Table
	dial        Dialer
	self        lease.Owner
	issueTime   func(id string) (time.Time, bool)
	predecessor uint64
	extra       ExtraVoter // nil if there is none
	metrics     *metrics
	kick        chan struct{}
	changed     chan struct{}

	mu       sync.Mutex // guards the fields below
	acceptor *lease.Acceptor
	proposer *lease.Proposer
	voter    *claim.Voter
	attempt  uint64
	leaving  bool
	known    [lease.MaxSlots]uint64 // highest incarnation heard of each slot
	peers    [lease.MaxSlots]peerQueue
	offers   []*cellv1.Offer
	kept     map[lease.Owner]keptTable
	// extraBusy is set while a round waits for the extra voter.
	extraBusy bool
	held      []int
	onChange  []func([]int)
}

// New returns a Controller whose abstention begins now. Run must be started soon after.
func New(cfg Config, table *member.Table, dial Dialer, opts ...Option) *Controller {
	cfg = cfg.withDefaults()
	now := time.Now()
	c := &Controller{
		cfg: cfg, table: table, dial: dial,
		self:      lease.Owner{Slot: cfg.Slot, Incarnation: cfg.Incarnation},
		issueTime: func(string) (time.Time, bool) { return time.Time{}, false },
		metrics:   newMetrics(),
		kick:      make(chan struct{}, 1),
		changed:   make(chan struct{}, 1),
		kept:      map[lease.Owner]keptTable{},
	}
	for _, o := range opts {
		o(c)
	}
	lc := cfg.leaseConfig()
	lc.ExtraVoter = c.extra != nil
	c.acceptor = lease.NewAcceptor(lc, now)
	c.proposer = lease.NewProposer(lc, c.self)
	c.voter = claim.NewVoter(now, cfg.ClaimWindow, lc.Promise())
	return c
}

func (c Config) leaseConfig() lease.Config {
	return lease.Config{Slots: c.Slots, Lease: c.Lease, Margin: c.Margin, Heartbeat: c.Heartbeat}
}

// Register adds the cell's service to a gRPC server.
func (c *Controller) Register(s grpc.ServiceRegistrar) {
	cellv1.RegisterCellServer(s, &server{c: c})
}

// Run sends heartbeats until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	var done sync.WaitGroup
	defer done.Wait()
	done.Go(func() { c.notify(ctx) })
	if c.predecessor != 0 {
		done.Go(func() { c.takeTable(ctx) })
	}
	ticker := time.NewTicker(c.cfg.Heartbeat)
	defer ticker.Stop()
	for {
		c.beat()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-c.kick:
		}
	}
}

// Holds returns the grant of a part that is held now. It has to be asked at each use.
func (c *Controller) Holds(part int) (Grant, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, until, ok := c.proposer.Holds(time.Now(), part)
	if !ok {
		return Grant{}, false
	}
	return Grant{Part: part, Term: g.Term, Previous: c.proposer.Previous(part), Until: until}, true
}

// Holder returns the instance that is best known to hold the part. It serves routing only.
func (c *Controller) Holder(part int) (member.Instance, bool) {
	if part < 0 || part >= c.cfg.Slots {
		return member.Instance{}, false
	}
	if _, ok := c.Holds(part); ok {
		return c.table.Self(), true
	}
	c.mu.Lock()
	owner, ok := c.proposer.Holder(time.Now(), part)
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

// Standing reports whether a majority of the cell answered within the lease.
func (c *Controller) Standing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.proposer.Standing(time.Now())
}

// OnChange adds a function that is called, never concurrently, when the set of held parts has changed. The set is
// advice: Holds decides.
func (c *Controller) OnChange(f func(held []int)) {
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

// signal wakes the receiver of a channel of capacity one.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
