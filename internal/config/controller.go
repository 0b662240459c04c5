package config

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
	"github.com/berylpond/berylpond/internal/document"
	"github.com/berylpond/berylpond/internal/invariant"
	"github.com/berylpond/berylpond/internal/member"
)

// Stream is the name of the log stream that holds the configuration.
const Stream = "config"

// Record is one record of a log stream.
type Record struct {
	Offset int64
	Data   []byte
}

// Page is what one read of a stream returns.
type Page struct {
	// First is the oldest offset that is still kept, and End the offset after the newest.
	First, End int64
	Records    []Record
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds records and returns the offset of the first. After an error the records may be there all the same.
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	// Read returns records from an offset on. It waits for one if there is none.
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (Page, error)
}

// Dialer gives connections to other instances. It keeps and closes them.
type Dialer interface {
	Conn(addr string) (grpc.ClientConnInterface, error)
}

// Config holds the settings of a Controller. Zero values stand for the defaults.
type Config struct {
	// ReconcileEvery is the mean time between comparisons with another instance.
	ReconcileEvery time.Duration
	// Fanout is the number of instances to which a change is pushed on by each that learns of it.
	Fanout int
	// LogFollowers is the number of instances in each data centre that follow the log closely. The others learn of
	// changes from them, and read the log every SlowPoll.
	LogFollowers int
	SlowPoll     time.Duration
	// LogWait is how long one read of the log waits for records.
	LogWait time.Duration
	// RefreshEvery is the age at which live state is appended to the log again. It has to be below half of the time
	// for which the log keeps records.
	RefreshEvery time.Duration
	// CallTimeout bounds one call to another instance or to the log.
	CallTimeout time.Duration
	// ApplyTimeout bounds one Apply, with the retries of its append.
	ApplyTimeout time.Duration
}

// Defaults of Config.
const (
	DefaultReconcileEvery = time.Second
	DefaultFanout         = 3
	DefaultLogFollowers   = 3
	DefaultSlowPoll       = 15 * time.Second
	DefaultLogWait        = 5 * time.Second
	DefaultRefreshEvery   = 10 * time.Minute
	DefaultCallTimeout    = 2 * time.Second
	DefaultApplyTimeout   = 15 * time.Second
)

func withDefault[T comparable](value *T, def T) {
	var zero T
	if *value == zero {
		*value = def
	}
}

func (c Config) withDefaults() Config {
	withDefault(&c.ReconcileEvery, DefaultReconcileEvery)
	withDefault(&c.Fanout, DefaultFanout)
	withDefault(&c.LogFollowers, DefaultLogFollowers)
	withDefault(&c.SlowPoll, DefaultSlowPoll)
	withDefault(&c.LogWait, DefaultLogWait)
	withDefault(&c.RefreshEvery, DefaultRefreshEvery)
	withDefault(&c.CallTimeout, DefaultCallTimeout)
	withDefault(&c.ApplyTimeout, DefaultApplyTimeout)
	return c
}

// Controller follows the log, spreads changes between instances and publishes snapshots. It is safe for concurrent use.
type Controller struct {
	cfg     Config
	table   *member.Table
	dial    Dialer
	log     Log
	random  func(n int) int
	metrics *metrics

	snapshot atomic.Pointer[Snapshot]

	mu    sync.Mutex
	state *State
	views map[string]*teamView
	// progress is closed and replaced whenever the state changed or the log was read on.
	progress chan struct{}
	// unlogged are records that took effect here and still have to reach the log.
	unlogged []*configv1.Record
	unseen   unseen
	// refreshed tells when a team's state was last seen in the log, by team name; "" stands for the drains.
	refreshed map[string]time.Time
	// reconciled is set once a peer was reconciled with.
	reconciled bool

	// notifyMu orders the calls of the listeners.
	notifyMu  sync.Mutex
	listeners []func(*Snapshot)

	wake   chan struct{} // asks for an immediate read of the log
	append chan struct{} // tells that unlogged is not empty
	pushes chan *configv1.Delta
}

// Option changes a Controller.
type Option func(*Controller)

// WithRandom replaces the source of random choices; f returns a number in [0, n).
func WithRandom(f func(n int) int) Option {
	return func(c *Controller) { c.random = f }
}

// pushBacklog is the number of changes that wait to be pushed. Beyond it, reconciling carries them.
const pushBacklog = 64

