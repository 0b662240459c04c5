// Package instance wires and runs one entry instance on the users' platform.
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
	"github.com/berylpond/berylpond/internal/feed"
	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/internal/follow"
	"github.com/berylpond/berylpond/internal/gateway"
	"github.com/berylpond/berylpond/internal/membership"
	"github.com/berylpond/berylpond/internal/peer"
	"github.com/berylpond/berylpond/internal/rates"
	"github.com/berylpond/berylpond/internal/storepath"
	"github.com/berylpond/berylpond/internal/turnlog"
	"github.com/berylpond/berylpond/internal/turns"
	"github.com/berylpond/berylpond/internal/upstream"
	"github.com/berylpond/berylpond/platform"
)

const (
	// memoryShare is the part of the memory limit that the Go heap may fill before it is collected more often; the rest
	// is for stacks, buffers of the kernel and temporary files.
	memoryShare = 0.7
	// contactWithin is how long the store may be silent on every way before the instance stops being ready.
	contactWithin = 1200 * time.Millisecond
	// feedWithin is how long an instance relies on what another one told it before it reads the store itself.
	feedWithin = 1800 * time.Millisecond
	// unreadyFor is how long connections are accepted after the stop signal: the balancer asks once a second and needs
	// two misses.
	unreadyFor = 2500 * time.Millisecond
	// stopMargin is kept between the end of the last requests and the platform's kill.
	stopMargin = 500 * time.Millisecond
	// defaultIdleTimeout closes idle client connections before the configuration says when.
	defaultIdleTimeout = 20 * time.Second
	// idleSlack is added to the configured idle timeout, so that a client that keeps to it never meets a closing
	// connection.
	idleSlack = 2 * time.Second
	// defaultHeaderTimeout and defaultHeaderBytes hold before the first configuration.
	defaultHeaderTimeout = 3 * time.Second
	defaultHeaderBytes   = 32 << 10
)

// Instance is one running instance.
type Instance struct {
	settings platform.Settings
	// start is unique for each start of the process.
	start   string
	self    string
	path    *storepath.Path
	config  *follow.Config
	entries *follow.Backends
	fleet   *fleet.Fleet
	members *membership.Membership
	owner   *turnlog.Owner
	lessee  *rates.Lessee
	holder  *rates.Holder
	gateway *gateway.Gateway
	// feedServer tells other instances what this one knows, feedClient asks them.
	feedServer *feed.Server
	feedClient *feed.Client
	pool       *peer.Pool
	servers    *upstream.Pool
	metrics    *prometheus.Registry
	// listening is set once clients can connect, closing once they should go elsewhere.
	listening, closing atomic.Bool
}

// partitionOfRates is the partition whose owner holds the accounts' buckets. They need nothing of the log, so they are
// held as soon as the partition is dealt.
const partitionOfRates = 0

// New builds an instance; the context ends its background work.
func New(ctx context.Context, s platform.Settings) *Instance {
	i := &Instance{
		settings: s, start: uuid.NewString(), self: net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPeerPort)),
		fleet: fleet.New(s.DataCentre), pool: peer.NewPool(net.ParseIP(s.IP)), servers: upstream.NewPool(),
		metrics: prometheus.NewRegistry(),
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	i.path = storepath.New(platform.NewHTTPCarrier(s.Store.Address, net.ParseIP(s.IP)), i.pool, i.peers)
	store := platform.NewStore(i.path)
	hooks := follow.Hooks{Fed: i.fed, Changed: func() { i.feedServer.Changed() }}
	i.config = follow.NewConfig(store, hooks)
	i.entries = follow.NewBackends(store, i.fleet, hooks)
	finder := &finder{}
	i.owner = turnlog.NewOwner(ctx, store, s.Store, i.start, finder, turnlog.NewMetrics(i.metrics))
	i.members = membership.New(membership.Options{
		Store: store, Settings: s.Store, Topic: turnlog.Topic, Self: i.self, Start: i.start, Cores: s.Cores,
		Assigner: i.owner, Fed: i.fed, Changed: hooks.Changed,
	})
	i.feedServer = feed.NewServer(i.start, feed.View{
		Configuration: i.config.Current, Backends: i.fleet.Entries, Owners: i.members.Owners, Age: i.viewAge,
		Silence: i.path.Silence,
	})
	i.feedClient = feed.NewClient(i.pool, i.members.Readers, i.config.Current, func() bool { return !i.members.Member() }, feed.Sink{
		Configuration: i.config.Learn, Backends: i.entries.Replace, Owners: i.members.Learn,
	})
	client := turns.New(s.Store.Partitions, i.members, i.pool)
	client.Local = i.owner
	finder.Client = client
	i.holder = rates.NewHolder(i.config.Current, i.members.Known, i.self, i.tenure, i.path.Silence)
	i.lessee = rates.NewLessee(i.config.Current, i.members.Known, i.self, &taker{i})
	i.gateway = gateway.New(gateway.Options{
		Configuration: i.config.Current, Fleet: i.fleet, Servers: i.servers, Turns: client, Rates: i.lessee,
		Metrics: gateway.NewMetrics(i.metrics), Closing: i.closing.Load, Isolated: i.isolated,
	})
	return i
}

