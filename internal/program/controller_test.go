package program

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	programv1 "github.com/berylpond/berylpond/api/program/v1"
	"github.com/berylpond/berylpond/internal/verdict"
)

// fakeCell is the lease and the recorder of a single shard.
type fakeCell struct {
	term   uint64
	held   bool
	fail   error
	events []*programv1.Event
}

func (f *fakeCell) ShardCount() int             { return 1 }
func (f *fakeCell) HeldTerm(int) (uint64, bool) { return f.term, f.held }

func (f *fakeCell) Record(_ context.Context, _ int, _ uint64, ev *programv1.Event) error {
	if f.fail != nil {
		return f.fail
	}
	f.events = append(f.events, ev)
	return nil
}

func (f *fakeCell) RecordOnMajority(ctx context.Context, shard int, term uint64, ev *programv1.Event) error {
	return f.Record(ctx, shard, term, ev)
}

func newTestController(t *testing.T, opts ...Option) (*Controller, *fakeCell, string) {
	t.Helper()
	is := is.New(t)
	f := &fakeCell{term: 1, held: true}
	c := NewController("giza", f, f, opts...)
	c.SetReady(0, 1)
	id := NewID("giza")
	_, err := c.Create(context.Background(), CreateSpec{ID: id, Team: "t", Account: "a", BudgetTokens: 1000, BudgetCalls: 3, Deadline: time.Now().Add(time.Hour)})
	is.NoErr(err)
	return c, f, id
}

func spec(id, head, digest string) TurnSpec {
	return TurnSpec{Program: id, Team: "t", Account: "a", Head: head, Digest: digest, MaxPromptTokens: 10, MaxTokens: 20}
}

func reason(err error) verdict.Reason { return verdict.From(err).Reason }

func TestTurnsOfOneProgramRunInOrder(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, _, id := newTestController(t)
	turn, _, err := c.Begin(ctx, spec(id, FirstHead(id), "d1"))
	is.NoErr(err)
	_, _, err = c.Begin(ctx, spec(id, FirstHead(id), "d2"))
	is.Equal(reason(err), verdict.ReasonTurnInProgress)
	is.Equal(verdict.From(err).Verdict, verdict.NotRun)
	head, err := turn.Commit(ctx, EngineResponse{Request: []byte("[]"), Message: "x", PromptTokens: 10,
		CompletionTokens: 5})
	is.NoErr(err)
	_, _, err = c.Begin(ctx, spec(id, FirstHead(id), "d2"))
	is.Equal(reason(err), verdict.ReasonWrongHead)
	_, recorded, err := c.Begin(ctx, spec(id, FirstHead(id), "d1"))
	is.NoErr(err)
	is.Equal(recorded.Response, "x") // the repeated request gets the record
	next, _, err := c.Begin(ctx, spec(id, head, "d2"))
	is.NoErr(err)
	is.Equal(len(next.History), 1)
	is.Equal(next.HistoryTokens, int64(15))
}

func TestOtherAccountsCannotAccessAProgram(t *testing.T) {
	is := is.New(t)
	c, _, id := newTestController(t)
	s := spec(id, FirstHead(id), "d")
	s.Account = "other"
	_, _, err := c.Begin(context.Background(), s)
	is.Equal(reason(err), verdict.ReasonUnknownProgram)
}

func TestMaxTokensIsLimitedByTheBudget(t *testing.T) {
	is := is.New(t)
	c, _, id := newTestController(t)
	s := spec(id, FirstHead(id), "d")
	s.MaxTokens = 5000
	turn, _, err := c.Begin(context.Background(), s)
	is.NoErr(err)
	is.Equal(turn.MaxTokens, int64(990))
	turn.Abandon(context.Background(), 995)
	_, _, err = c.Begin(context.Background(), spec(id, FirstHead(id), "d"))
	is.Equal(reason(err), verdict.ReasonBudgetSpent)
}

// After a failed recording some slots of the cell may have the commit, so a later holder may find it. No other event
// may be recorded on that head before the commit has been recorded again.
func TestPendingCommitIsRecordedFirst(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, f, id := newTestController(t)
	turn, _, err := c.Begin(ctx, spec(id, FirstHead(id), "d1"))
	is.NoErr(err)
	f.fail = errors.New("no majority")
	_, err = turn.Commit(ctx, EngineResponse{Request: []byte("[]"), Message: "kept by one slot"})
	is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
	_, _, err = c.Begin(ctx, spec(id, FirstHead(id), "d2"))
	is.Equal(reason(err), verdict.ReasonNotDurable)
	f.fail = nil
	_, _, err = c.Begin(ctx, spec(id, FirstHead(id), "d2"))
	is.Equal(reason(err), verdict.ReasonWrongHead)
	_, recorded, err := c.Begin(ctx, spec(id, FirstHead(id), "d1"))
	is.NoErr(err)
	is.Equal(recorded.Response, "kept by one slot")
}

func TestCallsAreRefusedUnlessTheShardIsHeldAndReady(t *testing.T) {
	is := is.New(t)
	c, f, id := newTestController(t)
	f.term = 2 // a new lease, whose held events have not been collected yet
	_, _, err := c.Begin(context.Background(), spec(id, FirstHead(id), "d"))
	is.Equal(reason(err), verdict.ReasonOwnerUnavailable)
	c.SetReady(0, 2)
	f.held = false
	_, _, err = c.Begin(context.Background(), spec(id, FirstHead(id), "d"))
	is.Equal(reason(err), verdict.ReasonOwnerUnavailable)
}

