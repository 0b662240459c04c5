package turnlog

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/fakes/metastore"
	"github.com/berylpond/berylpond/platform"
)

// maxRecordBytes and maxAppendBytes are the limits of the fake store.
const maxRecordBytes, maxAppendBytes = 1 << 18, 1 << 21

// fixture is a fake store that any number of owners can use.
type fixture struct {
	t     *testing.T
	store *metastore.Store
	url   string
	ctx   context.Context
}

func newFixture(t *testing.T) *fixture {
	f, stop := openFixture(t)
	t.Cleanup(stop)
	return f
}

// openFixture is newFixture for a caller that stops the store itself.
func openFixture(t *testing.T) (f *fixture, stop func()) {
	s := metastore.New(1)
	s.MaxRecordBytes, s.MaxAppendBytes = maxRecordBytes, maxAppendBytes
	srv := httptest.NewServer(s)
	ctx, cancel := context.WithCancel(context.Background())
	f = &fixture{t: t, store: s, url: strings.TrimPrefix(srv.URL, "http://"), ctx: ctx}
	return f, func() { cancel(); srv.CloseClientConnections(); srv.Close() }
}

// stubFinder simulates a deployment without other owners: every partition is covered only if the caller covers it.
type stubFinder struct{ err error }

func (f stubFinder) FindAtOtherOwners(_ context.Context, _ *turnv1.FindRequest, own []int) (*turnv1.FindResponse,
	error) {
	if len(own) == 0 {
		return nil, errors.New("no owner covers the partition")
	}
	return &turnv1.FindResponse{Outcome: turnv1.Outcome_OUTCOME_NO_SUCH_TURN}, f.err
}

func (s *fixture) owner(name string, f Finder) *Owner { return s.startOwner(name, f, time.Now) }

// startOwner starts an owner and waits until it has acquired the partition.
func (s *fixture) startOwner(name string, f Finder, now func() time.Time) *Owner {
	o := NewOwner(s.ctx, platform.NewStore(platform.NewHTTPTransport(s.url, nil)),
		platform.StoreSettings{Partitions: 1, MaxRecordBytes: maxRecordBytes, MaxAppendBytes: maxAppendBytes}, name, f,
		NewMetrics(prometheus.NewRegistry()))
	o.now = now
	o.Assign([]int{0})
	for deadline := time.Now().Add(5 * time.Second); !owns(o); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("owner %s did not acquire its partition", name)
		}
	}
	return o
}

// owns reports whether the only partition has been acquired and replayed.
func owns(o *Owner) bool { return len(o.OwnedPartitions()) == 1 }

func begin(turn, previous string, budget, reservation int64) *turnv1.BeginRequest {
	return &turnv1.BeginRequest{
		Program: "p", Account: "a", Turn: turn, Previous: previous, Budget: budget, Most: reservation, KeepMs: 60_000,
	}
}

func end(turn, previous, input, output string, tokens int64) *turnv1.EndRequest {
	return &turnv1.EndRequest{
		Program: "p", Account: "a", Turn: turn, Previous: previous, Complete: true, Tokens: tokens, Input: []byte(input),
		Output: []byte(output), Budget: 1000, Most: 100, KeepMs: 60_000,
	}
}

func mustBegin(t *testing.T, o *Owner, r *turnv1.BeginRequest) *turnv1.BeginResponse {
	t.Helper()
	resp, err := o.Begin(t.Context(), r)
	if err != nil || resp.Outcome != turnv1.Outcome_OUTCOME_OK {
		t.Fatalf("begin of %s: %v %v", r.Turn, resp, err)
	}
	return resp
}

func mustEnd(t *testing.T, o *Owner, r *turnv1.EndRequest) {
	t.Helper()
	resp, err := o.End(t.Context(), r)
	if err != nil || resp.Outcome != turnv1.Outcome_OUTCOME_OK {
		t.Fatalf("end of %s: %v %v", r.Turn, resp, err)
	}
}

func TestHistoryIsInOrderAndSurvivesATakeover(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	o := s.owner("one", stubFinder{})
	mustBegin(t, o, begin("t1", "", 1000, 100))
	mustEnd(t, o, end("t1", "", "in1", "out1\n", 50))
	mustBegin(t, o, begin("t2", "t1", 1000, 100))
	mustEnd(t, o, end("t2", "t1", "in2", "out2\n", 50))
	mustBegin(t, o, begin("side", "t1", 1000, 100))

	next := s.owner("two", stubFinder{})
	is.Equal(string(mustBegin(t, next, begin("t3", "t2", 1000, 100)).History), "in1out1\nin2out2\n")
	is.Equal(string(mustBegin(t, next, begin("t4", "t1", 1000, 100)).History), "in1out1\n")
}

