// Package peer provides pooled gRPC connections between instances and the conversion of their messages.
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
	// keepaliveTime is the interval at which a connection is probed.
	keepaliveTime = 2 * time.Second
	// keepaliveTimeout is the time limit of a probe. If it expires, the connection is closed and its pending calls fail.
	keepaliveTimeout = 2 * time.Second
	// minServerPing is the shortest keepalive interval that a server accepts from a client.
	minServerPing = time.Second
	// maxReconnectDelay is the maximum delay between two attempts to connect.
	maxReconnectDelay = time.Second
	// MaxMessageBytes is the maximum size of one message between instances.
	MaxMessageBytes = 24 << 20
	// idleTimeout is how long a connection is kept open after its last use.
	idleTimeout = 5 * time.Minute
)

// Pool keeps one connection to each instance. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer

	mu    sync.Mutex
	conns map[string]*pooledConn
	now   func() time.Time
}

type pooledConn struct {
	conn     *grpc.ClientConn
	lastUsed time.Time
	// closed stops the probes.
	closed chan struct{}
}

func (c *pooledConn) close() {
	close(c.closed)
	c.conn.Close()
}

// NewPool returns an empty pool. Connections use the given local address, or one that the system chooses if it is nil.
func NewPool(from net.IP) *Pool {
	p := &Pool{conns: map[string]*pooledConn{}, now: time.Now}
	if from != nil {
		p.dialer.LocalAddr = &net.TCPAddr{IP: from}
	}
	return p
}

// Conn returns the connection to addr and creates it if needed. It does not wait until the connection is ready.
func (p *Pool) Conn(addr string) (grpc.ClientConnInterface, error) { return p.get(addr) }

func (p *Pool) get(addr string) (*grpc.ClientConn, error) {
	if addr == "" {
		return nil, errors.New("the instance's address is not known")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[addr]; c != nil {
		c.lastUsed = p.now()
		return c.conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+addr, p.dialOptions()...)
	if err != nil {
		return nil, errors.Wrapf(err, "connecting to %s", addr)
	}
	c := &pooledConn{conn: conn, lastUsed: p.now(), closed: make(chan struct{})}
	p.conns[addr] = c
	go p.probe(addr, c)
	return conn, nil
}

// probe closes the connection, so that its pending calls fail, when the server stops responding. gRPC's client
// keepalive would do so only after 10 s, the shortest interval that it supports.
func (p *Pool) probe(addr string, c *pooledConn) {
	tick := time.NewTicker(keepaliveTime)
	defer tick.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-tick.C:
		}
		if c.conn.GetState() != connectivity.Ready || responds(c.conn) {
			continue
		}
		p.remove(addr, c)
		return
	}
}

// responds reports whether the server responds in time, with any status.
func responds(conn *grpc.ClientConn) bool {
	ctx, cancel := context.WithTimeout(context.Background(), keepaliveTimeout)
	defer cancel()
	_, err := healthpb.NewHealthClient(conn).Check(ctx, &healthpb.HealthCheckRequest{})
	return status.Code(err) != codes.DeadlineExceeded
}

func (p *Pool) remove(addr string, c *pooledConn) {
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
	reconnect.MaxDelay = maxReconnectDelay
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			return p.dialer.DialContext(ctx, "tcp", addr)
		}),
		grpc.WithDisableRetry(),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: time.Second}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
	}
}

// ReadyConn waits until the connection to addr is ready. A call that is not made because ReadyConn failed was never
// sent.
func (p *Pool) ReadyConn(ctx context.Context, addr string) (grpc.ClientConnInterface, error) {
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

// CloseIdle closes the connections that have not been used for the idle timeout.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.conns {
		if p.now().Sub(c.lastUsed) > idleTimeout {
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

// NewServer returns a gRPC server whose keepalive and message limits match those of Pool's connections.
func NewServer() *grpc.Server {
	s := grpc.NewServer(
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minServerPing, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
	)
	healthpb.RegisterHealthServer(s, health.NewServer())
	return s
}
