package keeper

import (
	"context"
	"encoding/json"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/berylpond/berylpond/internal/failpoint"
	"github.com/berylpond/berylpond/internal/invariant"
	"github.com/berylpond/berylpond/internal/member"
	"github.com/berylpond/berylpond/internal/scheduler/framework"
	"github.com/berylpond/berylpond/internal/verdict"
)

func TestMain(m *testing.M) {
	invariant.PanicOnViolation(true)
	m.Run()
}

// fakeShards gives all shards to one holder.
type fakeShards struct {
	mu     sync.Mutex
	self   string
	holder *member.Instance
}

func (s *fakeShards) ShardCount() int { return 4 }

func (s *fakeShards) HeldTerm(int) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1, s.holder != nil && s.holder.ID == s.self
}

func (s *fakeShards) Holder(int) (member.Instance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder == nil {
		return member.Instance{}, false
	}
	return *s.holder, true
}

func (s *fakeShards) set(in *member.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder = in
}

type fakeDialer struct{ t *testing.T }

func (d fakeDialer) Conn(addr string) (grpc.ClientConnInterface, error) {
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err == nil {
		d.t.Cleanup(func() { _ = conn.Close() })
	}
	return conn, err
}

// fakeEngine responds to polls and records the prefixes that it was ordered to release.
type fakeEngine struct {
	addr     string
	mu       sync.Mutex
	keys     map[string]int64
	released []string
}

func newFakeEngine(t *testing.T) *fakeEngine {
	e := &fakeEngine{keys: map[string]int64{}}
	srv := httptest.NewServer(e)
	t.Cleanup(srv.Close)
	e.addr = strings.TrimPrefix(srv.URL, "http://")
	return e
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch r.URL.Path {
	case "/v1/load":
		_ = json.NewEncoder(w).Encode(loadReport{Running: 0, KVCapacityTokens: 1 << 20})
	case "/v1/cache/events":
		_ = json.NewEncoder(w).Encode(eventsReport{Next: 1})
	case "/v1/cache/keys":
		var report keysReport
		for k, n := range e.keys {
			report.Keys = append(report.Keys, struct {
				Key    string `json:"key"`
				Tokens int64  `json:"tokens"`
			}{k, n})
		}
		_ = json.NewEncoder(w).Encode(report)
	case "/v1/cache/release":
		var order releaseOrder
		_ = json.NewDecoder(r.Body).Decode(&order)
		for _, k := range order.Keys {
			delete(e.keys, k)
		}
		e.released = append(e.released, order.Keys...)
	}
}

// testCluster is two instances on the loopback interface.
type testCluster struct {
	shards      [2]*fakeShards
	controllers [2]*Controller
	servers     [2]*grpc.Server
	instances   [2]member.Instance
	engine      *fakeEngine
}

func newTestCluster(t *testing.T, s framework.Settings) *testCluster {
	t.Helper()
	v := &testCluster{engine: newFakeEngine(t)}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i, id := range []string{"giza-1", "giza-2"} {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		v.instances[i] = member.Instance{ID: id, DataCentre: "giza", Slot: i, PeerAddr: lis.Addr().String()}
		v.shards[i] = &fakeShards{self: id}
		cfg := Config{
			DataCentre: "giza", Settings: &s, KeepaliveTimeout: time.Second,
			LoadInterval: 20 * time.Millisecond, EventsInterval: 20 * time.Millisecond, KeysInterval: 20 * time.Millisecond,
		}
		v.controllers[i] = New(cfg, member.NewTable(v.instances[i]), v.shards[i], fakeDialer{t})
		v.controllers[i].SetGroups([]Group{{Team: "nile", Model: "m", Engines: []string{v.engine.addr}}})
		v.servers[i] = grpc.NewServer()
		v.controllers[i].Register(v.servers[i])
		wg.Add(2)
		go func() { defer wg.Done(); _ = v.servers[i].Serve(lis) }()
		go func() { defer wg.Done(); _ = v.controllers[i].Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		v.servers[0].Stop()
		v.servers[1].Stop()
		wg.Wait()
	})
	return v
}