func TestReplacedOwnerAcknowledgesNothing(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	old := s.owner("old", stubFinder{})
	mustBegin(t, old, begin("t1", "", 1000, 100))
	next := s.owner("next", stubFinder{})

	resp, err := old.End(t.Context(), end("t1", "", "in", "out\n", 10))
	is.NoErr(err)
	is.Equal(resp.Outcome, turnv1.Outcome_OUTCOME_NOT_OWNER)
	found, err := next.Find(t.Context(), &turnv1.FindRequest{Account: "a", Turn: "t1"})
	is.NoErr(err)
	is.Equal(found.Outcome, turnv1.Outcome_OUTCOME_NO_SUCH_TURN)
}

func TestReplacedOwnerDoesNotRefuseATurnThatItHasNotRead(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	old := s.owner("old", stubFinder{})
	next := s.owner("next", stubFinder{})
	mustBegin(t, next, begin("t1", "", 1000, 100))
	mustEnd(t, next, end("t1", "", "in", "out\n", 10))

	// The turn is in the log but not in the state of the old owner.
	resp, err := old.Begin(t.Context(), begin("t2", "t1", 1000, 100))
	is.NoErr(err)
	is.True(resp.Outcome != turnv1.Outcome_OUTCOME_NO_SUCH_TURN)
}

// A partition counts as assigned before its log has been read, so that decisions that need only the assignment are not
// delayed while the store is unavailable.
func TestPartitionIsAssignedBeforeItsLogIsRead(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.store.SetFault(func(*http.Request) metastore.Mode { return metastore.Refuse })
	o := NewOwner(s.ctx, platform.NewStore(platform.NewHTTPTransport(s.url, nil)), platform.StoreSettings{Partitions: 1}, "one",
		stubFinder{}, NewMetrics(prometheus.NewRegistry()))
	is.True(!o.IsAssigned(0))
	o.Assign([]int{0})
	is.True(o.IsAssigned(0))
	is.True(!owns(o))
	o.Assign(nil)
	is.True(!o.IsAssigned(0))
}

func TestAppendWithALostResponseIsStoredOnce(t *testing.T) {
	for name, mode := range map[string]metastore.Mode{"done": metastore.Lose, "done later": metastore.Late} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFixture(t)
			s.store.Delay = 300 * time.Millisecond
			o := s.owner("one", stubFinder{})
			mustBegin(t, o, begin("t1", "", 1000, 100))
			// The fake calls the function from the goroutine of each connection.
			var failed atomic.Bool
			s.store.SetFault(func(r *http.Request) metastore.Mode {
				if r.URL.Path == "/api/log-append" && failed.CompareAndSwap(false, true) {
					return mode
				}
				return metastore.Serve
			})
			mustEnd(t, o, end("t1", "", "in", "out\n", 10))
			time.Sleep(2 * s.store.Delay)
			is.True(failed.Load())
			completed := 0
			for i, b := range s.store.Records(Topic, 0) {
				p := partition{}
				if r := p.decode(b, int64(i)); r.GetCompleted() != nil {
					completed++
				}
			}
			is.Equal(completed, 1)
			is.True(owns(o))
		})
	}
}

// The appends of a partition are serialized, so a lost response must not block the following ones for long.
func TestLostResponsesDelayTurnsLittle(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	o := s.owner("one", stubFinder{})
	var appends, lost atomic.Int32
	s.store.SetFault(func(r *http.Request) metastore.Mode {
		if r.URL.Path != "/api/log-append" {
			return metastore.Serve
		}
		if appends.Add(1)%2 == 0 {
			lost.Add(1)
			return metastore.Lose
		}
		return metastore.Serve
	})
	start := time.Now()
	for i := range 5 {
		turn := "t" + strconv.Itoa(i)
		mustBegin(t, o, begin(turn, "", 10_000, 100))
		mustEnd(t, o, end(turn, "", "in", "out\n", 10))
	}
	took := time.Since(start)
	is.True(lost.Load() >= 2)
	is.True(took < time.Duration(lost.Load())*appendTimeout/2)
}

