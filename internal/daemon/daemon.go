// Package daemon assembles the components of one gateway instance and runs them.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/backends"
	"github.com/berylpond/berylpond/internal/cell"
	"github.com/berylpond/berylpond/internal/config"
	"github.com/berylpond/berylpond/internal/engine"
	"github.com/berylpond/berylpond/internal/executor"
	"github.com/berylpond/berylpond/internal/failpoint"
	"github.com/berylpond/berylpond/internal/frontend"
	"github.com/berylpond/berylpond/internal/frontend/commands"
	"github.com/berylpond/berylpond/internal/frontend/queries"
	"github.com/berylpond/berylpond/internal/frontend/request"
	"github.com/berylpond/berylpond/internal/invariant"
	"github.com/berylpond/berylpond/internal/keeper"
	"github.com/berylpond/berylpond/internal/ledger"
	"github.com/berylpond/berylpond/internal/member"
	"github.com/berylpond/berylpond/internal/orders"
	"github.com/berylpond/berylpond/internal/peer"
	"github.com/berylpond/berylpond/internal/platformclient"
	"github.com/berylpond/berylpond/internal/program"
	"github.com/berylpond/berylpond/internal/quota/quotactl"
	"github.com/berylpond/berylpond/internal/router"
	"github.com/berylpond/berylpond/internal/settings"
)

// refreshDivisor is the divisor of the log's retention that gives the interval at which the configuration is appended
// to the log again, so that it does not expire.
const refreshDivisor = 4

const (
	// quietPeriod is how long no request must have arrived before the listener is closed.
	quietPeriod = 500 * time.Millisecond
	// balancerWaitDivisor is the divisor of the shutdown timeout that gives the maximum time to wait for the load
	// balancer and for quietPeriod.
	balancerWaitDivisor = 4
)

// maxIdlePlatformConns is the maximum number of idle connections to the platform.
const maxIdlePlatformConns = 16

// balancerDelay is the time that the platform's load balancer takes to stop sending requests to an instance that is not
// ready.
const balancerDelay = 500 * time.Millisecond

// platformTimeout is the timeout of one request to the platform.
const platformTimeout = 2 * time.Second

// Daemon is one gateway instance.
type Daemon struct {
	settings settings.Settings
	started  time.Time
	table    *member.Table
	pool     *peer.Pool
	platform *platformclient.Client
	config   *config.Controller
	cell     *cell.Controller
	shards   *shards
	quota    *quotactl.Controller
	keeper   *keeper.Controller
	ledger   *ledger.Ledger
	journal  *streams
	programs *program.Controller
	executor *executor.Executor
	orders   *orders.Controller
	router   *router.Router
	auth     *request.Authenticator
	frontend *frontend.Server
	backends *backends.Directory
	registry *prometheus.Registry

	httpLn     net.Listener
	grpcLn     net.Listener
	grpcServer *grpc.Server

	draining          atomic.Bool
	platformReachable atomic.Bool
	// predecessor is the newest known earlier incarnation in this instance's slot; 0 if none is known.
	predecessor atomic.Uint64
	// joined is set once every shard of the cell has had a holder.
	joined         atomic.Bool
	drainOnce      sync.Once
	drainRequested chan struct{}
}

// New returns an instance whose addresses are bound. It serves no requests before Run.
func New(s settings.Settings) (*Daemon, error) {
	if err := failpoint.Parse(s.Faults.Failpoints); err != nil {
		return nil, err
	}
	invariant.PanicOnViolation(s.Faults.PanicOnViolation)
	d := &Daemon{settings: s, started: time.Now(), registry: prometheus.NewRegistry(),
		drainRequested: make(chan struct{})}
	if err := d.bind(); err != nil {
		return nil, err
	}
	from := d.source()
	d.pool = peer.NewPool(from)
	d.table = member.NewTable(d.self())
	d.platform = platformclient.New(s.Platform.LogURL, platformclient.WithInstancesURL(s.Platform.InstancesURL), platformclient.WithTimeout(platformTimeout),
		platformclient.WithHTTPClient(&http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: platformTimeout, LocalAddr: localAddr(from)}).DialContext,
			MaxIdleConnsPerHost: maxIdlePlatformConns,
		}}))
	d.build()
	d.register()
	return d, nil
}

func (d *Daemon) bind() error {
	var err error
	if d.httpLn, err = net.Listen("tcp", d.settings.Listen.Callers); err != nil {
		return errors.Wrap(err, "listen.callers")
	}
	if d.grpcLn, err = net.Listen("tcp", d.settings.Listen.Peers); err != nil {
		return errors.Wrap(err, "listen.peers")
	}
	return nil
}

// source returns the source address of the instance's outgoing connections: that of the listener for peers, or nil if
// it listens on all addresses.
func (d *Daemon) source() net.IP {
	a, ok := d.grpcLn.Addr().(*net.TCPAddr)
	if !ok || a.IP.IsUnspecified() {
		return nil
	}
	return a.IP
}