func (c *testCluster) setKeeper(in *member.Instance) {
	c.shards[0].set(in)
	c.shards[1].set(in)
}

func testCall(id string) Call {
	return Call{Team: "nile", Model: "m", Call: framework.Call{
		ID: id, Program: "p-" + id, Account: "a", NewTokens: 100, ExpectedOutput: 10,
	}}
}

func smallSettings() framework.Settings {
	s := framework.DefaultSettings(framework.Berylpond)
	s.InitialConcurrency, s.MaxConcurrency = 2, 2
	return s
}

func (c *testCluster) inFlight(i int) int {
	n := 0
	for _, st := range c.controllers[i].Status() {
		n += st.InFlight
	}
	return n
}

func eventually(t *testing.T, condition string, f func() bool) {
	t.Helper()
	for range 500 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out waiting until %s", condition)
}

func TestAdmit(t *testing.T) {
	for _, tt := range []struct {
		name   string
		holder int
	}{{"local", 0}, {"remote", 1}, {"holder unknown", -1}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := newTestCluster(t, smallSettings())
			if tt.holder >= 0 {
				v.setKeeper(&v.instances[tt.holder])
			}
			p, err := v.controllers[0].Admit(t.Context(), testCall("1"))
			is.NoErr(err)
			is.Equal(p.Engine, v.engine.addr)
			granter := max(0, tt.holder)
			is.Equal(v.inFlight(granter), 1)
			p.RecordProgress()
			p.Done(Outcome{Kind: framework.OK, PromptTokens: 100, CompletionTokens: 10})
			p.Done(Outcome{Kind: framework.OK})
			eventually(t, "the permit is released", func() bool { return v.inFlight(granter) == 0 })
		})
	}
}

func TestBrokenStreamReleasesPermit(t *testing.T) {
	is := is.New(t)
	v := newTestCluster(t, smallSettings())
	v.setKeeper(&v.instances[1])
	p, err := v.controllers[0].Admit(t.Context(), testCall("1"))
	is.NoErr(err)
	is.Equal(v.inFlight(1), 1)
	p.source.(*remotePermit).cancel()
	eventually(t, "the permit is released", func() bool { return v.inFlight(1) == 0 })
}

func TestUnreachableKeeperIsServedDegraded(t *testing.T) {
	is := is.New(t)
	v := newTestCluster(t, smallSettings())
	v.setKeeper(&v.instances[1])
	v.servers[1].Stop()
	p, err := v.controllers[0].Admit(t.Context(), testCall("1"))
	is.NoErr(err)
	is.Equal(v.inFlight(0), 1)
	p.Done(Outcome{Kind: framework.OK})
	is.Equal(v.inFlight(0), 0)
}

func TestQueuedCallMovesToNewKeeper(t *testing.T) {
	is := is.New(t)
	v := newTestCluster(t, smallSettings())
	v.setKeeper(&v.instances[1])
	var first []*Permit
	for _, id := range []string{"1", "2"} {
		p, err := v.controllers[1].Admit(t.Context(), testCall(id))
		is.NoErr(err)
		first = append(first, p)
	}
	got := make(chan error, 1)
	go func() {
		_, err := v.controllers[0].Admit(t.Context(), testCall("3"))
		got <- err
	}()
	eventually(t, "the call is queued", func() bool {
		r := v.controllers[1].group(groupKey{"nile", "m"}).primary
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.group.QueueLength() == 1
	})
	v.setKeeper(&v.instances[0])
	is.NoErr(<-got)
	is.Equal(v.inFlight(0), 1)
	for _, p := range first {
		p.Done(Outcome{Kind: framework.OK})
	}
}

