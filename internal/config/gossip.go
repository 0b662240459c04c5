package config

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
	"github.com/berylpond/berylpond/internal/member"
)

// maxFullMesh is the largest fleet in which every instance is a neighbour of every other.
const maxFullMesh = 16

// neighbours returns the addresses of the instances that this one pushes to and reconciles with. In a large fleet they
// are those at distances 1, 2, 4, ... on a ring ordered by hash (as the fingers of Chord). This bounds the number of
// neighbours by log2(n), rounded up, and so the hops to any other instance.
func neighbours(self string, all []member.Instance) []string {
	ring := slices.DeleteFunc(slices.Clone(all), func(in member.Instance) bool {
		return in.ID != self && (in.Leaving || in.PeerAddr == "")
	})
	ringOrder(ring)
	selfIndex := slices.IndexFunc(ring, func(in member.Instance) bool { return in.ID == self })
	n := len(ring)
	var out []string
	for d := 1; d < n; {
		out = append(out, ring[(selfIndex+d)%n].PeerAddr)
		if n <= maxFullMesh {
			d++
		} else {
			d *= 2
		}
	}
	return out
}

// ringOrder sorts instances by the hash of their IDs.
func ringOrder(in []member.Instance) {
	slices.SortFunc(in, func(a, b member.Instance) int {
		ha, hb := xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)
		switch {
		case ha < hb:
			return -1
		case ha > hb:
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
}

func (c *Controller) neighbours() []string {
	return neighbours(c.table.Self().ID, c.table.All())
}

// sample returns a random sample of up to k elements, without replacement.
func (c *Controller) sample(from []string, k int) []string {
	out := slices.Clone(from)
	k = min(k, len(out))
	for i := range k {
		j := i + c.random(len(out)-i)
		out[i], out[j] = out[j], out[i]
	}
	return out[:k]
}

func (c *Controller) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-c.pushes:
			for _, addr := range c.sample(c.neighbours(), c.cfg.Fanout) {
				go c.push(ctx, addr, d)
			}
		}
	}
}

func (c *Controller) push(ctx context.Context, addr string, d *configv1.Delta) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	req := &configv1.PushRequest{Delta: d}
	c.metrics.bytes.WithLabelValues("push").Add(float64(proto.Size(req)))
	conn, err := c.dial.Conn(addr)
	if err != nil {
		c.metrics.pushes.WithLabelValues("unreachable").Inc()
		return
	}
	resp, err := configv1.NewPeerClient(conn).Push(ctx, req)
	switch {
	case err != nil:
		c.metrics.pushes.WithLabelValues("failed").Inc()
	case resp.Missing:
		c.metrics.pushes.WithLabelValues("missing").Inc()
		_ = c.reconcile(ctx, addr) // reconcile counts the error; the next round retries.
	default:
		c.metrics.pushes.WithLabelValues("ok").Inc()
	}
}

// peerServer implements the Peer gRPC service, which other instances call.
type peerServer struct {
	configv1.UnimplementedPeerServer
	c *Controller
}

// Push implements the Peer service.
func (p peerServer) Push(_ context.Context, req *configv1.PushRequest) (*configv1.PushResponse, error) {
	complete := p.c.mergePeer(req.Delta)
	return &configv1.PushResponse{Missing: !complete}, nil
}

func (c *Controller) reconcileLoop(ctx context.Context) {
	for ctx.Err() == nil {
		peers := c.sample(c.neighbours(), 1)
		for _, addr := range peers {
			_ = c.reconcile(ctx, addr) // reconcile counts the error; the next round picks a peer anew.
		}
		sleep(ctx, c.jitter(c.cfg.ReconcileInterval))
	}
}

// jitter returns a uniformly random duration from 0.5 d to 1.5 d.
func (c *Controller) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.random(int(d)))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// reconcile compares the state with that of another instance and exchanges what either lacks (push-pull anti-entropy).
func (c *Controller) reconcile(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	conn, err := c.dial.Conn(addr)
	if err == nil {
		err = c.exchange(ctx, configv1.NewPeerClient(conn))
	}
	if err != nil {
		c.metrics.reconciles.WithLabelValues("failed").Inc()
		return err
	}
	c.mu.Lock()
	c.reconciled = true
	c.mu.Unlock()
	return nil
}

// exchange compares the root hashes first. Only if they differ does it exchange digests and deltas.
func (c *Controller) exchange(ctx context.Context, peer configv1.PeerClient) error {
	c.mu.Lock()
	req := &configv1.ReconcileRequest{Root: c.state.RootHash()}
	c.mu.Unlock()
	resp, err := c.callReconcile(ctx, peer, req)
	if err != nil {
		return err
	}
	if resp.Same {
		c.metrics.reconciles.WithLabelValues("same").Inc()
		return nil
	}
	c.mu.Lock()
	req = &configv1.ReconcileRequest{Root: c.state.RootHash(), Digest: c.state.Digest(), Delta: c.state.Delta(resp.Digest)}
	c.mu.Unlock()
	resp, err = c.callReconcile(ctx, peer, req)
	if err != nil {
		return err
	}
	c.metrics.reconciles.WithLabelValues("exchanged").Inc()
	c.mergePeer(resp.Delta)
	return nil
}

func (c *Controller) callReconcile(
	ctx context.Context, peer configv1.PeerClient, req *configv1.ReconcileRequest,
) (*configv1.ReconcileResponse, error) {
	c.metrics.bytes.WithLabelValues("reconcile").Add(float64(proto.Size(req)))
	return peer.Reconcile(ctx, req)
}

// Reconcile implements the Peer service.
func (p peerServer) Reconcile(_ context.Context, req *configv1.ReconcileRequest) (*configv1.ReconcileResponse, error) {
	c := p.c
	if req.Digest != nil {
		c.mergePeer(req.Delta)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	resp := &configv1.ReconcileResponse{}
	switch {
	case req.Digest != nil:
		resp.Delta = c.state.Delta(req.Digest)
	case c.state.RootHash() == req.Root:
		resp.Same = true
	default:
		resp.Digest = c.state.Digest()
	}
	c.metrics.bytes.WithLabelValues("reconcile").Add(float64(proto.Size(resp)))
	return resp, nil
}
