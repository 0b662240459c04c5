// Package daemon puts the parts of one entry instance together and runs them.
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
	"github.com/berylpond/berylpond/internal/platform"
	"github.com/berylpond/berylpond/internal/program"
	"github.com/berylpond/berylpond/internal/quota/quotactl"
	"github.com/berylpond/berylpond/internal/router"
	"github.com/berylpond/berylpond/internal/settings"
)

// refreshShare is the part of the log's retention after which the configuration is put on the log again.
const refreshShare = 4

const (
	// quietTime is how long no caller may have come before the listener closes.
	quietTime = 500 * time.Millisecond
	// lingerShare is the part of the time for a shutdown that may pass with waiting for that.
	lingerShare = 4
)

// idlePlatform bounds the idle connections kept to the platform.
const idlePlatform = 16

// balancerLag is the time that the platform's balancer has to stop sending callers to an instance that is not ready.
const balancerLag = 500 * time.Millisecond

// platformTimeout bounds one request to the platform.
const platformTimeout = 2 * time.Second

// Daemon is one entry instance.
type Daemon struct {
	set      settings.Settings
	started  time.Time
	table    *member.Table
	pool     *peer.Pool
	platform *platform.Client
	config   *config.Controller
	cell     *cell.Controller
	parts    *parts
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

	callers net.Listener
	peers   net.Listener
	grpc    *grpc.Server

	draining          atomic.Bool
	platformReachable atomic.Bool
	// predecessor is the newest known earlier incarnation of this instance's slot.
	predecessor atomic.Uint64
	// joined is set once every part of the cell had a holder.
	joined     atomic.Bool
	drainOnce  sync.Once
	drainAsked chan struct{}
}

// New builds an instance and binds its addresses. It serves nothing before Run.
func New(s settings.Settings) (*Daemon, error) {
	if err := failpoint.Parse(s.Faults.Failpoints); err != nil {
		return nil, err
	}
	invariant.PanicOnViolation(s.Faults.PanicOnViolation)
	d := &Daemon{set: s, started: time.Now(), registry: prometheus.NewRegistry(),
		drainAsked: make(chan struct{})}
	if err := d.bind(); err != nil {
		return nil, err
	}
	from := d.source()
	d.pool = peer.NewPool(from)
	d.table = member.NewTable(d.self())
	d.platform = platform.New(s.Platform.Log, platform.WithInstancesURL(s.Platform.Instances), platform.WithTimeout(platformTimeout),
		platform.WithHTTPClient(&http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: platformTimeout, LocalAddr: localAddr(from)}).DialContext,
			MaxIdleConnsPerHost: idlePlatform,
		}}))
	d.build()
	d.register()
	return d, nil
}

func (d *Daemon) bind() error {
	var err error
	if d.callers, err = net.Listen("tcp", d.set.Listen.Callers); err != nil {
		return errors.Wrap(err, "listen.callers")
	}
	if d.peers, err = net.Listen("tcp", d.set.Listen.Peers); err != nil {
		return errors.Wrap(err, "listen.peers")
	}
	return nil
}

// source is the address that the instance's connections leave from: that of its peers' listener, unless it listens on
// all addresses.
func (d *Daemon) source() net.IP {
	a, ok := d.peers.Addr().(*net.TCPAddr)
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
		ID: d.set.Instance.ID, DataCentre: d.set.Instance.DataCentre, Slot: d.set.Instance.Slot,
		Incarnation: uint64(d.started.UnixNano()), PeerAddr: d.PeerAddr(), HTTPAddr: d.CallerAddr(),
	}
	return in
}

// CallerAddr is the address that callers use.
func (d *Daemon) CallerAddr() string { return advertised(d.set.Listen.AdvertiseCallers, d.callers) }

// PeerAddr is the address that other instances and operators use.
func (d *Daemon) PeerAddr() string { return advertised(d.set.Listen.AdvertisePeers, d.peers) }

func advertised(addr string, l net.Listener) string {
	if addr != "" {
		return addr
	}
	return l.Addr().String()
}

