package executor

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	journalv1 "github.com/berylpond/berylpond/api/journal/v1"
	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	"github.com/berylpond/berylpond/internal/cell"
	"github.com/berylpond/berylpond/internal/intent"
	"github.com/berylpond/berylpond/internal/journal"
	"github.com/berylpond/berylpond/internal/member"
	"github.com/berylpond/berylpond/internal/verdict"
)

// fakeLog applies what is appended to the index, as the reader does.
type fakeLog struct {
	index *intent.Index
	away  bool
	kinds []string
}

func (l *fakeLog) Append(_ context.Context, rec *journalv1.Record) (journal.Position, error) {
	if l.away {
		return journal.Position{}, journal.ErrNotDurable
	}
	return journal.Position{}, l.Enqueue(rec)
}

func (l *fakeLog) Enqueue(rec *journalv1.Record) error {
	l.kinds = append(l.kinds, rec.Kind)
	l.index.Apply(journal.Position{}, rec)
	return nil
}

type noDialer struct{}

func (noDialer) Conn(string) (grpc.ClientConnInterface, error) { return nil, errors.New("alone") }

// claimWindow is the time for which the test cell abstains after its start.
const claimWindow = 100 * time.Millisecond

// newOnce returns an executor in a cell of one slot that grants claims.
func newOnce(t *testing.T) (*Executor, *fakeLog) {
	t.Helper()
	cfg := cell.Config{DataCentre: "giza", Slots: 1, Incarnation: 1, Lease: claimWindow, Margin: time.Millisecond,
		Heartbeat: 10 * time.Millisecond, ClaimWindow: claimWindow}
	c := cell.New(cfg, member.NewTable(member.Instance{ID: "giza-0", DataCentre: "giza", Incarnation: 1}), noDialer{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = c.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	index := intent.NewIndex(func(string) {})
	log := &fakeLog{index: index}
	x := New(Deps{Claims: c, Intents: index, Log: log})
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cl, err := c.Claim(ctx, "probe"); err == nil {
			cl.Withdraw(ctx)
			return x, log
		}
	}
	t.Fatal("the cell grants no claims")
	return nil, nil
}

func onceRequest(key, body string) *peerv1.CallRequest {
	return &peerv1.CallRequest{Account: &peerv1.Account{Team: "t", Name: "a"}, IdempotencyKey: key, Body: []byte(body), Method: "POST", Path: "/p"}
}

// once runs a request whose effect is run, and returns the body of the answer and whether it was recorded earlier.
func (x *Executor) testOnce(r *peerv1.CallRequest, run func(context.Context, Emit) error) (body string, replayed bool, err error) {
	err = x.once(context.Background(), r, func(ev *peerv1.CallEvent) error {
		body += string(ev.GetDelta().GetData())
		replayed = replayed || ev.GetEnd().GetReplayed()
		return nil
	}, run)
	return body, replayed, err
}

// answering returns an effect that is counted and answered whole.
func answering(runs *int) func(context.Context, Emit) error {
	return func(_ context.Context, emit Emit) error {
		*runs++
		if err := emit(startEvent(http.StatusOK, "text/plain", "")); err != nil {
			return err
		}
		if err := emit(deltaEvent([]byte("paid"))); err != nil {
			return err
		}
		return emit(endEvent(&peerv1.End{}))
	}
}

func TestRepeatedRequestGetsTheKeptAnswer(t *testing.T) {
	is := is.New(t)
	x, log := newOnce(t)
	runs := 0
	body, replayed, err := x.testOnce(onceRequest("k", "b"), answering(&runs))
	is.NoErr(err)
	is.Equal(body, "paid")
	is.Equal(replayed, false)
	is.Equal(log.kinds, []string{intent.KindIntent, intent.KindOutcome})
	body, replayed, err = x.testOnce(onceRequest("k", "b"), answering(&runs))
	is.NoErr(err)
	is.Equal(body, "paid")
	is.True(replayed)
	is.Equal(runs, 1)
	_, _, err = x.testOnce(onceRequest("k", "another body"), answering(&runs))
	is.Equal(verdict.From(err).Status, http.StatusUnprocessableEntity)
	is.Equal(runs, 1)
}

func TestUnknownOutcomeIsNeverRunAgain(t *testing.T) {
	is := is.New(t)
	x, _ := newOnce(t)
	runs := 0
	lost := func(context.Context, Emit) error {
		runs++
		return verdict.Fail(http.StatusBadGateway, verdict.ReasonBackendSilent, "no answer")
	}
	for range 2 {
		_, _, err := x.testOnce(onceRequest("k", "b"), lost)
		is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
	}
	is.Equal(runs, 1)
}

func TestRequestThatDidNotRunMayRunLater(t *testing.T) {
	is := is.New(t)
	x, _ := newOnce(t)
	_, _, err := x.testOnce(onceRequest("k", "b"), func(context.Context, Emit) error {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackend, time.Second, "no backend server")
	})
	is.Equal(verdict.From(err).Verdict, verdict.NotRun)
	runs := 0
	_, _, err = x.testOnce(onceRequest("k", "b"), answering(&runs))
	is.NoErr(err)
	is.Equal(runs, 1)
}

// TestCellThatForgotAsksTheLog: the log remembers ids for longer than the cell.
func TestCellThatForgotAsksTheLog(t *testing.T) {
	is := is.New(t)
	x, log := newOnce(t)
	is.NoErr(log.Enqueue(&journalv1.Record{Kind: intent.KindIntent, Key: "t/a/k"}))
	runs := 0
	_, _, err := x.testOnce(onceRequest("k", "b"), answering(&runs))
	is.Equal(verdict.From(err).Reason, verdict.ReasonDuplicate)
	is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
	is.Equal(runs, 0)
}

func TestClaimStandsAloneWhileTheLogIsAway(t *testing.T) {
	is := is.New(t)
	x, log := newOnce(t)
	log.away = true
	runs := 0
	_, _, err := x.testOnce(onceRequest("k", "b"), answering(&runs))
	is.NoErr(err)
	_, replayed, err := x.testOnce(onceRequest("k", "b"), answering(&runs))
	is.NoErr(err)
	is.True(replayed)
	is.Equal(runs, 1)
}

func TestVerdictOfACallIsThatOfItsWorstAttempt(t *testing.T) {
	is := is.New(t)
	refused := verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackend, time.Second, "none left")
	is.Equal(afterWriting(false, refused).Verdict, verdict.NotRun)
	is.Equal(afterWriting(true, refused).Verdict, verdict.MayHaveRun)
	is.Equal(refused.Verdict, verdict.NotRun) // the refusal itself is unchanged
}

func TestBalancePrefersLessLoadedAndUnsuspected(t *testing.T) {
	is := is.New(t)
	b := newBalance()
	now := time.Now()
	b.now = func() time.Time { return now }
	done := b.begin("busy")
	for range 20 {
		addr, ok := b.pick([]string{"idle", "failed"}, []string{"failed"})
		is.True(ok)
		is.Equal(addr, "idle")
	}
	b.begin("failed")(verdict.Fail(http.StatusBadGateway, verdict.ReasonBackendFailed, "broke"))
	for range 20 {
		addr, _ := b.pick([]string{"busy", "failed"}, nil)
		is.Equal(addr, "busy") // a suspect is the last choice
	}
	addr, ok := b.pick([]string{"failed"}, nil)
	is.True(ok)
	is.Equal(addr, "failed")
	_, ok = b.pick([]string{"failed"}, []string{"failed"})
	is.Equal(ok, false)
	done(nil)
	now = now.Add(suspectFor)
	is.Equal(b.load("busy"), 0)
}
