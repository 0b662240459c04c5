// Package backendpath opens connections to backend servers: directly, or through another instance while this one has lost
// the way to all servers.
//
// Load pattern: some or most instances are partitioned from every server, while clients, the store and the other instances
// still reach them. Such an instance can't be told from one whose servers are down by any single server, and a load
// balancer that finds too few instances ready sends clients to all of them again, so reporting not ready is no remedy.
package backendpath

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

const (
	// probedServers is how many other servers are tried before the path counts as lost after a failed connection.
	probedServers = 3
	// probeInterval is the interval between direct connections that are tried while the path is lost.
	probeInterval = 500 * time.Millisecond
)

// ErrLost means that this instance reaches no backend server.
var ErrLost = errors.New("no way to any backend server")

// ErrServerDown means that a server refuses connections although others can be reached: no process listens at its address.
var ErrServerDown = errors.New("the backend server refuses connections")

// DialFunc opens a connection to a backend server.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Dialer opens connections to backend servers. It is safe for concurrent use.
type Dialer struct {
	ctx context.Context
	// direct connects without the help of another instance, relay with it.
	direct, relay DialFunc
	// servers lists the addresses of the registered servers of each service.
	servers func() [][]string
	metrics *Metrics
	now     func() time.Time

	mu sync.Mutex
	// lastSuccess is when a direct connection was last opened, or when the process started.
	lastSuccess time.Time
	lostSince   time.Time
	// check is the check that is under way, or nil.
	check *check
}

// check finds out whether any server can be reached. lost is valid once done is closed.
type check struct {
	done chan struct{}
	lost bool
}

// New returns a dialer. ctx ends its background work.
func New(ctx context.Context, direct, relay DialFunc, servers func() [][]string, m *Metrics) *Dialer {
	return &Dialer{
		ctx: ctx, direct: direct, relay: relay, servers: servers, metrics: m, now: time.Now, lastSuccess: time.Now(),
	}
}

// LostSince returns when this instance lost the way to the servers; zero while it has one.
func (d *Dialer) LostSince() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lostSince
}

// Dial connects to a server, through another instance if need be.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := d.DialDirect(ctx, address)
	if !errors.Is(err, ErrLost) {
		return c, err
	}
	c, err = d.relay(ctx, address)
	d.metrics.observeRelay(err)
	return c, err
}

// DialDirect connects to a server without the help of another instance. It returns ErrLost if no server can be reached,
// rather than just this one, and ErrServerDown if just this one refuses the connection.
func (d *Dialer) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	if !d.LostSince().IsZero() {
		return nil, ErrLost
	}
	started := d.now()
	c, err := d.direct(ctx, address)
	if err == nil {
		d.recordSuccess()
		return c, nil
	}
	if ctx.Err() == nil && d.isLost(ctx, address, started) {
		return nil, errors.Mark(err, ErrLost)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, errors.Mark(err, ErrServerDown)
	}
	return nil, err
}

// Suspect has the path checked in the background: nothing has arrived from any server since the given time, when a request
// was sent to the address. Load pattern: packets vanish, and requests on open connections wait for seconds until the kernel
// gives these up, while no new connection is needed that would fail.
func (d *Dialer) Suspect(address string, since time.Time) {
	if d.LostSince().IsZero() {
		go d.isLost(d.ctx, address, since)
	}
}

func (d *Dialer) recordSuccess() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastSuccess = d.now()
	if !d.lostSince.IsZero() {
		klog.InfoS("way to the backend servers regained", "lost_ms", d.lastSuccess.Sub(d.lostSince).Milliseconds())
	}
	d.lostSince = time.Time{}
	d.metrics.lost.Set(0)
}

// isLost reports whether no server can be reached, after a connection to one of them that was begun at the given time has
// failed.
func (d *Dialer) isLost(ctx context.Context, failed string, started time.Time) bool {
	d.mu.Lock()
	if d.lastSuccess.After(started) {
		d.mu.Unlock()
		return false
	}
	c := d.check
	if c == nil {
		c = &check{done: make(chan struct{})}
		d.check = c
		go d.runCheck(c, failed)
	}
	d.mu.Unlock()
	select {
	case <-c.done:
		return c.lost
	case <-ctx.Done():
		return false
	}
}

// runCheck connects to other servers at the same time, first of all to those of other services. The first success ends it.
// Load pattern: a request crashes the servers of one service until few of them are left, and the others answer.
func (d *Dialer) runCheck(c *check, failed string) {
	others := sample(d.servers(), failed, probedServers)
	results := make(chan bool, len(others))
	for _, a := range others {
		go func() { results <- d.probe(a) }()
	}
	c.lost = len(others) > 0
	for range others {
		if <-results {
			c.lost = false
			break
		}
	}
	d.mu.Lock()
	d.check = nil
	if c.lost && d.lostSince.IsZero() {
		d.lostSince = d.now()
		d.metrics.lost.Set(1)
		klog.InfoS("way to the backend servers lost", "failed", failed, "probed", others,
			"last_success_ms", d.lostSince.Sub(d.lastSuccess).Milliseconds())
		go d.awaitReturn()
	}
	d.mu.Unlock()
	close(c.done)
}

// probe reports whether a server can be reached directly.
func (d *Dialer) probe(address string) bool {
	c, err := d.direct(d.ctx, address)
	if err != nil {
		klog.V(1).InfoS("backend server can't be reached", "address", address, "cause", err.Error())
		return false
	}
	c.Close()
	d.recordSuccess()
	return true
}

// awaitReturn probes one server after the other until one can be reached.
func (d *Dialer) awaitReturn() {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for !d.LostSince().IsZero() {
		select {
		case <-d.ctx.Done():
			return
		case <-t.C:
		}
		for _, a := range sample(d.servers(), "", 1) {
			d.probe(a)
		}
	}
}

// sample returns up to n addresses at random, of as many services as possible, without the excluded one. The service that has
// that one comes last.
func sample(services [][]string, excluded string, n int) []string {
	order := rand.Perm(len(services))
	if i := slices.IndexFunc(order, func(i int) bool { return slices.Contains(services[i], excluded) }); i >= 0 {
		order = slices.Concat(order[:i], order[i+1:], order[i:i+1])
	}
	var rows [][]string
	for _, i := range order {
		row := slices.DeleteFunc(slices.Clone(services[i]), func(a string) bool { return a == excluded })
		rand.Shuffle(len(row), func(i, j int) { row[i], row[j] = row[j], row[i] })
		rows = append(rows, row)
	}
	out := make([]string, 0, n)
	for column := 0; ; column++ {
		before := len(out)
		for _, row := range rows {
			if column < len(row) && len(out) < n {
				out = append(out, row[column])
			}
		}
		if len(out) == before {
			return out
		}
	}
}