// New returns a Controller. It does nothing before Run.
func New(cfg Config, table *member.Table, dial Dialer, log Log, opts ...Option) *Controller {
	c := &Controller{
		cfg:       cfg.withDefaults(),
		table:     table,
		dial:      dial,
		log:       log,
		random:    rand.IntN,
		metrics:   newMetrics(),
		state:     NewState(),
		views:     map[string]*teamView{},
		progress:  make(chan struct{}),
		unseen:    unseen{},
		refreshed: map[string]time.Time{},
		wake:      make(chan struct{}, 1),
		append:    make(chan struct{}, 1),
		pushes:    make(chan *configv1.Delta, pushBacklog),
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Register adds the services for other instances and for operators to a gRPC server.
func (c *Controller) Register(s grpc.ServiceRegistrar) {
	configv1.RegisterPeerServer(s, peerServer{c: c})
	configv1.RegisterAdminServer(s, adminServer{c: c})
}

// Run follows the log and reconciles with other instances until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){c.followLog, c.appendLoop, c.pushLoop, c.reconcileLoop, c.refreshLoop} {
		g.Go(func() error {
			loop(ctx)
			return ctx.Err()
		})
	}
	return g.Wait()
}

// Snapshot returns the configuration in force; nil before the first document is known.
func (c *Controller) Snapshot() *Snapshot { return c.snapshot.Load() }

// OnChange calls f with each new snapshot, in order, and at once with the present one if there is any. f must not block.
func (c *Controller) OnChange(f func(*Snapshot)) {
	c.notifyMu.Lock()
	defer c.notifyMu.Unlock()
	c.listeners = append(c.listeners, f)
	if s := c.snapshot.Load(); s != nil {
		f(s)
	}
}

// History returns the known versions of a team's document, oldest first.
func (c *Controller) History(team string) []VersionInfo {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.History(team)
}

// Source returns the text of a team's current document and its version.
func (c *Controller) Source(team string) (doc []byte, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Document(team)
}

// update runs f on the state, publishes the snapshot that results, and has the change pushed to other instances.
func (c *Controller) update(f func(*State)) {
	c.mu.Lock()
	f(c.state)
	changes := c.state.TakeChanges()
	if !changes.Empty() {
		c.rebuild(changes.Teams)
	}
	close(c.progress)
	c.progress = make(chan struct{})
	c.mu.Unlock()
	if changes.Empty() {
		return
	}
	c.notify()
	select {
	case c.pushes <- changes.Delta:
	default:
		c.metrics.pushesDropped.Inc()
	}
}

// rebuild stores the snapshot of the state. c.mu is held.
func (c *Controller) rebuild(changed []string) {
	for _, name := range changed {
		c.rebuildTeam(name)
	}
	if len(c.views) == 0 {
		return
	}
	old := c.snapshot.Load()
	s := &Snapshot{teams: maps.Clone(c.views), names: slices.Sorted(maps.Keys(c.views)), drained: c.state.Drained()}
	for _, name := range s.names {
		rises := old == nil || old.Version(name) <= s.Version(name)
		invariant.Check(rises, "config_version_never_falls", "team", name, "to", s.Version(name))
	}
	c.snapshot.Store(s)
}

// rebuildTeam replaces the view of one team. A document that does not parse leaves the previous one in force. c.mu is
// held.
func (c *Controller) rebuildTeam(name string) {
	data, version := c.state.Document(name)
	old := c.views[name]
	if version == 0 {
		return
	}
	if old != nil && old.version == version {
		c.views[name] = old.withWithdrawn(c.state.Withdrawn(name))
		return
	}
	doc, err := document.Parse(data)
	if err != nil {
		c.metrics.unreadable.Inc()
		klog.ErrorS(err, "Document in the log is not valid; the previous one stays in force", "team", name, "version", version)
		if old != nil {
			c.views[name] = old.withWithdrawn(c.state.Withdrawn(name))
		}
		return
	}
	c.views[name] = newTeamView(version, doc, c.state.Withdrawn(name))
	c.metrics.version.WithLabelValues(name).Set(float64(version))
}

func (c *Controller) notify() {
	c.notifyMu.Lock()
	defer c.notifyMu.Unlock()
	s := c.snapshot.Load()
	if s == nil {
		return
	}
	for _, f := range c.listeners {
		f(s)
	}
}