// build makes the parts, each from those before it.
func (d *Daemon) build() {
	t, self := d.set.Timing, d.table.Self()
	d.config = config.New(config.Config{RefreshEvery: time.Duration(d.set.Platform.Retention) / refreshShare}, d.table, d.pool, configLog{d.platform})
	cellConfig := cell.Config{
		DataCentre: self.DataCentre, Slot: self.Slot, Slots: d.set.Instance.CellSlots, Incarnation: self.Incarnation,
		Lease: time.Duration(t.Lease), Margin: time.Duration(t.Margin), Heartbeat: time.Duration(t.Heartbeat),
		ClaimWindow: time.Duration(t.ClaimWindow),
	}
	d.cell = cell.New(cellConfig, d.table, d.pool, cell.WithExtraVoter(cell.NewLogVoter(cellConfig, cellLog{d.platform})))
	d.parts = &parts{cell: d.cell, n: d.set.Instance.CellSlots}
	d.journal = newStreams(d.platform, self, float64(d.set.Platform.Appends), d.cell.MarkDurable)
	d.ledger = ledger.New(ledger.Config{
		DataCentre: self.DataCentre, Slot: self.Slot, Slots: d.set.Instance.CellSlots,
	}, d.table, d.pool, d.journal)
	d.quota = quotactl.New(quotactl.Config{
		DataCentre: self.DataCentre, DataCentres: d.set.Instance.DataCentres, Slot: self.Slot, Slots: d.set.Instance.CellSlots,
		SlotWait: time.Duration(t.Lease + t.Margin), HolderWait: time.Duration(t.Lease + t.Margin + 2*t.Heartbeat),
	}, d.table, d.parts, d.pool)
	d.keeper = keeper.New(keeper.Config{DataCentre: self.DataCentre, Policy: d.set.Scheduling.Policy}, d.table, d.parts, d.pool)
	d.programs = program.NewController(self.DataCentre, d.parts, d.ledger,
		program.WithEnded(d.keeper.ProgramEnded), program.WithForward(d.forwardEvent), program.WithDraining(d.draining.Load))
	d.journal.apply = d.applyEvent
	d.journal.partOf = d.partOf
	d.backends = backends.New(self.DataCentre)
	d.orders = orders.New(d.parts, d.journal.orders, d.backends.ChecksFence, &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: platformTimeout, LocalAddr: localAddr(d.source())}).DialContext,
	}})
	d.journal.followOrders(d.orders)
	d.executor = executor.New(executor.Deps{
		Snapshot: d.config.Snapshot, Programs: d.programs, Keeper: d.keeper,
		Client: engine.New(engine.Timeouts{FirstToken: time.Duration(t.FirstToken), Progress: time.Duration(t.Progress)}, d.source()),
		Claims: d.cell, Intents: d.journal.index, Log: d.journal.intents, Backends: d.backends,
	})
	d.router = router.New(d.table, d.parts, d.pool, d.executor, d.programs, d.dataCentresOf)
	d.auth = request.NewAuthenticator(d.config.Snapshot, d.quota)
	d.frontend = frontend.New(frontend.Deps{
		Auth:     d.auth,
		Commands: commands.New(d.router, d.config.Snapshot, self.DataCentre),
		Queries:  queries.New(d.router, d.config.Snapshot, d.ready),
		Registry: d.registry, Draining: d.draining.Load,
	})
	d.config.OnChange(d.configChanged)
}

// register adds the gRPC services and the metrics.
func (d *Daemon) register() {
	d.grpc = peer.NewServer()
	for _, r := range []interface{ Register(grpc.ServiceRegistrar) }{d.config, d.cell, d.quota, d.keeper} {
		r.Register(d.grpc)
	}
	registerPeer(d.grpc, d)
	registerAdmin(d.grpc, d)
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		invariant.Collector())
	for _, c := range []interface{ Collectors() []prometheus.Collector }{
		d.config, d.cell, d.quota, d.keeper, d.executor, d.router, d.journal, d.orders,
	} {
		d.registry.MustRegister(c.Collectors()...)
	}
	d.registry.MustRegister(d.gauges()...)
}

// dataCentresOf returns the data centres of a team's document.
func (d *Daemon) dataCentresOf(team string) []string {
	snap := d.config.Snapshot()
	if snap == nil {
		return nil
	}
	if doc := snap.Document(team); doc != nil && len(doc.DataCentres) > 0 {
		return doc.DataCentres
	}
	return d.set.Instance.DataCentres
}