// fed reports whether another instance tells this one what the store holds.
func (i *Instance) fed() bool { return !i.members.Member() && i.feedClient.FreshWithin(feedWithin) }

// viewAge is the age of what this instance has read of the store itself; it reports false if it is fed.
func (i *Instance) viewAge() (time.Duration, bool) {
	return max(i.config.Age(), i.entries.Age()), !i.fed()
}

// finder breaks the circle between the owner and the client that asks other owners.
type finder struct{ *turns.Client }

// taker sends requests for tokens to the owner of partitionOfRates.
type taker struct{ i *Instance }

// Holder implements rates.Taker.
func (t *taker) Holder() string { return t.i.members.OwnerOf(partitionOfRates) }

// Take implements rates.Taker.
func (t *taker) Take(ctx context.Context, holder string, r *turnv1.TakeRequest) (*turnv1.TakeResponse, error) {
	if holder == t.i.self {
		return t.i.holder.Take(ctx, r)
	}
	conn, err := t.i.pool.Conn(holder)
	if err != nil {
		t.i.members.Refresh()
		return nil, err
	}
	resp, err := turnv1.NewRatesClient(conn).Take(ctx, r)
	if err != nil || resp.Outcome != turnv1.Outcome_OUTCOME_OK {
		t.i.members.Refresh()
	}
	return resp, err
}

// tenure is the instance's right to the accounts' buckets.
func (i *Instance) tenure() rates.Tenure {
	if i.owner.Assigned(partitionOfRates) {
		return rates.Holding
	}
	if a := i.members.OwnerOf(partitionOfRates); a == "" || a == i.self {
		return rates.Retiring
	}
	return rates.NotHolding
}

// peers lists the other instances: those seen lately, and the seeds.
func (i *Instance) peers() []string {
	out := i.members.Known()
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

// Ready reports whether the balancer should send new connections here.
func (i *Instance) Ready() bool {
	return i.listening.Load() && !i.closing.Load() && i.config.Current() != nil && i.fleet.IsLoaded() && !i.isolated()
}

// isolated reports whether the store has been silent on every way for a while.
func (i *Instance) isolated() bool {
	return !i.path.InContact(contactWithin) && !i.feedClient.InContact(contactWithin)
}

// Run serves until the context ends, then stops gracefully.
func (i *Instance) Run(ctx context.Context, metricsPort int) error {
	klog.InfoS("start", "instance", i.settings.Instance, "data_centre", i.settings.DataCentre, "start", i.start,
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
	if err := i.serveChecks(metricsPort, failed); err != nil {
		return err
	}
	go i.members.Run(background)
	go i.config.Run(background)
	go i.entries.Run(background)
	go i.feedClient.Run(background)
	go i.lessee.Run(background)
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

// stop hands the partitions over, and lets the requests under way end.
func (i *Instance) stop(clients *http.Server) {
	start := time.Now()
	i.closing.Store(true)
	klog.InfoS("stop", "grace_ms", i.settings.GracePeriod.Milliseconds(), "partitions", i.owner.Owned())
	i.members.Leave(context.Background())
	if clients != nil {
		time.Sleep(unreadyFor - time.Since(start))
		ctx, cancel := context.WithDeadline(context.Background(), start.Add(i.settings.GracePeriod-stopMargin))
		defer cancel()
		if err := clients.Shutdown(ctx); err != nil {
			klog.InfoS("requests cut off at the end of the grace period", "cause", err.Error())
		}
	}
	klog.InfoS("stopped", "took_ms", time.Since(start).Milliseconds())
	klog.Flush()
}

func (i *Instance) servePeers(failed chan<- error) (*grpc.Server, error) {
	l, err := net.Listen("tcp", i.self)
	if err != nil {
		return nil, errors.Wrap(err, "listening for other instances")
	}
	s := peer.NewServer()
	turnv1.RegisterTurnsServer(s, i.owner)
	turnv1.RegisterRatesServer(s, i.holder)
	turnv1.RegisterRelayServer(s, &relay{i: i})
	go func() {
		if err := s.Serve(l); err != nil {
			failed <- errors.Wrap(err, "serving other instances")
		}
	}()
	return s, nil
}

// serveChecks answers the balancer's checks and, where a port is given, the collection of metrics.
func (i *Instance) serveChecks(metricsPort int, failed chan<- error) error {
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

// serveClients accepts clients once there is a configuration, whose limits the server enforces.
func (i *Instance) serveClients(ctx context.Context, failed chan<- error) (*http.Server, error) {
	select {
	case <-ctx.Done():
		return nil, nil
	case <-i.config.Ready():
	}
	l, err := net.Listen("tcp", i.settings.ClientAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listening for clients")
	}
	i.listening.Store(true)
	limits := i.config.Current().Limits
	s := &http.Server{
		Handler: i.gateway, ReadHeaderTimeout: orDefault(limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:    orDefault(limits.IdleTimeout, defaultIdleTimeout) + idleSlack,
		MaxHeaderBytes: max(limits.HeaderBytes, defaultHeaderBytes), ErrorLog: discardLog,
	}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- errors.Wrap(err, "serving clients")
		}
	}()
	return s, nil
}

func orDefault(v, otherwise time.Duration) time.Duration {
	if v <= 0 {
		return otherwise
	}
	return v
}
