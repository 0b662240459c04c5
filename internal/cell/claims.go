package cell

import (
	"context"
	"net/http"
	"sync"
	"time"

	cellv1 "github.com/berylpond/berylpond/api/cell/v1"
	"github.com/berylpond/berylpond/internal/claim"
	"github.com/berylpond/berylpond/internal/failpoint"
	"github.com/berylpond/berylpond/internal/invariant"
	"github.com/berylpond/berylpond/internal/verdict"
)

// driftDivisor is the divisor of the claim window that gives the allowance for the drift between two clocks.
const driftDivisor = 10

// DuplicateError reports that another attempt has claimed the id, or may have.
type DuplicateError struct {
	// Settled is set when the cell knows the outcome.
	Settled bool
	// Outcome is the value that the executor passed to Settle.
	Outcome []byte
	// Expired is set when the id was issued before the claim window, so that only the log can tell whether it ran.
	Expired bool

	err *verdict.Error
}

// Error implements error.
func (e *DuplicateError) Error() string { return e.err.Error() }

// Unwrap returns the *verdict.Error.
func (e *DuplicateError) Unwrap() error { return e.err }

func duplicate(detail string) *DuplicateError {
	return &DuplicateError{err: verdict.Fail(http.StatusConflict, verdict.ReasonDuplicate, "%s", detail)}
}

func settledError(outcome []byte) *DuplicateError {
	e := duplicate("a request with this id has an outcome")
	e.Settled, e.Outcome = true, outcome
	if len(outcome) > 0 {
		e.err.Verdict = verdict.Ran
	}
	return e
}

// Claim is the right to execute one request id. It ends with Withdraw if nothing was sent to a backend server, and with
// Settle otherwise.
type Claim struct {
	controller *Controller
	id         string
	issued     time.Time
	attempt    uint64
	// requestedAt is when the votes were requested.
	requestedAt time.Time
	// askedWitness is written before Claim returns and only read afterwards.
	askedWitness bool
	// withdrawn and settled are guarded by the Controller's mutex; at most one of them is set.
	withdrawn, settled bool
}

// Valid reports whether the request may still be sent to a backend server. The caller must check it immediately before
// sending: after a pause of about the claim window the voters may have been replaced and have granted the id again.
func (c *Claim) Valid() bool {
	c.controller.mu.Lock()
	defer c.controller.mu.Unlock()
	return !c.withdrawn && time.Since(c.requestedAt) < c.controller.cfg.ClaimWindow-c.controller.cfg.ClaimWindow/driftDivisor
}

// DurableBy is the deadline for making the intent durable in the log, where voters use EndAbstention.
func (c *Claim) DurableBy() time.Time { return c.requestedAt.Add(c.controller.cfg.Lease) }

// Claim asks the cell for the right to execute the request. The error is a *DuplicateError, or a *verdict.Error with
// ReasonClaimUnavailable: this attempt has no claim, its votes are withdrawn at the voters that can be reached, and no
// voter that responded knows of another attempt.
func (c *Controller) Claim(ctx context.Context, id string) (*Claim, error) {
	cl, err := c.newClaim(id)
	if err == nil {
		err = c.collectVotes(ctx, cl)
	}
	c.metrics.claims.WithLabelValues(claimResult(err)).Inc()
	if err != nil {
		return nil, err
	}
	return cl, nil
}

func claimResult(err error) string {
	if err == nil {
		return "won"
	}
	return string(verdict.From(err).Reason)
}

func (c *Controller) unavailable(format string, args ...any) error {
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonClaimUnavailable, c.cfg.Lease, format, args...)
}

// newClaim starts an attempt, or returns an error if the result is known without a vote.
func (c *Controller) newClaim(id string) (*Claim, error) {
	now := time.Now()
	issued, ok := c.issueTime(id)
	if !ok {
		issued = now
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if response, known := c.voter.Lookup(id); known && response.Result == claim.Settled {
		return nil, settledError(response.Outcome)
	} else if known && (c.leaving || !c.proposer.HasQuorum(now)) {
		return nil, duplicate("a request with this id may have run")
	}
	if c.leaving {
		return nil, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonShuttingDown, c.cfg.Lease, "the instance is shutting down")
	}
	if !c.proposer.HasQuorum(now) {
		return nil, c.unavailable("no majority of the cell answers")
	}
	c.attempt++
	return &Claim{controller: c, id: id, issued: issued, attempt: c.attempt, requestedAt: now}, nil
}

// collectVotes polls the voters, and withdraws the attempt unless it won.
func (c *Controller) collectVotes(ctx context.Context, cl *Claim) error {
	if err := failpoint.Hit("claim.vote.before"); err != nil {
		return c.unavailable("%v", err)
	}
	decision, settled := c.pollVoters(ctx, cl)
	if err := failpoint.Hit("claim.vote.after"); err != nil {
		cl.Withdraw(ctx)
		return c.unavailable("%v", err)
	}
	if decision == claim.Won && time.Now().Before(cl.DurableBy()) {
		return nil
	}
	cl.Withdraw(ctx)
	switch {
	case settled != nil:
		return settledError(settled.Outcome)
	case decision == claim.Duplicate:
		return duplicate("a request with this id may have run")
	case decision == claim.Expired:
		e := duplicate("the request's id is older than the claim window")
		e.Expired = true
		return e
	}
	return c.unavailable("too few voters granted the claim")
}

