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

// driftShare is the part of the claim window that is kept for the drift between two clocks.
const driftShare = 10

// DuplicateError says that the id is claimed by another attempt, or may be.
type DuplicateError struct {
	// Settled is set when the outcome is known to the cell.
	Settled bool
	// Outcome is what the executor gave to Settle.
	Outcome []byte
	// TooOld is set when the id was issued before the claim window: only the log can tell whether it ran.
	TooOld bool

	err *verdict.Error
}

// Error implements error.
func (e *DuplicateError) Error() string { return e.err.Error() }

// Unwrap gives the *verdict.Error.
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

// Claim is the right to run one request id. It ends by Withdraw, if nothing was sent to a backend server, or by
// Settle.
type Claim struct {
	c       *Controller
	id      string
	issued  time.Time
	attempt uint64
	sent    time.Time
	// askedExtra is written before Claim returns and only read afterwards.
	askedExtra bool
	// withdrawn and settled are guarded by the Controller's mutex; at most one of them is set.
	withdrawn, settled bool
}

// Valid reports whether the request may still be sent to a backend server. It has to be asked right before: after a
// pause of about the claim window the voters may have been replaced and have granted the id again.
func (c *Claim) Valid() bool {
	c.c.mu.Lock()
	defer c.c.mu.Unlock()
	return !c.withdrawn && time.Since(c.sent) < c.c.cfg.ClaimWindow-c.c.cfg.ClaimWindow/driftShare
}

// FreshUntil is the time until which the intent has to be durable in the log where voters use CaughtUp.
func (c *Claim) FreshUntil() time.Time { return c.sent.Add(c.c.cfg.Lease) }

// Claim asks the cell for the right to run the request. The error is a *DuplicateError, or a *verdict.Error with
// ReasonClaimUnavailable: this attempt has no claim, its votes are withdrawn as far as their voters can be reached, and
// no voter that answered knows of another attempt.
func (c *Controller) Claim(ctx context.Context, id string) (*Claim, error) {
	cl, err := c.newClaim(id)
	if err == nil {
		err = c.collect(ctx, cl)
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

// newClaim begins an attempt and refuses at once where no vote is needed to know the answer.
func (c *Controller) newClaim(id string) (*Claim, error) {
	now := time.Now()
	issued, ok := c.issueTime(id)
	if !ok {
		issued = now
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if a, known := c.voter.Lookup(id); known && a.Result == claim.Settled {
		return nil, settledError(a.Outcome)
	} else if known && (c.leaving || !c.proposer.Standing(now)) {
		return nil, duplicate("a request with this id may have run")
	}
	if c.leaving {
		return nil, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonShuttingDown, c.cfg.Lease, "the instance is shutting down")
	}
	if !c.proposer.Standing(now) {
		return nil, c.unavailable("no majority of the cell answers")
	}
	c.attempt++
	return &Claim{c: c, id: id, issued: issued, attempt: c.attempt, sent: now}, nil
}

// collect asks all voters, and withdraws the attempt unless it won.
func (c *Controller) collect(ctx context.Context, cl *Claim) error {
	if err := failpoint.Hit("claim.vote.before"); err != nil {
		return c.unavailable("%v", err)
	}
	decision, settled := c.poll(ctx, cl)
	if err := failpoint.Hit("claim.vote.after"); err != nil {
		cl.Withdraw(ctx)
		return c.unavailable("%v", err)
	}
	if decision == claim.Won && time.Now().Before(cl.FreshUntil()) {
		return nil
	}
	cl.Withdraw(ctx)
	switch {
	case settled != nil:
		return settledError(settled.Outcome)
	case decision == claim.Duplicate:
		return duplicate("a request with this id may have run")
	case decision == claim.TooOld:
		e := duplicate("the request's id is older than the claim window")
		e.TooOld = true
		return e
	}
	return c.unavailable("too few voters granted the claim")
}

// poll returns as soon as the decision is sure, or ctx ends. The extra voter is asked when a slot gave no vote, or
// when the slots take long.
func (c *Controller) poll(ctx context.Context, cl *Claim) (claim.Decision, *claim.Answer) {
	answers := make(chan claim.Answer, c.cfg.Slots+1)
	for slot := range c.cfg.Slots {
		go func() { answers <- cl.vote(ctx, slot) }()
	}
	hedge := time.NewTimer(c.cfg.Heartbeat / 2)
	defer hedge.Stop()
	tally := claim.NewTally(c.voters())
	pending := c.cfg.Slots
	for pending > 0 {
		needExtra := false
		select {
		case a := <-answers:
			pending--
			tally.Add(a)
			needExtra = a.Result == 0 || a.Result == claim.Abstaining
		case <-hedge.C:
			needExtra = true
		case <-ctx.Done():
			return tally.Decide()
		}
		if decision, settled := tally.Decide(); decision == claim.Won || settled != nil {
			return decision, settled
		}
		if needExtra && c.extra != nil && !cl.askedExtra {
			cl.askedExtra = true
			pending++
			go func() { answers <- cl.voteExtra(ctx) }()
		}
	}
	return tally.Decide()
}

func (c *Controller) voters() int {
	if c.extra != nil {
		return c.cfg.Slots + 1
	}
	return c.cfg.Slots
}

// vote asks one voter. The answer is zero when there was none. Votes go on after the claim is won, so that later
// failures of voters are borne.
func (c *Claim) vote(ctx context.Context, slot int) claim.Answer {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.c.cfg.Lease)
	defer cancel()
	if slot == c.c.cfg.Slot {
		c.c.mu.Lock()
		defer c.c.mu.Unlock()
		return c.c.voter.Vote(time.Now(), c.id, c.issued, executor(c.c.self, c.attempt))
	}
	client, err := c.c.client(slot)
	if err != nil {
		return claim.Answer{}
	}
	res, err := client.Vote(ctx, &cellv1.VoteRequest{
		Executor: ownerProto(c.c.self), DataCentre: c.c.cfg.DataCentre,
		Id: c.id, Attempt: c.attempt, IssuedUnixMs: c.issued.UnixMilli(),
	})
	if err != nil {
		return claim.Answer{}
	}
	return claim.Answer{Result: claim.Result(res.Result), Executor: executor(ownerFrom(res.Executor), res.Attempt), Outcome: res.Outcome}
}

// Withdraw gives the claim up. Nothing may have been sent to a backend server. A voter that can't be reached is told
// again with the heartbeats; until then it grants the id to nobody. After Settle it does nothing, so that it may be
// deferred.
func (c *Claim) Withdraw(ctx context.Context) {
	if !c.giveUp() || failpoint.Hit("claim.withdraw.before") != nil {
		return
	}
	n := c.note(cellv1.Note_KIND_WITHDRAW, nil)
	c.c.mu.Lock()
	c.c.voter.Withdraw(time.Now(), c.id, c.issued, executor(c.c.self, c.attempt))
	c.c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.c.cfg.Heartbeat)
	defer cancel()
	var sent sync.WaitGroup
	for slot := range c.c.cfg.Slots {
		if slot != c.c.cfg.Slot {
			sent.Go(func() { c.withdrawAt(ctx, slot, n) })
		}
	}
	if c.askedExtra {
		sent.Go(func() { c.withdrawExtra(ctx) })
	}
	sent.Wait()
}