func TestBudgetHoldsAcrossATakeover(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	o := s.owner("one", stubFinder{})
	// The budget covers three turns of 100 tokens. Two are in progress when the owner is lost, so the tokens that they
	// generate are unknown.
	mustBegin(t, o, begin("t1", "", 300, 100))
	mustBegin(t, o, begin("t2", "", 300, 100))
	next := s.owner("two", stubFinder{})
	mustBegin(t, next, begin("t3", "", 300, 100))
	resp, err := next.Begin(t.Context(), begin("t4", "", 300, 100))
	is.NoErr(err)
	is.Equal(resp.Outcome, turnv1.Outcome_OUTCOME_BUDGET_SPENT)
}

func TestUnspentReservationIsReturned(t *testing.T) {
	s := newFixture(t)
	o := s.owner("one", stubFinder{})
	for range 10 {
		mustBegin(t, o, begin("t1", "", 100, 100))
		_, err := o.End(t.Context(), &turnv1.EndRequest{Program: "p", Account: "a", Turn: "t1"})
		is.New(t).NoErr(err)
	}
}

func TestNextTurnNeedsNoRecordBeforeItStarts(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	o := s.owner("one", stubFinder{})
	mustBegin(t, o, begin("t1", "", 1000, 100))
	mustEnd(t, o, end("t1", "", "in", "out\n", 50))
	before := s.store.Calls("/api/log-append")
	mustBegin(t, o, begin("t2", "t1", 1000, 100))
	is.Equal(s.store.Calls("/api/log-append"), before)
}

// endUnstored ends a turn whose history is not stored.
func endUnstored(turn string, tokens int64) *turnv1.EndRequest {
	return &turnv1.EndRequest{Program: "p", Account: "a", Turn: turn, Tokens: tokens, Budget: 300, Most: 100, KeepMs: 60_000}
}

func TestTurnsWithoutHistoryShareABudgetAcrossATakeover(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	o := s.owner("one", stubFinder{})
	mustBegin(t, o, begin("t1", "", 300, 100))
	mustEnd(t, o, endUnstored("t1", 90))
	before := s.store.Calls("/api/log-append")
	mustBegin(t, o, begin("t2", "", 300, 100))
	is.Equal(s.store.Calls("/api/log-append"), before)
	mustEnd(t, o, endUnstored("t2", 90))

	next := s.owner("two", stubFinder{})
	mustBegin(t, next, begin("t3", "", 300, 100))
	mustEnd(t, next, endUnstored("t3", 90))
	resp, err := next.Begin(t.Context(), begin("t4", "", 300, 100))
	is.NoErr(err)
	is.Equal(resp.Outcome, turnv1.Outcome_OUTCOME_BUDGET_SPENT)
	// No turn can continue from one whose history is not stored.
	resp, err = next.Begin(t.Context(), begin("t5", "t1", 1000, 100))
	is.NoErr(err)
	is.Equal(resp.Outcome, turnv1.Outcome_OUTCOME_NO_SUCH_TURN)
}

func TestTurnsOfOtherAccountsAndUnknownTurnsAreRefused(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	o := s.owner("one", stubFinder{})
	mustBegin(t, o, begin("t1", "", 1000, 100))
	mustEnd(t, o, end("t1", "", "in", "out\n", 50))

	other := begin("x1", "t1", 1000, 100)
	other.Account, other.Program = "b", "q"
	resp, err := o.Begin(t.Context(), other)
	is.NoErr(err)
	is.Equal(resp.Outcome, turnv1.Outcome_OUTCOME_NO_SUCH_TURN)
	resp, err = o.Begin(t.Context(), begin("t2", "nothing", 1000, 100))
	is.NoErr(err)
	is.Equal(resp.Outcome, turnv1.Outcome_OUTCOME_NO_SUCH_TURN)
}

func TestUnknownTurnIsUnavailableUnlessEveryOwnerResponds(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	o := s.owner("one", stubFinder{err: errors.New("an owner did not respond")})
	resp, err := o.Begin(t.Context(), begin("t2", "nothing", 1000, 100))
	is.NoErr(err)
	is.Equal(resp.Outcome, turnv1.Outcome_OUTCOME_UNAVAILABLE)
}

func TestAnotherProgramContinuesATurn(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	o := s.owner("one", stubFinder{})
	mustBegin(t, o, begin("t1", "", 1000, 100))
	mustEnd(t, o, end("t1", "", "in1", "out1\n", 50))

	r := begin("u1", "t1", 1000, 100)
	r.Program = "q"
	is.Equal(string(mustBegin(t, o, r).History), "in1out1\n")
}