func localAddr(ip net.IP) net.Addr {
	if ip == nil {
		return nil
	}
	return &net.TCPAddr{IP: ip}
}

func (d *Daemon) self() member.Instance {
	in := member.Instance{
		ID: d.settings.Instance.ID, DataCentre: d.settings.Instance.DataCentre, Slot: d.settings.Instance.Slot,
		Incarnation: uint64(d.started.UnixNano()), PeerAddr: d.PeerAddr(), HTTPAddr: d.CallerAddr(),
	}
	return in
}

// CallerAddr returns the address advertised to callers.
func (d *Daemon) CallerAddr() string { return advertised(d.settings.Listen.AdvertiseCallers, d.httpLn) }

// PeerAddr returns the address advertised to other instances and operators.
func (d *Daemon) PeerAddr() string { return advertised(d.settings.Listen.AdvertisePeers, d.grpcLn) }

func advertised(addr string, l net.Listener) string {
	if addr != "" {
		return addr
	}
	return l.Addr().String()
}

// build creates the components in the order of their dependencies.
func (d *Daemon) build() {
	t, self := d.settings.Timing, d.table.Self()
	d.config = config.New(config.Config{RepublishAge: time.Duration(d.settings.Platform.Retention) / refreshDivisor}, d.table, d.pool, configLog{d.platform})
	cellConfig := cell.Config{
		DataCentre: self.DataCentre, Slot: self.Slot, Slots: d.settings.Instance.CellSlots, Incarnation: self.Incarnation,
		Lease: time.Duration(t.Lease), Margin: time.Duration(t.ClockMargin), Heartbeat: time.Duration(t.Heartbeat),
		ClaimWindow: time.Duration(t.ClaimWindow),
	}
	d.cell = cell.New(cellConfig, d.table, d.pool, cell.WithWitness(cell.NewLogWitness(cellConfig, cellLog{d.platform})))
	d.shards = &shards{cell: d.cell, n: d.settings.Instance.CellSlots}
	d.journal = newStreams(d.platform, self, float64(d.settings.Platform.AppendRate), d.cell.MarkDurable)
	d.ledger = ledger.New(ledger.Config{
		DataCentre: self.DataCentre, Slot: self.Slot, Slots: d.settings.Instance.CellSlots,
	}, d.table, d.pool, d.journal)
	d.quota = quotactl.New(quotactl.Config{
		DataCentre: self.DataCentre, DataCentres: d.settings.Instance.DataCentres, Slot: self.Slot, Slots: d.settings.Instance.CellSlots,
		SlotWait: time.Duration(t.Lease + t.ClockMargin), HolderWait: time.Duration(t.Lease + t.ClockMargin + 2*t.Heartbeat),
	}, d.table, d.shards, d.pool)
	d.keeper = keeper.New(keeper.Config{DataCentre: self.DataCentre, Policy: d.settings.Scheduling.Policy}, d.table, d.shards, d.pool)
	d.programs = program.NewController(self.DataCentre, d.shards, d.ledger,
		program.WithOnEnd(d.keeper.NotifyProgramEnded), program.WithForward(d.forwardEvent),
		program.WithDraining(d.draining.Load))
	d.journal.apply = d.applyEvent
	d.journal.shardOf = d.shardOf
	d.backends = backends.New(self.DataCentre)
	d.orders = orders.New(d.shards, d.journal.orders, d.backends.ChecksFencing, &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: platformTimeout, LocalAddr: localAddr(d.source())}).DialContext,
	}})
	d.journal.followOrders(d.orders)
	d.executor = executor.New(executor.Deps{
		Snapshot: d.config.Snapshot, Programs: d.programs, Admitter: d.keeper,
		BackendClient: engine.New(engine.Timeouts{FirstToken: time.Duration(t.FirstTokenTimeout), Progress: time.Duration(t.TokenTimeout)}, d.source()),
		Claimer:       d.cell, Intents: d.journal.index, IntentLog: d.journal.intents, Backends: d.backends,
	})
	d.router = router.New(d.table, d.shards, d.pool, d.executor, d.programs, d.dataCentresOf)
	d.auth = request.NewAuthenticator(d.config.Snapshot, d.quota)
	d.frontend = frontend.New(frontend.Deps{
		Auth:     d.auth,
		Commands: commands.New(d.router, d.config.Snapshot, self.DataCentre),
		Queries:  queries.New(d.router, d.config.Snapshot, d.ready),
		Registry: d.registry, Draining: d.draining.Load,
	})
	d.config.OnChange(d.configChanged)
}

// register registers the gRPC services and the metrics.
func (d *Daemon) register() {
	d.grpcServer = peer.NewServer()
	for _, r := range []interface{ Register(grpc.ServiceRegistrar) }{d.config, d.cell, d.quota, d.keeper} {
		r.Register(d.grpcServer)
	}
	registerPeer(d.grpcServer, d)
	registerAdmin(d.grpcServer, d)
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		invariant.Collector())
	for _, c := range []interface{ Collectors() []prometheus.Collector }{
		d.config, d.cell, d.quota, d.keeper, d.executor, d.router, d.journal, d.orders,
	} {
		d.registry.MustRegister(c.Collectors()...)
	}
	d.registry.MustRegister(d.gauges()...)
}

