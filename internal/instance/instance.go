// Package instance assembles and runs one gateway instance on the platform of package platform.
package instance

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/backendlimit"
	"github.com/berylpond/berylpond/internal/backendpath"
	"github.com/berylpond/berylpond/internal/clientconn"
	"github.com/berylpond/berylpond/internal/feature"
	"github.com/berylpond/berylpond/internal/feed"
	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/internal/gateway"
	"github.com/berylpond/berylpond/internal/homes"
	"github.com/berylpond/berylpond/internal/loadshare"
	"github.com/berylpond/berylpond/internal/membership"
	"github.com/berylpond/berylpond/internal/peer"
	"github.com/berylpond/berylpond/internal/quarantine"
	"github.com/berylpond/berylpond/internal/ratelimit"
	"github.com/berylpond/berylpond/internal/storetransport"
	"github.com/berylpond/berylpond/internal/storewatch"
	"github.com/berylpond/berylpond/internal/tunnel"
	"github.com/berylpond/berylpond/internal/turnclient"
	"github.com/berylpond/berylpond/internal/turnlog"
	"github.com/berylpond/berylpond/internal/upstream"
	"github.com/berylpond/berylpond/platform"
)

const (
	// memoryLimitFraction is the fraction of the memory limit that is set as Go's soft memory limit, above which
	// garbage collection runs more often. The rest is left for stacks, kernel buffers and temporary files.
	memoryLimitFraction = 0.7
	// heldMemoryFraction is the fraction of the memory limit that requests and caches may hold. As much again is garbage
	// between two collections, within memoryLimitFraction.
	heldMemoryFraction = memoryLimitFraction / 2
	// totalMemoryFraction is the fraction that these may hold together with the turns that the instance keeps as their owner.
	totalMemoryFraction = 0.5
	// contactTimeout is how long the store may be unreachable, both directly and through peers, before the instance
	// reports that it is not ready.
	contactTimeout = 1200 * time.Millisecond
	// feedTTL is how long a snapshot received from a peer counts as current. After that the instance reads the store
	// itself.
	feedTTL = 1800 * time.Millisecond
	// quarantineLoadTimeout bounds the wait for the list of requests that must not be sent on. The store has just responded
	// with the configuration, so the list usually comes within milliseconds.
	quarantineLoadTimeout = 2 * time.Second
	// readinessDrainDelay is how long connections are still accepted after the stop signal: the load balancer probes
	// once a second and removes an instance after two failed probes.
	readinessDrainDelay = 2500 * time.Millisecond
	// shutdownMargin is the time between the deadline for requests in progress and the platform's kill.
	shutdownMargin = 500 * time.Millisecond
	// finalAnswerMargin is the time before that deadline at which requests without a response get a failure as their answer.
	finalAnswerMargin = 200 * time.Millisecond
	// defaultIdleTimeout applies to idle client connections until the first configuration is loaded.
	defaultIdleTimeout = 20 * time.Second
	// idleTimeoutMargin is added to the configured idle timeout, so that a client that observes that timeout never
	// sends a request on a connection that is being closed.
	idleTimeoutMargin = 2 * time.Second
	// defaultHeaderTimeout and defaultHeaderBytes apply until the first configuration is loaded.
	defaultHeaderTimeout = 3 * time.Second
	defaultHeaderBytes   = 32 << 10
)

// Instance is one running instance.
type Instance struct {
	settings platform.Settings
	features feature.Set
	// startID is unique for each start of the process.
	startID string
	// self is the address at which peers reach this instance.
	self      string
	transport *storetransport.Transport
	store     *platform.Store
	config    *storewatch.ConfigWatcher
	backends  *storewatch.BackendWatcher
	fleet     *fleet.Fleet
	// evacuations holds the data centres whose backend servers get nothing new.
	evacuations *storewatch.Evacuations
	// places knows the regions of peers.
	places  *homes.Directory
	group   *membership.Membership
	owner   *turnlog.Owner
	limiter *ratelimit.Limiter
	// quarantine keeps requests that crash backend servers from being sent on.
	quarantine *quarantine.Quarantine
	holder     *ratelimit.BucketHolder
	gateway    *gateway.Gateway
	// connections bounds those of clients.
	connections *clientconn.Limiter
	// feedServer sends snapshots of this instance's view to peers; feedClient requests theirs.
	feedServer  *feed.Server
	feedClient  *feed.Client
	pool        *peer.Pool
	backendPool *upstream.Pool
	backendPath *backendpath.Dialer
	// dialBackend opens connections to backend servers directly.
	dialBackend backendpath.DialFunc
	tunnels     *tunnel.Server
	metrics     *prometheus.Registry
	// listening is set once clients can connect, closing once shutdown has begun.
	listening, closing atomic.Bool
}

