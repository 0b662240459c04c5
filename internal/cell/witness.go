package cell

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/claim"
	"github.com/berylpond/berylpond/internal/lease"
)

// Witness is an additional voter of a cell of even size. It must be safe for concurrent use.
type Witness interface {
	// Exchange requests grants and releases others. It returns the state of every shard.
	Exchange(ctx context.Context, acquire, release []lease.Grant) ([]lease.State, error)
	// Vote requests the first claim of an id.
	Vote(ctx context.Context, id string, issued time.Time, ex claim.Executor) (claim.Response, error)
	// Withdraw releases the vote of an attempt.
	Withdraw(ctx context.Context, id string, ex claim.Executor) error
}

// exchangeWitness sends one round to the witness, which is asked only for the grants that lack a majority of the slots.
func (c *Controller) exchangeWitness(r lease.Round, needWitness []lease.Grant) {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.Lease)
	defer cancel()
	states, err := c.witness.Exchange(ctx, needWitness, r.Release)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.witnessBusy = false
	if err != nil {
		c.metrics.exchanges.WithLabelValues("extra_failed").Inc()
		klog.V(4).InfoS("Round with the witness failed", "err", err)
		return
	}
	c.metrics.exchanges.WithLabelValues("extra_answered").Inc()
	now := time.Now()
	c.proposer.RecordResponse(r.SentAt, c.cfg.Slots)
	for _, st := range states {
		c.proposer.HandleResponse(now, r.SentAt, c.cfg.Slots, requestedGrant(r, st.Shard), st)
	}
	c.updateHeld(now)
}

func (c *Claim) voteWitness(ctx context.Context) claim.Response {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.controller.cfg.Lease)
	defer cancel()
	response, err := c.controller.witness.Vote(ctx, c.id, c.issued, executor(c.controller.self, c.attempt))
	if err != nil {
		return claim.Response{}
	}
	return response
}

// withdrawWitness withdraws the vote of the witness. If that fails, the witness never grants the id to another attempt.
func (c *Claim) withdrawWitness(ctx context.Context) {
	result := "confirmed"
	if c.controller.witness.Withdraw(ctx, c.id, executor(c.controller.self, c.attempt)) != nil {
		result = "unconfirmed"
	}
	c.controller.metrics.withdrawals.WithLabelValues(result).Inc()
}
