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
	// retryBusy is the time after which a call on a program with a call under way may be tried again.
	retryBusy = 200 * time.Millisecond
	// retryNotDurable is the time after which a call that could not be recorded may be tried again.
	retryNotDurable = time.Second
	// forwardPause is the pause between two attempts to reach the part's new holder.
	forwardPause = 50 * time.Millisecond
	// keepEnded is how long an ended program stays known, so that its callers learn that it has ended.
	keepEnded = 10 * time.Minute
)

// errNoForward is the answer of a controller that knows no other holders.
var errNoForward = errors.New("no other holder is known")

// Recorder makes an event durable outside this process before it returns nil: a majority of the cell has it under the
// term, and the log too unless the log is away. After an error the event may be durable or not.
type Recorder interface {
	Record(ctx context.Context, part int, term uint64, ev *programv1.Event) error
	// RecordHeld is Record without the wait for the log.
	RecordHeld(ctx context.Context, part int, term uint64, ev *programv1.Event) error
}

// Parts tells which parts this instance holds.
type Parts interface {
	// Holds reports the term under which this instance holds the part right now.
	Holds(part int) (term uint64, ok bool)
	// Parts is the number of parts of the cell.
	Parts() int
}

// Controller runs the turns of the programs whose parts this instance holds. It is safe for concurrent use.
type Controller struct {
	dc    string
	parts Parts
	rec   Recorder
	now   func() time.Time
	ended func(programID string)
	// forward passes an event to the part's new holder.
	forward  func(ctx context.Context, part int, ev *programv1.Event) error
	draining func() bool

	mu    sync.Mutex
	store *Store
	// busy holds the programs with a call under way at this instance.
	busy map[string]struct{}
	// pending holds events whose recording failed half-way. They are recorded before anything else of the program,
	// since part of the cell may have them.
	pending map[string]*programv1.Event
	// ready holds the parts whose held events were gathered under the given term.
	ready map[int]uint64
}

// Option changes a Controller.
type Option func(*Controller)

// WithClock sets the clock; the default is time.Now.
func WithClock(now func() time.Time) Option { return func(c *Controller) { c.now = now } }

// WithEnded sets a function that is called, without locks held, when a program ends.
func WithEnded(f func(programID string)) Option { return func(c *Controller) { c.ended = f } }

// WithForward sets the function that passes the end of a turn to the new holder of its part.
func WithForward(f func(ctx context.Context, part int, ev *programv1.Event) error) Option {
	return func(c *Controller) { c.forward = f }
}

// WithDraining sets the function that reports a graceful shutdown, during which no turn begins.
func WithDraining(f func() bool) Option { return func(c *Controller) { c.draining = f } }

// NewController returns a controller for the programs whose home is the given data centre.
func NewController(dc string, parts Parts, rec Recorder, opts ...Option) *Controller {
	c := &Controller{
		dc: dc, parts: parts, rec: rec, now: time.Now, ended: func(string) {},
		forward:  func(context.Context, int, *programv1.Event) error { return errNoForward },
		draining: func() bool { return false },
		store:    NewStore(), busy: map[string]struct{}{}, pending: map[string]*programv1.Event{}, ready: map[int]uint64{},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Apply folds in an event that is durable: read from the log, or gathered from the cell.
func (c *Controller) Apply(ev *programv1.Event) Outcome {
	c.mu.Lock()
	out := c.store.Apply(ev)
	c.mu.Unlock()
	if out == Accepted && ev.GetEnded() != nil {
		c.ended(ev.Program)
	}
	return out
}

// SetReady records that every event that earlier holders of the part had recorded is applied. Until then the part's
// programs are refused.
func (c *Controller) SetReady(part int, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready[part] = term
}

// Ready reports whether SetReady was called for the part under the term.
func (c *Controller) Ready(part int, term uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready[part] == term
}

// hold returns the term under which the program's part is held and ready.
func (c *Controller) hold(id string) (int, uint64, *verdict.Error) {
	part := PartOf(id, c.parts.Parts())
	term, ok := c.parts.Holds(part)
	if ok {
		ok = c.Ready(part, term)
	}
	if !ok {
		return 0, 0, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOwnerUnavailable, retryNotDurable,
			"this instance does not hold the program's part")
	}
	return part, term, nil
}

// CreateSpec says what a new program may use.
type CreateSpec struct {
	ID           string
	Team         string
	Account      string
	Parent       string
	BudgetTokens int64
	BudgetCalls  int64
	Deadline     time.Time
}

// Create records a new program. Creating the same id again for the same account returns the program.
func (c *Controller) Create(ctx context.Context, s CreateSpec) (Program, error) {
	part, term, refused := c.hold(s.ID)
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
	if err := c.record(ctx, part, term, ev); err != nil {
		return Program{}, err
	}
	p, _ := c.lookup(s.ID)
	return p, nil
}

// rootOf returns the root of the tree of sub-agents that a new program joins. Its parent must be a live program of the same
// account.
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
	// The same answer as for a program that does not exist, so that ids of others cannot be probed.
	return unknownProgram()
}

func unknownProgram() *verdict.Error {
	return verdict.Refuse(http.StatusNotFound, verdict.ReasonUnknownProgram, 0, "no such program")
}

// End ends a program. Ending an ended program succeeds.
func (c *Controller) End(ctx context.Context, id, cause string) (Program, error) {
	part, term, refused := c.hold(id)
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
	if err := c.flush(ctx, id, part, term); err != nil {
		return Program{}, err
	}
	ev := &programv1.Event{Id: id + "/ended", Program: id, UnixMs: c.now().UnixMilli(),
		Body: &programv1.Event_Ended{Ended: &programv1.Ended{Cause: cause}}}
	if err := c.record(ctx, part, term, ev); err != nil {
		return Program{}, err
	}
	p, _ = c.lookup(id)
	return p, nil
}

// Sweep ends the held programs whose deadline has passed and forgets programs that ended long ago. It returns how many
// were ended.
func (c *Controller) Sweep(ctx context.Context) int {
	now := c.now()
	var late []string
	c.mu.Lock()
	c.store.Forget(now.Add(-keepEnded))
	c.store.Each(func(p *Program) bool {
		if !p.Ended && !p.Deadline.IsZero() && now.After(p.Deadline) {
			late = append(late, p.ID)
		}
		return true
	})
	c.mu.Unlock()
	n := 0
	for _, id := range late {
		if _, err := c.End(ctx, id, "deadline passed"); err == nil {
			n++
		}
	}
	return n
}

// Republish puts the events of up to limit held programs, whose events went on the log before the given time, on the log
// again, so that an instance that starts later finds them whole. It returns the number of programs.
func (c *Controller) Republish(before time.Time, limit int, publish func(*programv1.Event) error) (int, error) {
	for n := 0; n < limit; n++ {
		events := c.oldest(before)
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

// oldest returns the events of one held program that is due, and marks it published.
func (c *Controller) oldest(before time.Time) []*programv1.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due *Program
	c.store.Each(func(p *Program) bool {
		if p.Ended || !p.published.Before(before) {
			return true
		}
		if _, ok := c.parts.Holds(PartOf(p.ID, c.parts.Parts())); ok {
			due = p
		}
		return due == nil
	})
	if due == nil {
		return nil
	}
	due.published = c.now()
	return due.Events(due.published)
}