// Run serves until ctx ends, then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	d.startTasks(work, &tasks)
	if d.set.Listen.Debug != "" {
		tasks.Go(func() { serveDebug(work, d.set.Listen.Debug) })
	}
	failed := make(chan error, 2)
	go func() { failed <- d.frontend.Serve(d.callers) }()
	go func() { failed <- d.grpc.Serve(d.peers) }()
	klog.InfoS("Serving", "callers", d.CallerAddr(), "peers", d.PeerAddr(), "bound_peers", d.peers.Addr().String(),
		"data_centre", d.set.Instance.DataCentre)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	case <-d.drainAsked:
	}
	d.shutdown()
	stop()
	return nil
}

func (d *Daemon) startTasks(ctx context.Context, tasks *sync.WaitGroup) {
	for name, run := range map[string]func(context.Context) error{
		"config": d.config.Run, "quota": d.quota.Run, "keeper": d.keeper.Run, "journal": d.journal.Run,
		"cell": d.runCell, "membership": d.runMembership, "gather": d.runGather, "sweep": d.runSweep, "orders": d.orders.Run,
	} {
		tasks.Go(func() {
			if err := run(ctx); err != nil && ctx.Err() == nil {
				klog.ErrorS(err, "Task ended", "task", name)
			}
		})
	}
}

// shutdown is graceful: callers are sent elsewhere, parts and tokens are handed over, calls under way finish.
func (d *Daemon) shutdown() {
	klog.InfoS("Shutting down")
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.set.Timing.Shutdown))
	defer cancel()
	begun := time.Now()
	d.draining.Store(true)
	d.table.SetLeaving()
	d.announceLeaving(ctx)
	d.logFailure("quota hand-over", d.quota.Leave(ctx))
	d.logFailure("cell hand-over", d.cell.Leave(ctx))
	d.awaitBalancer(ctx, begun)
	d.logFailure("callers", d.frontend.Shutdown(ctx))
	d.stopGRPC(ctx)
	d.logFailure("journal", d.journal.Drain(ctx))
	d.pool.Close()
	klog.InfoS("Shut down")
}

// awaitBalancer goes on refusing callers until the balancer has had time to see that the instance is not ready, and no
// caller has come for a while: a connection that is made while the listener closes is reset, and its caller can't know
// whether the call ran.
func (d *Daemon) awaitBalancer(ctx context.Context, begun time.Time) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.set.Timing.Shutdown)/lingerShare)
	defer cancel()
	select {
	case <-time.After(time.Until(begun.Add(balancerLag))):
	case <-ctx.Done():
	}
	d.frontend.AwaitQuiet(ctx, quietTime)
}

// stopGRPC lets the calls of other instances finish until ctx ends.
func (d *Daemon) stopGRPC(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		d.grpc.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		d.grpc.Stop()
	}
}

func (d *Daemon) logFailure(step string, err error) {
	if err != nil {
		klog.ErrorS(err, "Shutdown step failed", "step", step)
	}
}

// ready tells why the instance should get no traffic yet.
func (d *Daemon) ready() error {
	switch {
	case d.draining.Load():
		return errors.New("shutting down")
	case d.config.Snapshot() == nil:
		return errors.New("no configuration yet")
	case !d.ledger.Ready():
		return errors.New("not caught up with the log yet")
	case !d.joined.Load() && !d.partsHeld():
		return errors.New("not every part of the cell has a holder yet")
	}
	// A cell that loses its majority later still serves what needs no holder.
	d.joined.Store(true)
	return nil
}

func (d *Daemon) partsHeld() bool {
	for part := range d.parts.Parts() {
		if _, ok := d.parts.Holder(part); !ok {
			return false
		}
	}
	return true
}

// Drain begins a graceful shutdown; Run returns at its end.
func (d *Daemon) Drain() { d.drainOnce.Do(func() { close(d.drainAsked) }) }

// Apply publishes a document on behalf of the process itself.
func (d *Daemon) Apply(ctx context.Context, team string, base uint64, doc []byte) (uint64, error) {
	return d.config.Apply(ctx, team, base, doc, d.set.Instance.ID)
}