// dataCentresOf returns the data centres in a team's document, or all of the deployment if it lists none.
func (d *Daemon) dataCentresOf(team string) []string {
	snap := d.config.Snapshot()
	if snap == nil {
		return nil
	}
	if doc := snap.Document(team); doc != nil && len(doc.DataCentres) > 0 {
		return doc.DataCentres
	}
	return d.settings.Instance.DataCentres
}

// Run serves until ctx is done or Drain is called, then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	d.startTasks(work, &tasks)
	if d.settings.Listen.Debug != "" {
		tasks.Go(func() { serveDebug(work, d.settings.Listen.Debug) })
	}
	failed := make(chan error, 2)
	go func() { failed <- d.frontend.Serve(d.httpLn) }()
	go func() { failed <- d.grpcServer.Serve(d.grpcLn) }()
	klog.InfoS("Serving", "callers", d.CallerAddr(), "peers", d.PeerAddr(), "bound_peers", d.grpcLn.Addr().String(),
		"data_centre", d.settings.Instance.DataCentre)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	case <-d.drainRequested:
	}
	d.shutdown()
	stop()
	return nil
}

func (d *Daemon) startTasks(ctx context.Context, tasks *sync.WaitGroup) {
	for name, run := range map[string]func(context.Context) error{
		"config": d.config.Run, "quota": d.quota.Run, "keeper": d.keeper.Run, "journal": d.journal.Run,
		"cell": d.runCell, "membership": d.runMembership, "gather": d.runCollect, "sweep": d.runSweep, "orders": d.orders.Run,
	} {
		tasks.Go(func() {
			if err := run(ctx); err != nil && ctx.Err() == nil {
				klog.ErrorS(err, "Background task failed", "task", name)
			}
		})
	}
}

// shutdown refuses new calls, hands over quota and shards, and waits for calls in progress and for pending log records,
// up to the shutdown timeout.
func (d *Daemon) shutdown() {
	klog.InfoS("Shutdown started")
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.Timing.Shutdown))
	defer cancel()
	start := time.Now()
	d.draining.Store(true)
	d.table.SetLeaving()
	d.announceLeaving(ctx)
	d.logFailure("quota hand-over", d.quota.Leave(ctx))
	d.logFailure("cell hand-over", d.cell.Leave(ctx))
	d.awaitBalancer(ctx, start)
	d.logFailure("callers", d.frontend.Shutdown(ctx))
	d.stopGRPC(ctx)
	d.logFailure("journal", d.journal.Drain(ctx))
	d.pool.Close()
	klog.InfoS("Shutdown complete")
}

// awaitBalancer keeps the listener open, so that requests are refused with a response, until the load balancer has had
// time to see that the instance is not ready and no request has arrived for a while. A connection that is established
// while the listener closes is reset, and its caller can't know whether the call ran.
func (d *Daemon) awaitBalancer(ctx context.Context, start time.Time) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Timing.Shutdown)/balancerWaitDivisor)
	defer cancel()
	select {
	case <-time.After(time.Until(start.Add(balancerDelay))):
	case <-ctx.Done():
	}
	d.frontend.AwaitNoArrivals(ctx, quietPeriod)
}

// stopGRPC waits for the calls of other instances to finish, or aborts them when ctx is done.
func (d *Daemon) stopGRPC(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		d.grpcServer.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		d.grpcServer.Stop()
	}
}

func (d *Daemon) logFailure(step string, err error) {
	if err != nil {
		klog.ErrorS(err, "Shutdown step failed", "step", step)
	}
}

// ready returns an error if the instance should not receive requests.
func (d *Daemon) ready() error {
	switch {
	case d.draining.Load():
		return errors.New("shutting down")
	case d.config.Snapshot() == nil:
		return errors.New("no configuration yet")
	case !d.ledger.Ready():
		return errors.New("not caught up with the log yet")
	case !d.joined.Load() && !d.allShardsHeld():
		return errors.New("not every part of the cell has a holder yet")
	}
	// Once joined, the instance stays ready even if the cell loses its quorum: requests that need no holder still work.
	d.joined.Store(true)
	return nil
}

func (d *Daemon) allShardsHeld() bool {
	for shard := range d.shards.ShardCount() {
		if _, ok := d.shards.Holder(shard); !ok {
			return false
		}
	}
	return true
}

// Drain starts a graceful shutdown; Run returns when it is complete.
func (d *Daemon) Drain() { d.drainOnce.Do(func() { close(d.drainRequested) }) }

// PublishDocument publishes a team's document with this instance as its author.
func (d *Daemon) PublishDocument(ctx context.Context, team string, base uint64, doc []byte) (uint64, error) {
	return d.config.Apply(ctx, team, base, doc, d.settings.Instance.ID)
}
