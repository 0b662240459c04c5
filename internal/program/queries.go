package program

// Get returns a program that this instance holds, and whether a call of it is in progress.
func (c *Controller) Get(id string) (Program, bool, error) {
	if _, _, refused := c.heldShard(id); refused != nil {
		return Program{}, false, refused
	}
	p, ok := c.lookup(id)
	if !ok {
		return Program{}, false, unknownProgram()
	}
	return p, c.isBusy(id), nil
}

func (c *Controller) isBusy(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.busy[id]
	return ok
}

// List returns up to limit programs of a team whose shards this instance holds; team "" means all teams.
func (c *Controller) List(team string, limit int) []Program {
	var out []Program
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.Each(func(p *Program) bool {
		if team != "" && p.Team != team {
			return true
		}
		if _, ok := c.shards.HeldTerm(ShardOf(p.ID, c.shards.ShardCount())); ok {
			out = append(out, *p)
		}
		return len(out) < limit
	})
	return out
}

// IsRunning reports whether the program is known and has not ended.
func (c *Controller) IsRunning(id string) bool {
	p, ok := c.lookup(id)
	return ok && !p.Ended
}

// Len returns the number of programs in the store, including ended ones.
func (c *Controller) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Len()
}