func TestCommitIsForwardedToTheNewHolder(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var second *Controller
	c, f, id := newTestController(t, WithForward(func(ctx context.Context, _ int, ev *programv1.Event) error {
		return second.RecordForwarded(ctx, ev)
	}))
	turn, _, err := c.Begin(ctx, spec(id, FirstHead(id), "d1"))
	is.NoErr(err)
	g := &fakeCell{term: 2, held: true}
	second = NewController("giza", g, g)
	second.SetReady(0, 2)
	for _, ev := range f.events {
		second.Apply(ev)
	}
	f.held = false
	head, err := turn.Commit(ctx, EngineResponse{Request: []byte("[]"), Message: "late"})
	is.NoErr(err)
	p, _, err := second.Get(id)
	is.NoErr(err)
	is.Equal(p.Head, head)
}

func TestSweepEndsProgramsPastTheirDeadline(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var ended []string
	c, _, id := newTestController(t, WithClock(func() time.Time { return now }), WithOnEnd(func(id string) { ended = append(ended, id) }))
	is.Equal(c.Sweep(context.Background()), 0)
	now = now.Add(2 * time.Hour)
	is.Equal(c.Sweep(context.Background()), 1)
	is.Equal(ended, []string{id})
	is.Equal(c.IsRunning(id), false)
}

// The log keeps records for a limited time, so a program that lives longer is republished. An instance that reads only
// the republished events must have the whole program.
func TestLongProgramOutlivesLogRetention(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	now := time.Now()
	c, _, id := newTestController(t, WithClock(func() time.Time { return now }))
	turn, _, err := c.Begin(ctx, spec(id, FirstHead(id), "d1"))
	is.NoErr(err)
	head, err := turn.Commit(ctx, EngineResponse{Request: []byte("[]"), Message: "x", PromptTokens: 10})
	is.NoErr(err)
	var copies []*programv1.Event
	publish := func(ev *programv1.Event) error {
		copies = append(copies, ev)
		return nil
	}
	now = now.Add(time.Minute)
	n, err := c.Republish(now.Add(-2*time.Minute), 10, publish)
	is.NoErr(err)
	is.Equal(n, 0) // not due yet
	n, err = c.Republish(now.Add(-time.Second), 10, publish)
	is.NoErr(err)
	is.Equal(n, 1)
	n, _ = c.Republish(now.Add(-time.Second), 10, publish)
	is.Equal(n, 0) // published just now

	rebuilt := NewStore()
	for _, ev := range copies {
		rebuilt.Apply(ev)
	}
	is.Equal(rebuilt.Get(id).Head, head)
	is.Equal(rebuilt.Get(id).SpentTokens, int64(10))
	is.Equal(rebuilt.Get(id).Created.UnixMilli(), now.Add(-time.Minute).UnixMilli())
	for _, ev := range copies {
		is.True(c.Apply(ev) != Accepted) // a republished event does not change the state
	}
}

// If two turns on one head were recorded concurrently, both would be durable, and a later reader of the log might see
// them in the opposite order.
func TestForwardedTurnIsNotRecordedDuringALocalTurn(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, f, id := newTestController(t)
	_, _, err := c.Begin(ctx, spec(id, FirstHead(id), "d1")) // begun at the earlier holder and still in progress there
	is.NoErr(err)
	startedID := f.events[len(f.events)-1].Id
	c.release(id)
	local, _, err := c.Begin(ctx, spec(id, FirstHead(id), "d2"))
	is.NoErr(err)
	request, response := []byte("[]"), "from the earlier holder"
	forwarded := &programv1.Event{Id: NextHead(FirstHead(id), request, response), Program: id, Body: &programv1.Event_TurnCommitted{
		TurnCommitted: &programv1.TurnCommitted{
			Head: FirstHead(id), NewHead: NextHead(FirstHead(id), request, response), Request: request, Answer: response, StartedId: startedID,
		},
	}}
	recorded := len(f.events)
	is.Equal(reason(c.RecordForwarded(ctx, forwarded)), verdict.ReasonTurnInProgress)
	is.Equal(len(f.events), recorded) // nothing was made durable
	_, err = local.Commit(ctx, EngineResponse{Request: []byte("[]"), Message: "local"})
	is.NoErr(err)
	is.Equal(reason(c.RecordForwarded(ctx, forwarded)), verdict.ReasonWrongHead)
}

func TestSubAgentJoinsItsParentsTree(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, _, id := newTestController(t)
	create := func(parent, account string) (Program, error) {
		child, err := NewChildID(parent)
		is.NoErr(err)
		return c.Create(ctx, CreateSpec{ID: child, Team: "t", Account: account, Parent: parent, BudgetTokens: 10, BudgetCalls: 1, Deadline: time.Now().Add(time.Hour)})
	}
	child, err := create(id, "a")
	is.NoErr(err)
	is.Equal(child.Root, id)
	grandchild, err := create(child.ID, "a")
	is.NoErr(err)
	is.Equal(grandchild.Root, id)
	_, err = create(id, "other")
	is.Equal(reason(err), verdict.ReasonUnknownProgram) // another account's program is no parent
	_, err = create(NewID("giza"), "a")
	is.Equal(reason(err), verdict.ReasonUnknownProgram)
	_, err = c.End(ctx, id, "done")
	is.NoErr(err)
	_, err = create(id, "a")
	is.Equal(reason(err), verdict.ReasonProgramEnded)
}