// giveUp reports whether the claim is to be withdrawn now.
func (c *Claim) giveUp() bool {
	c.c.mu.Lock()
	defer c.c.mu.Unlock()
	if c.settled || c.withdrawn {
		return false
	}
	c.withdrawn = true
	return true
}

func (c *Claim) withdrawAt(ctx context.Context, slot int, n *cellv1.Note) {
	client, err := c.c.client(slot)
	if err == nil {
		_, err = client.Notes(ctx, &cellv1.NotesRequest{
			Sender: ownerProto(c.c.self), DataCentre: c.c.cfg.DataCentre, Notes: []*cellv1.Note{n},
		})
	}
	if err == nil {
		c.c.metrics.withdrawals.WithLabelValues("confirmed").Inc()
		return
	}
	c.c.metrics.withdrawals.WithLabelValues("unconfirmed").Inc()
	c.c.mu.Lock()
	defer c.c.mu.Unlock()
	c.c.enqueueFor(slot, n)
}

// Settle records the outcome; an empty one says that the outcome is unknown. Other voters hear it with the next
// heartbeat. It may be called again when an unknown outcome becomes known, and never after Withdraw.
func (c *Claim) Settle(_ context.Context, outcome []byte) {
	c.c.mu.Lock()
	defer c.c.mu.Unlock()
	if !invariant.Check(!c.withdrawn, "cell_no_outcome_after_withdrawal", "id", c.id) {
		return
	}
	c.settled = true
	c.c.settle(time.Now(), c.id, c.issued, executor(c.c.self, c.attempt), outcome)
	c.c.enqueue(c.note(cellv1.Note_KIND_SETTLE, outcome))
}

// Durable tells the voters that the intent is durable in the log, so that they may drop the claim after the window.
func (c *Claim) Durable() {
	c.c.mu.Lock()
	defer c.c.mu.Unlock()
	c.c.voter.MarkDurable(c.id, executor(c.c.self, c.attempt))
	c.c.enqueue(c.note(cellv1.Note_KIND_DURABLE, nil))
}

func (c *Claim) note(kind cellv1.Note_Kind, outcome []byte) *cellv1.Note {
	return &cellv1.Note{Kind: kind, Id: c.id, Attempt: c.attempt, Outcome: outcome, IssuedUnixMs: c.issued.UnixMilli()}
}
