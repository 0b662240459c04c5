package keeper

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	keeperv1 "github.com/berylpond/berylpond/api/keeper/v1"
	"github.com/berylpond/berylpond/internal/scheduler"
)

// ProgramEnded tells the keepers of all groups that the program, and with it its sub-agents, has ended. It does not
// wait. A keeper that cannot be told frees the prefixes when their leases run out.
func (c *Controller) ProgramEnded(program string) {
	c.endHere(program)
	addresses := map[string]bool{}
	for _, g := range c.allGroups() {
		if holder, ok := c.parts.Holder(g.part()); ok && holder.ID != c.table.Self().ID {
			addresses[holder.PeerAddr] = true
		}
	}
	for address := range addresses {
		go c.endThere(address, program)
	}
}

func (c *Controller) endHere(program string) {
	for _, g := range c.allGroups() {
		for _, r := range g.runners() {
			r.observe(func(s *scheduler.Group, now time.Time) { s.EndProgram(now, program) })
		}
	}
}

func (c *Controller) endThere(address, program string) {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.PollTimeout)
	defer cancel()
	conn, err := c.dial.Conn(address)
	if err == nil {
		_, err = keeperv1.NewKeeperClient(conn).Release(ctx, &keeperv1.ReleaseRequest{Program: program})
	}
	if err != nil {
		klog.V(2).InfoS("Keeper was not told of a program's end", "address", address, "err", err)
	}
}
