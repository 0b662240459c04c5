package quotactl

import "time"

// maxShed bounds the time for which an instance refuses takes without asking the holder.
const maxShed = time.Second

// shed is an account over its rate, whose holder gave a time to come back.
type shed struct {
	until time.Time
	// refused counts the requests refused here that the holder does not know of.
	refused float64
}

// shedHere reports whether a take of an account over its rate is refused without asking the holder, and the time to
// come back.
func (c *Controller) shedHere(account string, n float64) (after time.Duration, ok bool) {
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

// noteShed takes in a holder's answer.
func (c *Controller) noteShed(account string, r result) {
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

// unreportedRefusals returns what was refused here since the last call, to be told to the holder.
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

// noteRefused counts requests of an account held here as refused, and reports whether it is over its rate.
func (c *Controller) noteRefused(account string, n float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, a, held := c.account(account)
	if !held || a == nil {
		return false
	}
	a.Refused(now, n)
	limit, _ := c.holder.Limit(account)
	return a.OverRate(now, limit.Rate)
}
