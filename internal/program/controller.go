package program

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	programv1 "github.com/berylpond/berylpond/api/program/v1"
	"github.com/berylpond/berylpond/internal/verdict"
)

const (
	// retryBusy is the Retry-After of a call refused because another call of the program is in progress.
	retryBusy = 200 * time.Millisecond
	// retryNotDurable is the Retry-After of a call that could not be recorded, or that this instance does not serve now.
	retryNotDurable = time.Second
	// forwardRetryDelay is the delay between attempts to reach the shard's new holder.
	forwardRetryDelay = 50 * time.Millisecond
	// endedRetention is how long an ended program is kept, so that its callers are told that it has ended.
	endedRetention = 10 * time.Minute
)

// errNoForward is returned by a controller without a forward function.
var errNoForward = errors.New("no other holder is known")

// Recorder makes an event durable outside this process before it returns nil: a majority of the cell has accepted it
// under the term, and so has the log unless it is unavailable. After an error the event may or may not be durable.
type Recorder interface {
	Record(ctx context.Context, shard int, term uint64, ev *programv1.Event) error
	// RecordOnMajority is Record without waiting for the log.
	RecordOnMajority(ctx context.Context, shard int, term uint64, ev *programv1.Event) error
}

// ShardLeases reports for which shards this instance holds the lease.
type ShardLeases interface {
	// HeldTerm returns the term of the shard's lease if this instance holds it now.
	HeldTerm(shard int) (term uint64, ok bool)
	// ShardCount returns the number of shards of the cell.
	ShardCount() int
}

// Controller runs the turns of the programs whose shards this instance holds. It is safe for concurrent use.
type Controller struct {
	dc     string
	shards ShardLeases
	rec    Recorder
	now    func() time.Time
	onEnd  func(programID string)
	// forward sends an event to the shard's new holder.
	forward  func(ctx context.Context, shard int, ev *programv1.Event) error
	draining func() bool

	mu    sync.Mutex
	store *Store
	// busy holds the programs with a call in progress at this instance.
	busy map[string]struct{}
	// pending holds, by program, the event whose recording failed. It is recorded before any other event of the program,
	// since some slots of the cell may have accepted it.
	pending map[string]*programv1.Event
	// ready holds, by shard, the term under which the held events of the shard were collected.
	ready map[int]uint64
}

// Option configures a Controller.
type Option func(*Controller)

// WithClock sets the clock; the default is time.Now.
func WithClock(now func() time.Time) Option { return func(c *Controller) { c.now = now } }

// WithOnEnd sets a function that is called, without locks held, when a program ends.
func WithOnEnd(f func(programID string)) Option { return func(c *Controller) { c.onEnd = f } }

// WithForward sets the function that sends the end of a turn to the new holder of its shard.
func WithForward(f func(ctx context.Context, shard int, ev *programv1.Event) error) Option {
	return func(c *Controller) { c.forward = f }
}

// WithDraining sets the function that reports a graceful shutdown, during which no turn may begin.
func WithDraining(f func() bool) Option { return func(c *Controller) { c.draining = f } }