// ratesPartition is the partition whose owner holds the accounts' token buckets. The buckets do not depend on the log,
// so the owner holds them as soon as the partition is assigned.
const ratesPartition = 0

// New returns an instance that is not serving yet, with the given features. Canceling ctx ends its background work.
func New(ctx context.Context, s platform.Settings, features feature.Set) *Instance {
	i := &Instance{
		settings: s, features: features, startID: uuid.NewString(), self: net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPeerPort)),
		fleet: fleet.New(s.DataCentre, s.DrainPeriod), pool: peer.NewPool(net.ParseIP(s.IP)),
		dialBackend: upstream.Dial, metrics: prometheus.NewRegistry(),
	}
	i.places = homes.NewDirectory(i.pool)
	tunnels := tunnel.NewClient(i.pool, i.peers)
	tunnels.Allows = i.places.Allows
	i.backendPath = backendpath.New(ctx, func(ctx context.Context, address string) (net.Conn, error) {
		return i.dialBackend(ctx, address)
	}, tunnels.Dial, i.fleet.Addresses, backendpath.NewMetrics(i.metrics))
	i.backendPool = upstream.NewPool(i.backendPath)
	i.tunnels = tunnel.NewServer(i.backendPath.DialDirect, i.fleet, i.closing.Load)
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryLimitFraction))
	i.transport = storetransport.New(platform.NewHTTPTransport(s.Store.Address, net.ParseIP(s.IP)), i.pool, i.relays)
	store := platform.NewStore(i.transport)
	i.store = store
	hooks := storewatch.Hooks{
		UsesFeed: i.usesFeed, OnChange: func() { i.feedServer.NotifyChanged() }, Metrics: storewatch.NewMetrics(i.metrics),
	}
	i.evacuations = storewatch.NewEvacuations(i.applyEvacuations)
	i.config = storewatch.NewConfigWatcher(store, i.evacuations, storewatch.Hooks{
		UsesFeed: i.usesFeedOfEvacuations, OnChange: hooks.OnChange, Metrics: hooks.Metrics,
	})
	i.fleet.ReturnPeriod = i.returnPeriod
	registerEvacuationMetric(i.metrics, i.fleet)
	i.backends = storewatch.NewBackendWatcher(store, i.fleet, hooks)
	finder := &finder{}
	i.owner = turnlog.NewOwner(ctx, store, s.Store, i.startID, finder, turnlog.NewMetrics(i.metrics))
	i.owner.AdvanceGrants = features.Enabled(feature.AdvanceGrants)
	i.group = membership.New(membership.Options{
		Store: store, Settings: s.Store, Topic: turnlog.Topic, Self: i.self, StartID: i.startID, Cores: s.Cores,
		Assigner: i.owner, UsesFeed: i.usesFeed, OnChange: hooks.OnChange,
	})
	i.fleet.SetColdLimit(i.coldLimit)
	registerColdMetrics(i.metrics, i.fleet)
	i.feedServer = feed.NewServer(i.startID, feed.View{
		Configuration: i.config.Current, Backends: i.fleet.Entries, Owners: i.group.OwnersByPartition, Age: i.viewAge,
		SinceContact: i.transport.SinceContact, Evacuated: i.evacuations.Current,
	})
	i.feedClient = feed.NewClient(i.pool, i.group.OwnerAddresses, i.config.Current, func() bool { return !i.group.IsMember() }, feed.Sink{
		Configuration: i.config.Apply, Backends: i.backends.Replace, Owners: i.group.SetOwners,
		Evacuated: i.evacuations.Replace,
	})
	client := turnclient.New(s.Store.Partitions, i.group, i.pool)
	client.StoreAway = func() bool { return features.Enabled(feature.EarlyRefusal) && i.isolated() }
	client.Local, client.Allows = i.owner, i.places.Allows
	finder.Client = client
	i.holder = ratelimit.NewBucketHolder(i.config.Current, i.group.RecentPeers, i.self, i.holderState,
		i.transport.SinceContact)
	i.limiter = ratelimit.NewLimiter(i.config.Current, i.group.RecentPeers, i.self, &rateClient{i})
	i.limiter.OnLimit = func(server backendlimit.Server, l backendlimit.State) {
		if change, changed := i.fleet.UpdateLimit(server, l); changed {
			fleet.LogLimitChange(server.ID, change, "learned_from", "holder")
		}
	}
	i.quarantine = quarantine.New(ctx, quarantine.Options{
		Retention: s.Store.Retention, Probe: i.backendPool.Probe, OnNews: i.limiter.ExchangeSoon,
		InService: func(server quarantine.Server) bool { return i.fleet.InService(server.ID, server.Incarnation) },
		Metrics:   quarantine.NewMetrics(i.metrics),
	})
	i.limiter.Suspects, i.holder.ExchangeSuspects = i.quarantine, i.quarantine.Exchange
	if features.Enabled(feature.LoadSharing) {
		loads := loadshare.NewExchange(i.fleet, time.Now, loadshare.NewMetrics(i.metrics))
		i.limiter.Loads, i.holder.ExchangeLoads = loads, loads.Serve
	}
	i.gateway = gateway.New(gateway.Options{
		Configuration: i.config.Current, Fleet: i.fleet, Upstream: i.backendPool, TurnClient: client, RateLimiter: i.limiter,
		Quarantine: i.quarantine, Metrics: gateway.NewMetrics(i.metrics), Draining: i.closing.Load, Isolated: i.isolated,
		Features: features, HeldBytes: int64(float64(s.MemoryBytes) * heldMemoryFraction),
		TotalBytes: int64(float64(s.MemoryBytes) * totalMemoryFraction),
		ViewUsable: i.viewUsable, EvacuationPeriod: s.EvacuationPeriod, RegionOf: s.RegionOf,
	})
	i.owner.Memory = i.gateway.Memory()
	i.connections = clientconn.NewLimiter(
		i.gateway.Memory(), clientconn.MostConnections(s.MemoryBytes, s.MaxFiles), clientconn.NewMetrics(i.metrics))
	return i
}

