package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	"github.com/berylpond/berylpond/internal/member"
	"github.com/berylpond/berylpond/internal/peer"
	"github.com/berylpond/berylpond/internal/platformclient"
)

const (
	// membershipInterval is the interval between polls of the platform's instance list and between rounds of exchanges
	// with peers.
	membershipInterval = time.Second
	// exchangeFanout is the number of random peers contacted in each round.
	exchangeFanout  = 3
	exchangeTimeout = time.Second
)

// runMembership updates the table of instances and the list of backend servers.
func (d *Daemon) runMembership(ctx context.Context) error {
	tick := time.NewTicker(membershipInterval)
	defer tick.Stop()
	for {
		d.readPlatformList(ctx)
		d.exchangeRound(ctx)
		d.journal.setWriters(len(d.table.All()))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (d *Daemon) readPlatformList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	list, err := d.platform.Instances(ctx)
	d.platformReachable.Store(err == nil)
	if err != nil {
		return
	}
	d.backends.SetInstances(list)
	d.updateModels()
	for _, in := range list {
		if in.Kind != platformclient.KindGateway || in.ID == d.table.Self().ID {
			continue
		}
		if _, known := d.table.Get(in.ID); !known {
			go d.exchange(ctx, in.Address)
		}
	}
}

// exchangeRound exchanges the table of instances with some random peers and with the seeds that are not known yet.
func (d *Daemon) exchangeRound(ctx context.Context) {
	known := map[string]bool{d.table.Self().PeerAddr: true}
	var addrs []string
	for _, in := range d.table.All() {
		if !known[in.PeerAddr] {
			known[in.PeerAddr] = true
			addrs = append(addrs, in.PeerAddr)
		}
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	if len(addrs) > exchangeFanout {
		addrs = addrs[:exchangeFanout]
	}
	for _, seed := range d.settings.Peers.Seeds {
		if !known[seed] {
			addrs = append(addrs, seed)
		}
	}
	for _, addr := range addrs {
		go d.exchange(ctx, addr)
	}
}

func (d *Daemon) exchange(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), exchangeTimeout)
	defer cancel()
	conn, err := d.pool.Conn(addr)
	if err != nil {
		return
	}
	reply, err := peerv1.NewPeerClient(conn).Exchange(ctx, d.exchangeRequest())
	if err != nil {
		return
	}
	d.mergeInstances(reply.Instances)
}

func (d *Daemon) exchangeRequest() *peerv1.ExchangeRequest {
	self, _ := d.table.Get(d.table.Self().ID)
	return &peerv1.ExchangeRequest{Self: peer.InstanceToWire(self), Digest: d.table.Digest()}
}

func (d *Daemon) instancesToWire() []*peerv1.Instance {
	var out []*peerv1.Instance
	for _, in := range d.table.All() {
		out = append(out, peer.InstanceToWire(in))
	}
	return out
}

func (d *Daemon) mergeInstances(list []*peerv1.Instance) {
	for _, in := range list {
		m := peer.InstanceFromWire(in)
		d.recordPredecessor(m)
		d.table.Merge(m)
	}
}

// recordPredecessor records in if it is the newest known earlier occupant of this instance's slot.
func (d *Daemon) recordPredecessor(in member.Instance) {
	self := d.table.Self()
	if in.DataCentre != self.DataCentre || in.Slot != self.Slot || in.Incarnation >= self.Incarnation {
		return
	}
	for old := d.predecessor.Load(); in.Incarnation > old; old = d.predecessor.Load() {
		if d.predecessor.CompareAndSwap(old, in.Incarnation) {
			return
		}
	}
}

// announceLeaving notifies every known instance that this one is leaving.
func (d *Daemon) announceLeaving(ctx context.Context) {
	for _, in := range d.table.All() {
		if in.ID != d.table.Self().ID {
			go d.exchange(ctx, in.PeerAddr)
		}
	}
}