func TestTakeoverReadsFromTheStartOfATrimmedLog(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	o := s.owner("one", stubFinder{})
	mustBegin(t, o, begin("t1", "", 1000, 100))
	mustEnd(t, o, end("t1", "", "in", "out\n", 50))
	s.store.Trim(Topic, 0, 2)
	next := s.owner("two", stubFinder{})
	found, err := next.Find(t.Context(), &turnv1.FindRequest{Account: "a", Turn: "t1"})
	is.NoErr(err)
	is.Equal(found.Outcome, turnv1.Outcome_OUTCOME_OK)
}

// The load: the store is away, and turns of new programs go on arriving. Those that need a record are refused at once as soon as
// the owner knows; those that need none begin.
func TestTurnsThatNeedTheStoreAreRefusedAtOnceWhileItIsAway(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	o := s.owner("one", stubFinder{})
	mustBegin(t, o, begin("t1", "", 300, 100))
	mustEnd(t, o, endUnstored("t1", 50))
	s.store.SetFault(func(*http.Request) metastore.Mode { return metastore.Silent })
	newProgram := func(timeout time.Duration) *turnv1.BeginResponse {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		r := begin("u1", "", 300, 100)
		r.Program = "q"
		resp, err := o.Begin(ctx, r)
		is.NoErr(err)
		return resp
	}
	resp := newProgram(minOutage + 200*time.Millisecond)
	is.Equal(resp.Outcome, turnv1.Outcome_OUTCOME_UNAVAILABLE)
	is.Equal(resp.StoreAwayMs, int64(0))
	start := time.Now()
	resp = newProgram(5 * time.Second)
	is.Equal(resp.Outcome, turnv1.Outcome_OUTCOME_UNAVAILABLE)
	is.True(resp.StoreAwayMs >= minOutage.Milliseconds())
	is.True(time.Since(start) < time.Second)
	mustBegin(t, o, begin("t2", "", 300, 100))

	s.store.SetFault(nil)
	for deadline := time.Now().Add(5 * time.Second); newProgram(time.Second).Outcome != turnv1.Outcome_OUTCOME_OK; {
		is.True(time.Now().Before(deadline))
	}
}

func TestStoreCountsAsAwayAfterAnAppendTimedOut(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	_, refuse := outage{}.refuses(start)
	is.True(!refuse)
	_, refuse = outage{since: start}.refuses(start.Add(minOutage - 1))
	is.True(!refuse)
	away, refuse := outage{since: start}.refuses(start.Add(3 * time.Second))
	is.True(refuse)
	is.Equal(away, 3*time.Second)
}

// The load: the store is away while a program of many short turns is in progress.
func TestProgramWithoutHistoryGoesOnWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	o := NewOwner(s.ctx, platform.NewStore(platform.NewHTTPTransport(s.url, nil)),
		platform.StoreSettings{Partitions: 1, MaxRecordBytes: maxRecordBytes, MaxAppendBytes: maxAppendBytes}, "one", stubFinder{},
		NewMetrics(prometheus.NewRegistry()))
	o.AdvanceGrants = true
	o.Assign([]int{0})
	for !owns(o) {
		time.Sleep(time.Millisecond)
	}
	endWithin := func(turn string, timeout time.Duration) turnv1.Outcome {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		r := endUnstored(turn, 40)
		r.Budget = 1000
		resp, err := o.End(ctx, r)
		is.NoErr(err)
		return resp.Outcome
	}
	mustBegin(t, o, begin("t0", "", 1000, 100))
	is.Equal(endWithin("t0", time.Second), turnv1.Outcome_OUTCOME_OK)
	s.store.SetFault(func(*http.Request) metastore.Mode { return metastore.Silent })
	for _, turn := range []string{"t1", "t2", "t3", "t4"} {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		resp, err := o.Begin(ctx, begin(turn, "", 1000, 100))
		cancel()
		is.NoErr(err)
		is.Equal(resp.Outcome, turnv1.Outcome_OUTCOME_OK)
		is.Equal(endWithin(turn, 10*time.Millisecond), turnv1.Outcome_OUTCOME_UNAVAILABLE)
	}
}

// A planned change of owners costs a program nothing.
func TestReleasedPartitionGivesUnusedGrantsBack(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	o := s.owner("one", stubFinder{})
	p := o.partition(0)
	p.mu.Lock()
	p.state.advanceGrants = true
	p.mu.Unlock()
	mustBegin(t, o, begin("t0", "", 1000, 100))
	r := endUnstored("t0", 40)
	r.Budget = 1000
	mustEnd(t, o, r)
	o.Assign(nil)
	next := s.owner("two", stubFinder{})
	is.Equal(mustBegin(t, next, begin("t1", "", 1000, 100)).Charged, int64(140))
}
