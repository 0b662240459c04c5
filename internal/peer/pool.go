// Package peer holds the gRPC connections between instances and the conversions of their messages.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
)

const (
	// keepaliveTime is the idle time after which a connection is probed.
	keepaliveTime = 2 * time.Second
	// keepaliveTimeout is how long a probe may stay unanswered before the connection, with all that waits on it, is
	// dropped.
	keepaliveTimeout = 2 * time.Second
	// minServerPing is the shortest probe interval that a server accepts.
	minServerPing = time.Second
	// maxReconnect bounds the pause between two attempts to connect.
	maxReconnect = time.Second
	// maxMessageBytes bounds one message between instances.
	maxMessageBytes = 16 << 20
	// keepUnused is how long a connection is kept after its last use.
	keepUnused = 5 * time.Minute
)

// Pool keeps one connection to each instance. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer

	mu    sync.Mutex
	conns map[string]*pooled
	now   func() time.Time
}

type pooled struct {
	conn *grpc.ClientConn
	used time.Time
	// closed ends the probes.
	closed chan struct{}
}

func (c *pooled) close() {
	close(c.closed)
	c.conn.Close()
}

// NewPool returns an empty pool. Connections leave from the given address; nil lets the system choose.
func NewPool(from net.IP) *Pool {
	p := &Pool{conns: map[string]*pooled{}, now: time.Now}
	if from != nil {
		p.dialer.LocalAddr = &net.TCPAddr{IP: from}
	}
	return p
}

// Conn returns the connection to addr and opens it if needed. It does not wait for the connection to be ready.
func (p *Pool) Conn(addr string) (grpc.ClientConnInterface, error) { return p.get(addr) }

func (p *Pool) get(addr string) (*grpc.ClientConn, error) {
	if addr == "" {
		return nil, errors.New("the instance's address is not known")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[addr]; c != nil {
		c.used = p.now()
		return c.conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+addr, p.dialOptions()...)
	if err != nil {
		return nil, errors.Wrapf(err, "connecting to %s", addr)
	}
	c := &pooled{conn: conn, used: p.now(), closed: make(chan struct{})}
	p.conns[addr] = c
	go p.probe(addr, c)
	return conn, nil
}

// probe drops the connection, with all that waits on it, when it goes silent. gRPC's own keepalive would do so only
// after 10 s, the shortest time that its clients accept.
func (p *Pool) probe(addr string, c *pooled) {
	tick := time.NewTicker(keepaliveTime)
	defer tick.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-tick.C:
		}
		if c.conn.GetState() != connectivity.Ready || answers(c.conn) {
			continue
		}
		p.drop(addr, c)
		return
	}
}

// answers reports whether the other end answers in time, with whatever status.
func answers(conn *grpc.ClientConn) bool {
	ctx, cancel := context.WithTimeout(context.Background(), keepaliveTimeout)
	defer cancel()
	_, err := healthpb.NewHealthClient(conn).Check(ctx, &healthpb.HealthCheckRequest{})
	return status.Code(err) != codes.DeadlineExceeded
}

func (p *Pool) drop(addr string, c *pooled) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[addr] == c {
		delete(p.conns, addr)
		c.close()
	}
}

func (p *Pool) dialOptions() []grpc.DialOption {
	reconnect := backoff.DefaultConfig
	reconnect.BaseDelay = 100 * time.Millisecond
	reconnect.MaxDelay = maxReconnect
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			return p.dialer.DialContext(ctx, "tcp", addr)
		}),
		grpc.WithDisableRetry(),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: time.Second}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	}
}

// Ready waits until the connection to addr is established. A call given up because Ready failed was never sent.
func (p *Pool) Ready(ctx context.Context, addr string) (grpc.ClientConnInterface, error) {
	conn, err := p.get(addr)
	if err != nil {
		return nil, err
	}
	for {
		s := conn.GetState()
		if s == connectivity.Ready {
			return conn, nil
		}
		conn.Connect()
		if !conn.WaitForStateChange(ctx, s) {
			return nil, errors.Newf("no connection to %s: %s", addr, s)
		}
	}
}

// Trim closes the connections that have not been used for a while.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.conns {
		if p.now().Sub(c.used) > keepUnused {
			c.close()
			delete(p.conns, addr)
		}
	}
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.conns {
		c.close()
		delete(p.conns, addr)
	}
}

// NewServer returns a gRPC server with the limits that Pool's connections expect.
func NewServer() *grpc.Server {
	s := grpc.NewServer(
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minServerPing, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.MaxRecvMsgSize(maxMessageBytes),
	)
	healthpb.RegisterHealthServer(s, health.NewServer())
	return s
}
