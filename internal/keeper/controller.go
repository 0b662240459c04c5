package keeper

import (
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"

	keeperv1 "github.com/berylpond/berylpond/api/keeper/v1"
	"github.com/berylpond/berylpond/internal/member"
	"github.com/berylpond/berylpond/internal/scheduler"
	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

const statusConflict = http.StatusConflict

// Controller requests permits for the calls of this instance, and grants permits for the groups whose keeper it is.
type Controller struct {
	cfg      Config
	settings framework.Settings
	table    *member.Table
	shards   ShardLeases
	dialer   Dialer
	client   *http.Client
	now      func() time.Time
	metrics  *metrics

	mu     sync.RWMutex
	groups map[groupKey]*engineGroup // guarded by mu
}

type groupKey struct{ team, model string }

func (k groupKey) less(o groupKey) bool {
	if k.team != o.team {
		return k.team < o.team
	}
	return k.model < o.model
}

// engineGroup is a group of engines with two schedulers: primary is used while this instance is the group's keeper;
// degraded grants permits for a fraction of the capacity while the keeper cannot be reached.
type engineGroup struct {
	key      groupKey
	primary  *runner
	degraded *runner

	mu         sync.RWMutex
	specs      []framework.EngineSpec // guarded by mu
	shardCount int                    // guarded by mu: number of shards when shardIndex was computed
	shardIndex int                    // guarded by mu
}

// Option configures a Controller.
type Option func(*Controller)

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option { return func(c *Controller) { c.now = now } }

// WithHTTPClient replaces the HTTP client used to poll engines.
func WithHTTPClient(h *http.Client) Option { return func(c *Controller) { c.client = h } }

// New returns a controller without groups.
func New(cfg Config, table *member.Table, shards ShardLeases, dialer Dialer, opts ...Option) *Controller {
	cfg = cfg.withDefaults()
	c := &Controller{
		cfg:     cfg,
		table:   table,
		shards:  shards,
		dialer:  dialer,
		client:  &http.Client{Timeout: cfg.PollTimeout},
		now:     time.Now,
		metrics: newMetrics(),
		groups:  map[groupKey]*engineGroup{},
	}
	c.settings = settingsOf(cfg)
	for _, o := range opts {
		o(c)
	}
	return c
}

func settingsOf(cfg Config) framework.Settings {
	if cfg.Settings != nil {
		return *cfg.Settings
	}
	p, ok := framework.ParsePolicy(cfg.Policy)
	if !ok {
		p = framework.Berylpond
	}
	return framework.DefaultSettings(p)
}

// Collectors returns the controller's metrics.
func (c *Controller) Collectors() []prometheus.Collector {
	return append(c.metrics.collectors(), groupGauges{c})
}

// Register adds the keeper service to a gRPC server.
func (c *Controller) Register(s grpc.ServiceRegistrar) {
	keeperv1.RegisterKeeperServer(s, &server{c: c})
}

// SetGroups replaces the groups. A group that remains keeps its queue and its permits.
func (c *Controller) SetGroups(groups []Group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := make(map[groupKey]*engineGroup, len(groups))
	for _, m := range groups {
		key := groupKey{m.Team, m.Model}
		g := c.groups[key]
		if g == nil {
			g = c.newGroup(key, m.Objective)
		}
		g.setEngines(m)
		g.setObjective(m.Objective)
		next[key] = g
	}
	for key, g := range c.groups {
		if next[key] == nil {
			g.primary.dropQueue()
			g.degraded.dropQueue()
		}
	}
	c.groups = next
}

func (c *Controller) newGroup(key groupKey, objective framework.Objective) *engineGroup {
	s := c.settings
	s.Objective = objective
	degraded := s
	degraded.ConcurrencyScale = 1 / float64(max(2, c.shards.ShardCount()))
	g := &engineGroup{key: key}
	g.updateShard(c.cfg.DataCentre, c.shards.ShardCount())
	g.primary = newRunner(s, c.metrics, c.now, func() bool { return c.isKeeper(g) })
	g.degraded = newRunner(degraded, c.metrics, c.now, nil)
	return g
}

// updateShard recomputes the group's shard if the number of shards has changed.
func (g *engineGroup) updateShard(dc string, shards int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shardCount != shards {
		g.shardCount, g.shardIndex = shards, shardOf(g.key, dc, shards)
	}
}

func (g *engineGroup) shard() int {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.shardIndex
}

// shardOf assigns the group to a shard by rendezvous hashing.
func shardOf(key groupKey, dc string, shards int) int {
	best, bestHash := 0, uint64(0)
	for shard := range shards {
		h := xxhash.Sum64String(key.team + "\x00" + key.model + "\x00" + dc + "\x00" + strconv.Itoa(shard))
		if h > bestHash {
			best, bestHash = shard, h
		}
	}
	return best
}

func (g *engineGroup) setEngines(m Group) {
	specs := make([]framework.EngineSpec, 0, len(m.Engines))
	for _, address := range m.Engines {
		specs = append(specs, framework.EngineSpec{Address: address, Drained: m.Drained[address]})
	}
	g.mu.Lock()
	g.specs = specs
	g.mu.Unlock()
	for _, r := range g.runners() {
		r.observe(func(s *scheduler.Group, now time.Time) { s.SetEngines(now, specs) })
	}
}

func (g *engineGroup) setObjective(o framework.Objective) {
	for _, r := range g.runners() {
		r.observe(func(s *scheduler.Group, now time.Time) { s.SetObjective(o) })
	}
}

func (g *engineGroup) engines() []framework.EngineSpec {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.specs
}

func (g *engineGroup) runners() []*runner { return []*runner{g.primary, g.degraded} }

func (c *Controller) group(key groupKey) *engineGroup {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.groups[key]
}

func (c *Controller) allGroups() []*engineGroup {
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := make([]*engineGroup, 0, len(c.groups))
	for _, g := range c.groups {
		out = append(out, g)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].key.less(out[b].key) })
	return out
}

func (c *Controller) isKeeper(g *engineGroup) bool {
	_, ok := c.shards.HeldTerm(g.shard())
	return ok
}

// Status returns the state of every engine as this instance sees it.
func (c *Controller) Status() []EngineStatus {
	var out []EngineStatus
	for _, g := range c.allGroups() {
		isKeeper := c.isKeeper(g)
		r := g.degraded
		if isKeeper {
			r = g.primary
		}
		r.observe(func(s *scheduler.Group, now time.Time) {
			for _, st := range s.Status(now) {
				out = append(out, EngineStatus{Team: g.key.team, Model: g.key.model, IsKeeper: isKeeper, EngineStatus: st})
			}
		})
	}
	return out
}
