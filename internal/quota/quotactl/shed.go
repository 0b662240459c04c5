package quotactl

import "time"

// maxShed bounds how long an instance refuses takes of an account without asking its holder.
const maxShed = time.Second

// shed is an account over its rate, whose takes are refused at this instance until the retry delay given by its holder
// has passed.
type shed struct {
	until time.Time
	// refused counts the requests refused here that have not been reported to the holder.
	refused float64
}

// shedTake reports whether a take is to be refused without asking the holder, since the account is over its rate, and
// the retry delay.
func (c *Controller) shedTake(account string, n float64) (after time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sheds[account]
	if s == nil {
		return 0, false
	}
	after = s.until.Sub(c.now())
	if after <= 0 {
		return 0, false
	}
	s.refused += n
	return after, true
}

// recordShed starts to shed an account if its holder's response reports it as over its rate.
func (c *Controller) recordShed(account string, r result) {
	if !r.overRate {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sheds[account]
	if s == nil {
		s = &shed{}
		c.sheds[account] = s
	}
	s.until = c.now().Add(r.retryAfter)
}

// unreportedRefusals returns the number of requests refused here since the last call, to be reported to the holder.
func (c *Controller) unreportedRefusals(account string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sheds[account]
	if s == nil {
		return 0
	}
	n := s.refused
	s.refused = 0
	return n
}

// recordRefused records n refused requests of an account held here, and reports whether the account is over its rate.
func (c *Controller) recordRefused(account string, n float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, a, held := c.account(account)
	if !held || a == nil {
		return false
	}
	a.RecordRefused(now, n)
	limit, _ := c.holder.Limit(account)
	return a.OverRate(now, limit.Rate)
}
