package keeper

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	keeperv1 "github.com/berylpond/berylpond/api/keeper/v1"
	"github.com/berylpond/berylpond/internal/scheduler"
)

// NotifyProgramEnded notifies the keepers of all groups that a program and its sub-agents have ended. It does not wait.
// A keeper that is not reached releases the prefixes when their leases expire.
func (c *Controller) NotifyProgramEnded(program string) {
	c.endProgramLocal(program)
	addresses := map[string]bool{}
	for _, g := range c.allGroups() {
		if holder, ok := c.shards.Holder(g.shard()); ok && holder.ID != c.table.Self().ID {
			addresses[holder.PeerAddr] = true
		}
	}
	for address := range addresses {
		go c.endProgramRemote(address, program)
	}
}

func (c *Controller) endProgramLocal(program string) {
	for _, g := range c.allGroups() {
		for _, r := range g.runners() {
			r.observe(func(s *scheduler.Group, now time.Time) { s.EndProgram(now, program) })
		}
	}
}

func (c *Controller) endProgramRemote(address, program string) {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.PollTimeout)
	defer cancel()
	conn, err := c.dialer.Conn(address)
	if err == nil {
		_, err = keeperv1.NewKeeperClient(conn).Release(ctx, &keeperv1.ReleaseRequest{Program: program})
	}
	if err != nil {
		klog.V(2).InfoS("Failed to notify a keeper of the end of a program", "address", address, "err", err)
	}
}
