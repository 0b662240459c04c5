package cell

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/claim"
	"github.com/berylpond/berylpond/internal/lease"
)

// ExtraVoter is one more voter of a cell of even size. It must be safe for concurrent use.
type ExtraVoter interface {
	// Exchange asks for grants and releases others. It returns the state of every part.
	Exchange(ctx context.Context, acquire, release []lease.Grant) ([]lease.State, error)
	// Vote asks for the first claim of an id.
	Vote(ctx context.Context, id string, issued time.Time, ex claim.Executor) (claim.Answer, error)
	// Withdraw frees the vote of an attempt.
	Withdraw(ctx context.Context, id string, ex claim.Executor) error
}

// exchangeExtra runs one round against the extra voter, which is asked only for the grants in need.
func (c *Controller) exchangeExtra(r lease.Round, need []lease.Grant) {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.Lease)
	defer cancel()
	states, err := c.extra.Exchange(ctx, need, r.Release)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.extraBusy = false
	if err != nil {
		c.metrics.exchanges.WithLabelValues("extra_failed").Inc()
		klog.V(4).InfoS("Round with the extra voter failed", "err", err)
		return
	}
	c.metrics.exchanges.WithLabelValues("extra_answered").Inc()
	now := time.Now()
	c.proposer.Alive(r.SentAt, c.cfg.Slots)
	for _, st := range states {
		c.proposer.Answer(now, r.SentAt, c.cfg.Slots, askedFor(r, st.Part), st)
	}
	c.updateHeld(now)
}

func (c *Claim) voteExtra(ctx context.Context) claim.Answer {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.c.cfg.Lease)
	defer cancel()
	a, err := c.c.extra.Vote(ctx, c.id, c.issued, executor(c.c.self, c.attempt))
	if err != nil {
		return claim.Answer{}
	}
	return a
}

// withdrawExtra tells the extra voter. A failure leaves the id burned there.
func (c *Claim) withdrawExtra(ctx context.Context) {
	result := "confirmed"
	if c.c.extra.Withdraw(ctx, c.id, executor(c.c.self, c.attempt)) != nil {
		result = "unconfirmed"
	}
	c.c.metrics.withdrawals.WithLabelValues(result).Inc()
}