// usesFeed reports whether this instance gets the contents of the store from a peer instead of reading it.
func (i *Instance) usesFeed() bool {
	return !i.group.IsMember() && i.feedClient.ConfirmedWithin(feedTTL)
}

// viewAge returns the age of the data that this instance has read from the store. It reports false if the data comes
// from a peer instead.
func (i *Instance) viewAge() (time.Duration, bool) {
	return max(i.config.Age(), i.backends.Age()), !i.usesFeed()
}

// finder breaks the initialization cycle between the owner and the client that calls other owners.
type finder struct{ *turnclient.Client }

// rateClient sends token requests to the owner of ratesPartition.
type rateClient struct{ i *Instance }

// Holder implements ratelimit.HolderClient.
func (t *rateClient) Holder() string { return t.i.group.OwnerOf(ratesPartition) }

// Take implements ratelimit.HolderClient.
func (t *rateClient) Take(ctx context.Context, holder string, r *turnv1.TakeRequest) (*turnv1.TakeResponse, error) {
	if holder == t.i.self {
		return t.i.holder.Take(ctx, r)
	}
	conn, err := t.i.pool.Conn(holder)
	if err != nil {
		t.i.group.RequestOwners()
		return nil, err
	}
	resp, err := turnv1.NewRatesClient(conn).Take(ctx, r)
	if err != nil || resp.Outcome != turnv1.Outcome_OUTCOME_OK {
		t.i.group.RequestOwners()
	}
	return resp, err
}

// holderState returns this instance's state of ownership of the accounts' token buckets.
func (i *Instance) holderState() ratelimit.HolderState {
	if i.owner.IsAssigned(ratesPartition) {
		return ratelimit.Holding
	}
	if a := i.group.OwnerOf(ratesPartition); a == "" || a == i.self {
		return ratelimit.Retiring
	}
	return ratelimit.NotHolding
}

// peers lists the addresses of the other instances: the recently seen members and the seeds.
func (i *Instance) peers() []string {
	out := i.group.RecentPeers()
	listed := map[string]bool{i.self: true}
	for _, a := range out {
		listed[a] = true
	}
	for _, ip := range i.settings.SeedIPs {
		if a := net.JoinHostPort(ip, strconv.Itoa(i.settings.FirstPeerPort)); !listed[a] {
			out = append(out, a)
		}
	}
	return out
}

// Ready reports whether the load balancer should send new connections here.
func (i *Instance) Ready() bool {
	return i.listening.Load() && !i.closing.Load() && i.config.Current() != nil && i.fleet.IsLoaded() && !i.isolated()
}

// isolated reports whether the store has been unreachable, directly and through peers, for contactTimeout.
func (i *Instance) isolated() bool {
	return !i.transport.InContact(contactTimeout) && !i.feedClient.ContactWithin(contactTimeout)
}

