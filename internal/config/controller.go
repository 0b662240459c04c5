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

// Record is one record of a stream.
type Record struct {
	Offset int64
	Data   []byte
}

// Page is what one read of a stream returns.
type Page struct {
	// First is the oldest offset that the log still retains, and End the offset after the newest record.
	First, End int64
	Records    []Record
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds records and returns the offset of the first. After an error the records may have been appended
	// nevertheless.
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	// Read returns up to max records from an offset on. If there is none, it waits for one for up to wait.
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (Page, error)
}

// Dialer returns connections to other instances. It owns the connections and closes them.
type Dialer interface {
	Conn(addr string) (grpc.ClientConnInterface, error)
}

// Config holds the settings of a Controller. Zero values select the defaults.
type Config struct {
	// ReconcileInterval is the mean interval between reconciliations with another instance (anti-entropy).
	ReconcileInterval time.Duration
	// Fanout is the number of neighbours to which an instance pushes each change that is new to it (gossip).
	Fanout int
	// LogFollowers is the number of instances in each data centre that read the log continuously by long polls. The
	// others receive changes from them by gossip, and read the log at a mean interval of PollInterval.
	LogFollowers int
	PollInterval time.Duration
	// LongPollTimeout is the long-poll timeout of one read of the log.
	LongPollTimeout time.Duration
	// RepublishAge is the age at which live state is appended to the log again. It must be below half of the log's
	// retention time.
	RepublishAge time.Duration
	// CallTimeout is the timeout of one call to another instance or to the log.
	CallTimeout time.Duration
	// ApplyTimeout is the timeout of one Apply, including the retries of its append.
	ApplyTimeout time.Duration
}

// Defaults of Config.
const (
	DefaultReconcileInterval = time.Second
	DefaultFanout            = 3
	DefaultLogFollowers      = 3
	DefaultPollInterval      = 15 * time.Second
	DefaultLongPollTimeout   = 5 * time.Second
	DefaultRepublishAge      = 10 * time.Minute
	DefaultCallTimeout       = 2 * time.Second
	DefaultApplyTimeout      = 15 * time.Second
)

func withDefault[T comparable](value *T, def T) {
	var zero T
	if *value == zero {
		*value = def
	}
}

func (c Config) withDefaults() Config {
	withDefault(&c.ReconcileInterval, DefaultReconcileInterval)
	withDefault(&c.Fanout, DefaultFanout)
	withDefault(&c.LogFollowers, DefaultLogFollowers)
	withDefault(&c.PollInterval, DefaultPollInterval)
	withDefault(&c.LongPollTimeout, DefaultLongPollTimeout)
	withDefault(&c.RepublishAge, DefaultRepublishAge)
	withDefault(&c.CallTimeout, DefaultCallTimeout)
	withDefault(&c.ApplyTimeout, DefaultApplyTimeout)
	return c
}

// Controller follows the log, propagates changes between instances by gossip and publishes snapshots. It is safe for
// concurrent use.
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
	// progress is closed and replaced after each update of the state and each page of the log.
	progress chan struct{}
	// unlogged holds the records of local changes that took effect before they were appended to the log.
	unlogged    []*configv1.Record
	unconfirmed unconfirmedRecords
	// lastLogged holds the time when a record with a team's state was last read from the log, by team name; "" stands
	// for the drains.
	lastLogged map[string]time.Time
	// reconciled is set after the first successful reconciliation with another instance.
	reconciled bool

	// notifyMu serialises the calls of the listeners.
	notifyMu  sync.Mutex
	listeners []func(*Snapshot)

	readNow     chan struct{} // requests an immediate read of the log
	appendReady chan struct{} // signals that unlogged is not empty
	pushes      chan *configv1.Delta
}

// Option configures a Controller.
type Option func(*Controller)

// WithRandom replaces the source of random choices; f returns a number in [0, n).
func WithRandom(f func(n int) int) Option {
	return func(c *Controller) { c.random = f }
}

// pushBacklog is the capacity of the push queue. Changes beyond it are dropped and reach peers by reconciliation.
const pushBacklog = 64

// New returns a Controller. Run starts its background loops.
func New(cfg Config, table *member.Table, dial Dialer, log Log, opts ...Option) *Controller {
	c := &Controller{
		cfg:         cfg.withDefaults(),
		table:       table,
		dial:        dial,
		log:         log,
		random:      rand.IntN,
		metrics:     newMetrics(),
		state:       NewState(),
		views:       map[string]*teamView{},
		progress:    make(chan struct{}),
		unconfirmed: unconfirmedRecords{},
		lastLogged:  map[string]time.Time{},
		readNow:     make(chan struct{}, 1),
		appendReady: make(chan struct{}, 1),
		pushes:      make(chan *configv1.Delta, pushBacklog),
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

// OnChange registers a listener. It is called with each new snapshot, in order, and immediately with the current one if
// there is any. f must not block.
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

// DocumentText returns the text of a team's current document and its version.
func (c *Controller) DocumentText(team string) (doc []byte, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Document(team)
}

// update runs f on the state, publishes the resulting snapshot and queues the change for pushing to other instances.
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

// rebuild publishes a snapshot of the state. c.mu must be held.
func (c *Controller) rebuild(changed []string) {
	for _, name := range changed {
		c.rebuildTeam(name)
	}
	if len(c.views) == 0 {
		return
	}
	old := c.snapshot.Load()
	s := &Snapshot{teams: maps.Clone(c.views), names: slices.Sorted(maps.Keys(c.views)),
		drained: c.state.DrainedBackends()}
	for _, name := range s.names {
		rises := old == nil || old.Version(name) <= s.Version(name)
		invariant.Check(rises, "config_version_never_falls", "team", name, "to", s.Version(name))
	}
	c.snapshot.Store(s)
}

// rebuildTeam replaces the view of one team. If the document doesn't parse, the previous one stays in force. c.mu must
// be held.
func (c *Controller) rebuildTeam(name string) {
	data, version := c.state.Document(name)
	old := c.views[name]
	if version == 0 {
		return
	}
	if old != nil && old.version == version {
		c.views[name] = old.withWithdrawn(c.state.WithdrawnKeys(name))
		return
	}
	doc, err := document.Parse(data)
	if err != nil {
		c.metrics.unreadable.Inc()
		klog.ErrorS(err, "Document in the log is invalid; the previous one stays in force", "team", name, "version", version)
		if old != nil {
			c.views[name] = old.withWithdrawn(c.state.WithdrawnKeys(name))
		}
		return
	}
	c.views[name] = newTeamView(version, doc, c.state.WithdrawnKeys(name))
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