// pollVoters returns as soon as the decision is final, or ctx ends. It asks the witness if a slot gave no vote, or if
// the slots have not decided within half a heartbeat.
func (c *Controller) pollVoters(ctx context.Context, cl *Claim) (claim.Decision, *claim.Response) {
	responses := make(chan claim.Response, c.cfg.Slots+1)
	for slot := range c.cfg.Slots {
		go func() { responses <- cl.vote(ctx, slot) }()
	}
	hedge := time.NewTimer(c.cfg.Heartbeat / 2)
	defer hedge.Stop()
	tally := claim.NewTally(c.voters())
	pending := c.cfg.Slots
	for pending > 0 {
		needWitness := false
		select {
		case response := <-responses:
			pending--
			tally.Add(response)
			needWitness = response.Result == 0 || response.Result == claim.Abstaining
		case <-hedge.C:
			needWitness = true
		case <-ctx.Done():
			return tally.Decide()
		}
		if decision, settled := tally.Decide(); decision == claim.Won || settled != nil {
			return decision, settled
		}
		if needWitness && c.witness != nil && !cl.askedWitness {
			cl.askedWitness = true
			pending++
			go func() { responses <- cl.voteWitness(ctx) }()
		}
	}
	return tally.Decide()
}

func (c *Controller) voters() int {
	if c.witness != nil {
		return c.cfg.Slots + 1
	}
	return c.cfg.Slots
}

// vote requests the vote of one slot. The response is zero if there was none. The requests continue after the claim is
// won, so that the claim survives later failures of voters.
func (c *Claim) vote(ctx context.Context, slot int) claim.Response {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.controller.cfg.Lease)
	defer cancel()
	if slot == c.controller.cfg.Slot {
		c.controller.mu.Lock()
		defer c.controller.mu.Unlock()
		return c.controller.voter.Vote(time.Now(), c.id, c.issued, executor(c.controller.self, c.attempt))
	}
	client, err := c.controller.client(slot)
	if err != nil {
		return claim.Response{}
	}
	res, err := client.Vote(ctx, &cellv1.VoteRequest{
		Executor: ownerProto(c.controller.self), DataCentre: c.controller.cfg.DataCentre,
		Id: c.id, Attempt: c.attempt, IssuedUnixMs: c.issued.UnixMilli(),
	})
	if err != nil {
		return claim.Response{}
	}
	return claim.Response{Result: claim.Result(res.Result), Executor: executor(ownerFrom(res.Executor), res.Attempt), Outcome: res.Outcome}
}

// Withdraw releases the claim. It must not be called once the request was sent to a backend server. For a voter that
// can't be reached the withdrawal is repeated with the heartbeats; until it arrives, that voter grants the id to no
// other attempt. After Settle it has no effect, so that it may be deferred.
func (c *Claim) Withdraw(ctx context.Context) {
	if !c.markWithdrawn() || failpoint.Hit("claim.withdraw.before") != nil {
		return
	}
	n := c.note(cellv1.Note_KIND_WITHDRAW, nil)
	c.controller.mu.Lock()
	c.controller.voter.Withdraw(time.Now(), c.id, c.issued, executor(c.controller.self, c.attempt))
	c.controller.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.controller.cfg.Heartbeat)
	defer cancel()
	var group sync.WaitGroup
	for slot := range c.controller.cfg.Slots {
		if slot != c.controller.cfg.Slot {
			group.Go(func() { c.withdrawAt(ctx, slot, n) })
		}
	}
	if c.askedWitness {
		group.Go(func() { c.withdrawWitness(ctx) })
	}
	group.Wait()
}

// markWithdrawn marks the claim as withdrawn. It returns false if the claim was already settled or withdrawn.
func (c *Claim) markWithdrawn() bool {
	c.controller.mu.Lock()
	defer c.controller.mu.Unlock()
	if c.settled || c.withdrawn {
		return false
	}
	c.withdrawn = true
	return true
}

func (c *Claim) withdrawAt(ctx context.Context, slot int, n *cellv1.Note) {
	client, err := c.controller.client(slot)
	if err == nil {
		_, err = client.Notes(ctx, &cellv1.NotesRequest{
			Sender: ownerProto(c.controller.self), DataCentre: c.controller.cfg.DataCentre, Notes: []*cellv1.Note{n},
		})
	}
	if err == nil {
		c.controller.metrics.withdrawals.WithLabelValues("confirmed").Inc()
		return
	}
	c.controller.metrics.withdrawals.WithLabelValues("unconfirmed").Inc()
	c.controller.mu.Lock()
	defer c.controller.mu.Unlock()
	c.controller.enqueueFor(slot, n)
}

// Settle records the outcome, which is empty if it is unknown. The other voters receive it with the next heartbeat. It
// may be called again when an unknown outcome becomes known, and must not be called after Withdraw.
func (c *Claim) Settle(_ context.Context, outcome []byte) {
	c.controller.mu.Lock()
	defer c.controller.mu.Unlock()
	if !invariant.Check(!c.withdrawn, "cell_no_outcome_after_withdrawal", "id", c.id) {
		return
	}
	c.settled = true
	c.controller.settle(time.Now(), c.id, c.issued, executor(c.controller.self, c.attempt), outcome)
	c.controller.enqueue(c.note(cellv1.Note_KIND_SETTLE, outcome))
}

// MarkDurable informs the voters that the intent is durable in the log, so that they may drop the claim after the
// window.
func (c *Claim) MarkDurable() {
	c.controller.mu.Lock()
	defer c.controller.mu.Unlock()
	c.controller.voter.MarkDurable(c.id, executor(c.controller.self, c.attempt))
	c.controller.enqueue(c.note(cellv1.Note_KIND_DURABLE, nil))
}

func (c *Claim) note(kind cellv1.Note_Kind, outcome []byte) *cellv1.Note {
	return &cellv1.Note{Kind: kind, Id: c.id, Attempt: c.attempt, Outcome: outcome, IssuedUnixMs: c.issued.UnixMilli()}
}