// Run serves until ctx is done, then shuts down gracefully.
func (i *Instance) Run(ctx context.Context, metricsPort int) error {
	klog.InfoS("start", "without", i.features.String(), "instance", i.settings.Instance, "data_centre", i.settings.DataCentre, "start", i.startID,
		"peers", i.self, "clients", i.settings.ClientAddress, "store", i.settings.Store.Address,
		"partitions", i.settings.Store.Partitions, "memory_bytes", i.settings.MemoryBytes)
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	failed := make(chan error, 4)
	rpc, err := i.servePeers(failed)
	if err != nil {
		return err
	}
	defer rpc.Stop()
	if err := i.serveHealthChecks(metricsPort, failed); err != nil {
		return err
	}
	go i.group.Run(background)
	go i.config.Run(background)
	go i.backends.Run(background)
	go i.feedClient.Run(background)
	go i.limiter.Run(background)
	go i.quarantine.Run(background, i.store)
	clients, err := i.serveClients(ctx, failed)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	i.stop(clients)
	return err
}

// stop hands over the partitions and waits for requests in progress, up to the grace period.
func (i *Instance) stop(clients *http.Server) {
	start := time.Now()
	deadline := start.Add(i.settings.GracePeriod - shutdownMargin)
	i.gateway.BeginStop(deadline.Add(-finalAnswerMargin))
	i.closing.Store(true)
	klog.InfoS("stop", "grace_ms", i.settings.GracePeriod.Milliseconds(), "partitions", i.owner.OwnedPartitions())
	i.group.Leave(context.Background())
	if clients != nil {
		time.Sleep(readinessDrainDelay - time.Since(start))
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		if err := clients.Shutdown(ctx); err != nil {
			klog.InfoS("requests still in progress at the end of the grace period", "cause", err.Error())
		} else {
			i.gateway.WaitForReports()
		}
		i.tunnels.Wait(ctx)
	}
	klog.InfoS("stopped", "took_ms", time.Since(start).Milliseconds())
	klog.Flush()
}

func (i *Instance) servePeers(failed chan<- error) (*grpc.Server, error) {
	l, err := net.Listen("tcp", i.self)
	if err != nil {
		return nil, errors.Wrap(err, "listening for peers")
	}
	s := peer.NewServer()
	turnv1.RegisterTurnsServer(s, i.owner)
	turnv1.RegisterRatesServer(s, i.holder)
	turnv1.RegisterRelayServer(s, &relay{i: i})
	turnv1.RegisterTunnelsServer(s, i.tunnels)
	go func() {
		if err := s.Serve(l); err != nil {
			failed <- errors.Wrap(err, "serving peers")
		}
	}()
	return s, nil
}

// serveHealthChecks serves the load balancer's readiness probe and, if a port is given, the metrics.
func (i *Instance) serveHealthChecks(metricsPort int, failed chan<- error) error {
	checks := http.NewServeMux()
	checks.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !i.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if err := serve(i.settings.ReadyAddress, checks, failed); err != nil {
		return err
	}
	if metricsPort == 0 {
		return nil
	}
	m := http.NewServeMux()
	m.Handle("GET /metrics", promhttp.HandlerFor(i.metrics, promhttp.HandlerOpts{}))
	return serve(net.JoinHostPort(i.settings.IP, strconv.Itoa(metricsPort)), m, failed)
}

func serve(address string, h http.Handler, failed chan<- error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listening")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	go func() { failed <- errors.Wrapf(s.Serve(l), "serving %s", address) }()
	return nil
}

// serveClients accepts clients once a configuration is loaded, since the server enforces its limits.
func (i *Instance) serveClients(ctx context.Context, failed chan<- error) (*http.Server, error) {
	select {
	case <-ctx.Done():
		return nil, nil
	case <-i.config.Ready():
	}
	select {
	case <-i.quarantine.Loaded():
	case <-time.After(quarantineLoadTimeout):
		klog.InfoS("serving before the quarantines were read from the store")
	}
	l, err := net.Listen("tcp", i.settings.ClientAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listening for clients")
	}
	i.listening.Store(true)
	limits := i.config.Current().Limits
	s := &http.Server{
		Handler: i.gateway, ReadHeaderTimeout: orDefault(limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:    orDefault(limits.IdleTimeout, defaultIdleTimeout) + idleTimeoutMargin,
		MaxHeaderBytes: max(limits.HeaderBytes, defaultHeaderBytes), ErrorLog: discardLog,
		ConnState: i.connections.StateChanged, ConnContext: clientconn.NewContext,
	}
	go func() {
		if err := s.Serve(i.connections.Listen(l)); !errors.Is(err, http.ErrServerClosed) {
			failed <- errors.Wrap(err, "serving clients")
		}
	}()
	return s, nil
}

func orDefault(v, fallback time.Duration) time.Duration {
	if v <= 0 {
		return fallback
	}
	return v
}