func TestCancelledCallIsRemovedFromQueue(t *testing.T) {
	is := is.New(t)
	v := newTestCluster(t, smallSettings())
	v.setKeeper(&v.instances[1])
	for _, id := range []string{"1", "2"} {
		_, err := v.controllers[0].Admit(t.Context(), testCall(id))
		is.NoErr(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := v.controllers[0].Admit(ctx, testCall("3"))
	is.Equal(verdict.From(err).Verdict, verdict.NotRun)
	is.Equal(verdict.From(err).Reason, verdict.ReasonDeadline)
	eventually(t, "the queue is empty", func() bool {
		r := v.controllers[1].group(groupKey{"nile", "m"}).primary
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.group.QueueLength() == 0 && len(r.waiters) == 0
	})
}

func TestFailpointAfterGrantReleasesPermit(t *testing.T) {
	is := is.New(t)
	v := newTestCluster(t, smallSettings())
	v.setKeeper(&v.instances[0])
	failpoint.Enable("keeper.grant.after", failpoint.Action{Kind: "error"})
	defer failpoint.Disable("keeper.grant.after")
	_, err := v.controllers[0].Admit(t.Context(), testCall("1"))
	is.Equal(verdict.From(err).Verdict, verdict.NotRun)
	is.Equal(v.inFlight(0), 0)
}

func TestUnknownModelIsRefused(t *testing.T) {
	is := is.New(t)
	v := newTestCluster(t, smallSettings())
	call := testCall("1")
	call.Model = "other"
	_, err := v.controllers[0].Admit(t.Context(), call)
	is.Equal(verdict.From(err).Reason, verdict.ReasonUnknownModel)
	is.Equal(verdict.From(err).Verdict, verdict.NotRun)
}

func TestPrefixOfEndedProgramIsReleased(t *testing.T) {
	v := newTestCluster(t, smallSettings())
	v.setKeeper(&v.instances[1])
	v.engine.mu.Lock()
	v.engine.keys["p-gone"] = 100
	v.engine.mu.Unlock()
	v.controllers[0].NotifyProgramEnded("p-gone")
	eventually(t, "the prefix is released", func() bool {
		v.engine.mu.Lock()
		defer v.engine.mu.Unlock()
		return len(v.engine.keys) == 0
	})
}

func TestRefusedRetryKeepsVerdictOfLastAttempt(t *testing.T) {
	is := is.New(t)
	v := newTestCluster(t, smallSettings())
	v.setKeeper(&v.instances[1])
	call := testCall("1")
	call.FailedEngines, call.PriorVerdict = []string{v.engine.addr}, verdict.MayHaveRun
	_, err := v.controllers[0].Admit(t.Context(), call)
	is.Equal(verdict.From(err).Reason, verdict.ReasonBackendFailed)
	is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
}

// TestPermitsAreConservedUnderBrokenStreams breaks about a third of the streams, cancels about a third of the waiting
// calls and changes the keeper halfway. Afterwards no call may be in flight or waiting.
func TestPermitsAreConservedUnderBrokenStreams(t *testing.T) {
	v := newTestCluster(t, smallSettings())
	v.setKeeper(&v.instances[1])
	r := rand.New(rand.NewSource(1))
	var wg sync.WaitGroup
	for i := range 150 {
		breakStream, cancelWait, from := r.Intn(3) == 0, r.Intn(3) == 0, r.Intn(2)
		wg.Go(func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if cancelWait {
				time.AfterFunc(time.Duration(i%20)*time.Millisecond, cancel)
			}
			p, err := v.controllers[from].Admit(ctx, testCall(strconv.Itoa(i)))
			if err != nil {
				return
			}
			p.RecordProgress()
			time.Sleep(time.Millisecond)
			if h, ok := p.source.(*remotePermit); ok && breakStream {
				h.cancel()
				return
			}
			p.Done(Outcome{Kind: framework.OK, PromptTokens: 100, CompletionTokens: 10})
		})
		if i == 75 {
			v.setKeeper(&v.instances[0])
		}
	}
	wg.Wait()
	eventually(t, "all permits are released", func() bool {
		n := 0
		for _, c := range v.controllers {
			for _, g := range c.allGroups() {
				for _, r := range g.runners() {
					r.mu.Lock()
					n += len(r.waiters) + len(r.granted) + r.group.QueueLength()
					for _, st := range r.group.Status(time.Now()) {
						n += st.InFlight
					}
					r.mu.Unlock()
				}
			}
		}
		return n == 0
	})
}