// NewController returns a controller for the programs whose home is the given data centre.
func NewController(dc string, shards ShardLeases, rec Recorder, opts ...Option) *Controller {
	c := &Controller{
		dc: dc, shards: shards, rec: rec, now: time.Now, onEnd: func(string) {},
		forward:  func(context.Context, int, *programv1.Event) error { return errNoForward },
		draining: func() bool { return false },
		store:    NewStore(), busy: map[string]struct{}{}, pending: map[string]*programv1.Event{}, ready: map[int]uint64{},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Apply applies an event that is already durable: one read from the log, or collected from the cell.
func (c *Controller) Apply(ev *programv1.Event) Outcome {
	c.mu.Lock()
	out := c.store.Apply(ev)
	c.mu.Unlock()
	if out == Accepted && ev.GetEnded() != nil {
		c.onEnd(ev.Program)
	}
	return out
}

// SetReady marks the shard as ready under the term: every event that earlier holders recorded has been applied. Until
// then calls on the shard's programs are refused.
func (c *Controller) SetReady(shard int, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready[shard] = term
}

// Ready reports whether SetReady was called for the shard under the term.
func (c *Controller) Ready(shard int, term uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready[shard] == term
}

// heldShard returns the program's shard and the term under which it is held and ready.
func (c *Controller) heldShard(id string) (int, uint64, *verdict.Error) {
	shard := ShardOf(id, c.shards.ShardCount())
	term, ok := c.shards.HeldTerm(shard)
	if ok {
		ok = c.Ready(shard, term)
	}
	if !ok {
		return 0, 0, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOwnerUnavailable, retryNotDurable,
			"this instance does not hold the program's part")
	}
	return shard, term, nil
}

// CreateSpec describes a new program and its limits.
type CreateSpec struct {
	ID           string
	Team         string
	Account      string
	Parent       string
	BudgetTokens int64
	BudgetCalls  int64
	Deadline     time.Time
}

// Create records a new program. Creating an existing id again for the same account returns the existing program.
func (c *Controller) Create(ctx context.Context, s CreateSpec) (Program, error) {
	shard, term, refused := c.heldShard(s.ID)
	if refused != nil {
		return Program{}, refused
	}
	if p, ok := c.lookup(s.ID); ok {
		return p, checkAccount(&p, s.Team, s.Account)
	}
	root, err := c.rootOf(s)
	if err != nil {
		return Program{}, err
	}
	ev := &programv1.Event{Id: s.ID, Program: s.ID, UnixMs: c.now().UnixMilli(), Body: &programv1.Event_Created{
		Created: &programv1.Created{
			Team: s.Team, Account: s.Account, Parent: s.Parent, Root: root,
			BudgetTokens: s.BudgetTokens, BudgetCalls: s.BudgetCalls, DeadlineUnixMs: s.Deadline.UnixMilli(),
		},
	}}
	if err := c.record(ctx, shard, term, ev); err != nil {
		return Program{}, err
	}
	p, _ := c.lookup(s.ID)
	return p, nil
}

// rootOf returns the root of the tree of sub-agents that a new program joins. Its parent must be a live program of the
// same account.
func (c *Controller) rootOf(s CreateSpec) (string, error) {
	if s.Parent == "" {
		return "", nil
	}
	p, ok := c.lookup(s.Parent)
	if !ok {
		return "", unknownProgram()
	}
	if err := checkAccount(&p, s.Team, s.Account); err != nil {
		return "", err
	}
	if p.Ended {
		return "", verdict.Refuse(http.StatusGone, verdict.ReasonProgramEnded, 0, "the parent has ended: %s", p.EndCause)
	}
	if p.Root != "" {
		return p.Root, nil
	}
	return p.ID, nil
}

// lookup returns a copy of the program's state; slices are shared and append-only.
func (c *Controller) lookup(id string) (Program, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.store.Get(id)
	if p == nil {
		return Program{}, false
	}
	return *p, true
}

func checkAccount(p *Program, team, account string) error {
	if p.Team == team && p.Account == account {
		return nil
	}
	// The same error as for a program that does not exist, so that callers cannot probe for ids of other accounts.
	return unknownProgram()
}

func unknownProgram() *verdict.Error {
	return verdict.Refuse(http.StatusNotFound, verdict.ReasonUnknownProgram, 0, "no such program")
}

// End ends a program. Ending an ended program succeeds.
func (c *Controller) End(ctx context.Context, id, cause string) (Program, error) {
	shard, term, refused := c.heldShard(id)
	if refused != nil {
		return Program{}, refused
	}
	p, ok := c.lookup(id)
	if !ok {
		return Program{}, unknownProgram()
	}
	if p.Ended {
		return p, nil
	}
	if err := c.recordPending(ctx, id, shard, term); err != nil {
		return Program{}, err
	}
	ev := &programv1.Event{Id: id + "/ended", Program: id, UnixMs: c.now().UnixMilli(),
		Body: &programv1.Event_Ended{Ended: &programv1.Ended{Cause: cause}}}
	if err := c.record(ctx, shard, term, ev); err != nil {
		return Program{}, err
	}
	p, _ = c.lookup(id)
	return p, nil
}

// Sweep ends the held programs whose deadline has passed and drops programs that ended more than endedRetention ago. It
// returns how many were ended.
func (c *Controller) Sweep(ctx context.Context) int {
	now := c.now()
	var expired []string
	c.mu.Lock()
	c.store.DropEnded(now.Add(-endedRetention))
	c.store.Each(func(p *Program) bool {
		if !p.Ended && !p.Deadline.IsZero() && now.After(p.Deadline) {
			expired = append(expired, p.ID)
		}
		return true
	})
	c.mu.Unlock()
	n := 0
	for _, id := range expired {
		if _, err := c.End(ctx, id, "deadline passed"); err == nil {
			n++
		}
	}
	return n
}

// Republish appends the events of up to limit held programs to the log again if they were last published before the
// given time, so that an instance that starts later can rebuild the programs after the original records have expired.
// It returns the number of republished programs.
func (c *Controller) Republish(before time.Time, limit int, publish func(*programv1.Event) error) (int, error) {
	for n := 0; n < limit; n++ {
		events := c.claimDueProgram(before)
		if events == nil {
			return n, nil
		}
		for _, ev := range events {
			if err := publish(ev); err != nil {
				return n, err
			}
		}
	}
	return limit, nil
}

// claimDueProgram returns the events of one held program that was last published before the given time and marks it as
// published now. It returns nil if there is none.
func (c *Controller) claimDueProgram(before time.Time) []*programv1.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due *Program
	c.store.Each(func(p *Program) bool {
		if p.Ended || !p.published.Before(before) {
			return true
		}
		if _, ok := c.shards.HeldTerm(ShardOf(p.ID, c.shards.ShardCount())); ok {
			due = p
		}
		return due == nil
	})
	if due == nil {
		return nil
	}
	due.published = c.now()
	return due.SnapshotEvents(due.published)
}
