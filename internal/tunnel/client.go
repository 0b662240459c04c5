package tunnel

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/backendpath"
)

const (
	// openTimeout bounds opening a tunnel at one peer. The peer needs up to half a second to find that it can't connect.
	openTimeout = 700 * time.Millisecond
	// maxPeers is the maximum number of peers that are asked for one tunnel.
	maxPeers = 4
	// avoidDuration is how long a peer that could not open a tunnel is asked only after all others.
	avoidDuration = time.Second
)

// errNoPeer means that no peer could open a tunnel.
var errNoPeer = errors.New("no peer has a way to the backend server")

// Dialer returns connections to other instances.
type Dialer interface {
	Conn(address string) (grpc.ClientConnInterface, error)
}

// Client opens tunnels through peers. It is safe for concurrent use.
type Client struct {
	dialer Dialer
	peers  func() []string
	// Allows reports whether the contents of the context's request may be sent to an instance. Nil allows all.
	Allows func(ctx context.Context, address string) bool
	now    func() time.Time

	mu sync.Mutex
	// avoided holds the peers that could not open a tunnel, and until when they are avoided.
	avoided map[string]time.Time
}

// NewClient returns a client. peers lists the peer addresses of the other instances.
func NewClient(d Dialer, peers func() []string) *Client {
	return &Client{dialer: d, peers: peers, now: time.Now, avoided: map[string]time.Time{}}
}

// Dial connects to a backend server through a peer. The connection ends with the context. An error is backendpath.ErrLost
// unless a peer that reaches other servers could not connect to this one.
func (c *Client) Dial(ctx context.Context, address string) (net.Conn, error) {
	last := errNoPeer
	tried := 0
	for _, peer := range c.candidates() {
		if tried == maxPeers || ctx.Err() != nil {
			break
		}
		if c.Allows != nil && !c.Allows(ctx, peer) {
			continue
		}
		tried++
		conn, err := c.open(ctx, peer, address)
		if err == nil {
			return conn, nil
		}
		last = errors.Wrapf(err, "tunnel through %s", peer)
		if status.Code(err) == codes.FailedPrecondition {
			// The peer reaches other servers.
			return nil, last
		}
		c.avoid(peer)
	}
	return nil, errors.Mark(last, backendpath.ErrLost)
}

// candidates returns the peers in random order, the avoided ones last.
func (c *Client) candidates() []string {
	peers := c.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for a, until := range c.avoided {
		if now.After(until) {
			delete(c.avoided, a)
		}
	}
	var first, last []string
	for _, a := range peers {
		if _, ok := c.avoided[a]; ok {
			last = append(last, a)
		} else {
			first = append(first, a)
		}
	}
	return append(first, last...)
}

func (c *Client) avoid(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided[peer] = c.now().Add(avoidDuration)
}

func (c *Client) open(ctx context.Context, peer, address string) (net.Conn, error) {
	pc, err := c.dialer.Conn(peer)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	t := time.AfterFunc(openTimeout, cancel)
	tunnels := turnv1.NewTunnelsClient(pc)
	stream, err := tunnels.Open(ctx)
	if err == nil {
		err = stream.Send(&turnv1.TunnelRequest{Address: address})
	}
	if err == nil || errors.Is(err, io.EOF) {
		// After io.EOF the status of the stream says why it has ended.
		_, err = stream.Recv()
	}
	if err != nil || !t.Stop() {
		cancel()
		return nil, errors.CombineErrors(err, ctx.Err())
	}
	return &conn{stream: stream, cancel: cancel, peer: peer, address: address, reports: tunnels}, nil
}
