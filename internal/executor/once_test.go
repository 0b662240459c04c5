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

// fakeLog applies appended records to the index at once; in production the log's reader does so.
type fakeLog struct {
	index       *intent.Index
	unavailable bool
	kinds       []string
}

func (l *fakeLog) Append(_ context.Context, rec *journalv1.Record) (journal.Position, error) {
	if l.unavailable {
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

func (noDialer) Conn(string) (grpc.ClientConnInterface, error) { return nil, errors.New("no peers") }

// claimWindow is how long the test cell abstains from votes after its start.
const claimWindow = 100 * time.Millisecond

// newTestExecutor returns an executor whose cell has one slot and grants claims.
func newTestExecutor(t *testing.T) (*Executor, *fakeLog) {
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
	x := New(Deps{Claimer: c, Intents: index, IntentLog: log})
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cl, err := c.Claim(ctx, "probe"); err == nil {
			cl.Withdraw(ctx)
			return x, log
		}
	}
	t.Fatal("the cell did not grant a claim within 10 s")
	return nil, nil
}

func keyedRequest(key, body string) *peerv1.CallRequest {
	return &peerv1.CallRequest{Account: &peerv1.Account{Team: "t", Name: "a"}, IdempotencyKey: key, Body: []byte(body),
		Method: "POST", Path: "/p"}
}

// runOnce runs a request with run as its effect, and returns the response's body and whether it was replayed.
func (x *Executor) runOnce(r *peerv1.CallRequest, run func(context.Context, EmitFunc) error) (body string, replayed bool, err error) {
	err = x.runAtMostOnce(context.Background(), r, func(ev *peerv1.CallEvent) error {
		body += string(ev.GetDelta().GetData())
		replayed = replayed || ev.GetEnd().GetReplayed()
		return nil
	}, run)
	return body, replayed, err
}

// countedEffect returns an effect that increments runs and emits a complete response.
func countedEffect(runs *int) func(context.Context, EmitFunc) error {
	return func(_ context.Context, emit EmitFunc) error {
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

func TestRepeatedRequestGetsRecordedOutcome(t *testing.T) {
	is := is.New(t)
	x, log := newTestExecutor(t)
	runs := 0
	body, replayed, err := x.runOnce(keyedRequest("k", "b"), countedEffect(&runs))
	is.NoErr(err)
	is.Equal(body, "paid")
	is.Equal(replayed, false)
	is.Equal(log.kinds, []string{intent.KindIntent, intent.KindOutcome})
	body, replayed, err = x.runOnce(keyedRequest("k", "b"), countedEffect(&runs))
	is.NoErr(err)
	is.Equal(body, "paid")
	is.True(replayed)
	is.Equal(runs, 1)
	_, _, err = x.runOnce(keyedRequest("k", "another body"), countedEffect(&runs))
	is.Equal(verdict.From(err).Status, http.StatusUnprocessableEntity)
	is.Equal(runs, 1)
}

func TestUnknownOutcomeIsNotRetried(t *testing.T) {
	is := is.New(t)
	x, _ := newTestExecutor(t)
	runs := 0
	failWithoutResponse := func(context.Context, EmitFunc) error {
		runs++
		return verdict.Fail(http.StatusBadGateway, verdict.ReasonBackendSilent, "no answer")
	}
	for range 2 {
		_, _, err := x.runOnce(keyedRequest("k", "b"), failWithoutResponse)
		is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
	}
	is.Equal(runs, 1)
}

func TestNotRunRequestMayBeRepeated(t *testing.T) {
	is := is.New(t)
	x, _ := newTestExecutor(t)
	_, _, err := x.runOnce(keyedRequest("k", "b"), func(context.Context, EmitFunc) error {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackend, time.Second, "no backend server")
	})
	is.Equal(verdict.From(err).Verdict, verdict.NotRun)
	runs := 0
	_, _, err = x.runOnce(keyedRequest("k", "b"), countedEffect(&runs))
	is.NoErr(err)
	is.Equal(runs, 1)
}

// The cell forgets ids after a while. A request whose intent is still on the log must be refused even though the cell
// grants the claim.
func TestIntentOnLogBlocksForgottenID(t *testing.T) {
	is := is.New(t)
	x, log := newTestExecutor(t)
	is.NoErr(log.Enqueue(&journalv1.Record{Kind: intent.KindIntent, Key: "t/a/k"}))
	runs := 0
	_, _, err := x.runOnce(keyedRequest("k", "b"), countedEffect(&runs))
	is.Equal(verdict.From(err).Reason, verdict.ReasonDuplicate)
	is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
	is.Equal(runs, 0)
}

func TestClaimSufficesWhileLogIsUnavailable(t *testing.T) {
	is := is.New(t)
	x, log := newTestExecutor(t)
	log.unavailable = true
	runs := 0
	_, _, err := x.runOnce(keyedRequest("k", "b"), countedEffect(&runs))
	is.NoErr(err)
	_, replayed, err := x.runOnce(keyedRequest("k", "b"), countedEffect(&runs))
	is.NoErr(err)
	is.True(replayed)
	is.Equal(runs, 1)
}

func TestCallVerdictCoversAllAttempts(t *testing.T) {
	is := is.New(t)
	refused := verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackend, time.Second, "none left")
	is.Equal(verdictAfterWrite(false, refused).Verdict, verdict.NotRun)
	is.Equal(verdictAfterWrite(true, refused).Verdict, verdict.MayHaveRun)
	is.Equal(refused.Verdict, verdict.NotRun) // the refusal itself is unchanged
}

func TestBalancerPrefersLessLoadedHealthyServers(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
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
		is.Equal(addr, "busy") // suspects are picked last
	}
	addr, ok := b.pick([]string{"failed"}, nil)
	is.True(ok)
	is.Equal(addr, "failed")
	_, ok = b.pick([]string{"failed"}, []string{"failed"})
	is.Equal(ok, false)
	done(nil)
	now = now.Add(suspectDuration)
	is.Equal(b.load("busy"), 0)
}
