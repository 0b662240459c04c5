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

// fakeParts gives every part to one holder.
type fakeParts struct {
	mu     sync.Mutex
	self   string
	holder *member.Instance
}

func (p *fakeParts) Parts() int { return 4 }

func (p *fakeParts) Holds(int) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1, p.holder != nil && p.holder.ID == p.self
}

func (p *fakeParts) Holder(int) (member.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holder == nil {
		return member.Instance{}, false
	}
	return *p.holder, true
}

func (p *fakeParts) set(in *member.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holder = in
}

type fakeDialer struct{ t *testing.T }

func (d fakeDialer) Conn(addr string) (grpc.ClientConnInterface, error) {
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err == nil {
		d.t.Cleanup(func() { _ = conn.Close() })
	}
	return conn, err
}

// fakeEngine answers polls and records what it was told to free.
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

// site is two instances on loopback.
type site struct {
	parts  [2]*fakeParts
	ctrl   [2]*Controller
	server [2]*grpc.Server
	in     [2]member.Instance
	engine *fakeEngine
}

func newSite(t *testing.T, s framework.Settings) *site {
	t.Helper()
	v := &site{engine: newFakeEngine(t)}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i, id := range []string{"giza-1", "giza-2"} {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		v.in[i] = member.Instance{ID: id, DataCentre: "giza", Slot: i, PeerAddr: lis.Addr().String()}
		v.parts[i] = &fakeParts{self: id}
		cfg := Config{
			DataCentre: "giza", Settings: &s, AdmitTimeout: time.Second,
			LoadInterval: 20 * time.Millisecond, EventsInterval: 20 * time.Millisecond, KeysInterval: 20 * time.Millisecond,
		}
		v.ctrl[i] = New(cfg, member.NewTable(v.in[i]), v.parts[i], fakeDialer{t})
		v.ctrl[i].SetModels([]Group{{Team: "nile", Model: "m", Engines: []string{v.engine.addr}}})
		v.server[i] = grpc.NewServer()
		v.ctrl[i].Register(v.server[i])
		wg.Add(2)
		go func() { defer wg.Done(); _ = v.server[i].Serve(lis) }()
		go func() { defer wg.Done(); _ = v.ctrl[i].Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		v.server[0].Stop()
		v.server[1].Stop()
		wg.Wait()
	})
	return v
}

func (v *site) keeper(in *member.Instance) {
	v.parts[0].set(in)
	v.parts[1].set(in)
}

func testCall(id string) Call {
	return Call{Team: "nile", Model: "m", Call: framework.Call{
		ID: id, Program: "p-" + id, Account: "a", NewTokens: 100, ExpectedOutput: 10,
	}}
}

func smallSettings() framework.Settings {
	s := framework.Defaults(framework.Berylpond)
	s.InitialConcurrency, s.MaxConcurrency = 2, 2
	return s
}

func (v *site) inFlight(i int) int {
	n := 0
	for _, st := range v.ctrl[i].Status() {
		n += st.InFlight
	}
	return n
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 500 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("never: %s", what)
}

func TestAdmitWays(t *testing.T) {
	for _, tt := range []struct {
		name   string
		holder int
	}{{"local", 0}, {"remote", 1}, {"holder unknown", -1}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := newSite(t, smallSettings())
			if tt.holder >= 0 {
				v.keeper(&v.in[tt.holder])
			}
			p, err := v.ctrl[0].Admit(t.Context(), testCall("1"))
			is.NoErr(err)
			is.Equal(p.Engine, v.engine.addr)
			at := max(0, tt.holder)
			is.Equal(v.inFlight(at), 1)
			p.Progress()
			p.Done(Outcome{Kind: framework.OK, PromptTokens: 100, CompletionTokens: 10})
			p.Done(Outcome{Kind: framework.OK})
			eventually(t, "the permit is freed", func() bool { return v.inFlight(at) == 0 })
		})
	}
}

func TestBrokenStreamFreesPermit(t *testing.T) {
	is := is.New(t)
	v := newSite(t, smallSettings())
	v.keeper(&v.in[1])
	p, err := v.ctrl[0].Admit(t.Context(), testCall("1"))
	is.NoErr(err)
	is.Equal(v.inFlight(1), 1)
	p.holder.(*remoteHolder).cancel()
	eventually(t, "the permit is freed", func() bool { return v.inFlight(1) == 0 })
}

func TestUnreachableKeeperIsServedDegraded(t *testing.T) {
	is := is.New(t)
	v := newSite(t, smallSettings())
	v.keeper(&v.in[1])
	v.server[1].Stop()
	p, err := v.ctrl[0].Admit(t.Context(), testCall("1"))
	is.NoErr(err)
	is.Equal(v.inFlight(0), 1)
	p.Done(Outcome{Kind: framework.OK})
	is.Equal(v.inFlight(0), 0)
}

func TestQueuedCallFollowsTheKeeper(t *testing.T) {
	is := is.New(t)
	v := newSite(t, smallSettings())
	v.keeper(&v.in[1])
	var first []*Permit
	for _, id := range []string{"1", "2"} {
		p, err := v.ctrl[1].Admit(t.Context(), testCall(id))
		is.NoErr(err)
		first = append(first, p)
	}
	got := make(chan error, 1)
	go func() {
		_, err := v.ctrl[0].Admit(t.Context(), testCall("3"))
		got <- err
	}()
	eventually(t, "the call is queued", func() bool {
		r := v.ctrl[1].group(groupKey{"nile", "m"}).kept
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.group.Queued() == 1
	})
	v.keeper(&v.in[0])
	is.NoErr(<-got)
	is.Equal(v.inFlight(0), 1)
	for _, p := range first {
		p.Done(Outcome{Kind: framework.OK})
	}
}

func TestCancelledCallLeavesTheQueue(t *testing.T) {
	is := is.New(t)
	v := newSite(t, smallSettings())
	v.keeper(&v.in[1])
	for _, id := range []string{"1", "2"} {
		_, err := v.ctrl[0].Admit(t.Context(), testCall(id))
		is.NoErr(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := v.ctrl[0].Admit(ctx, testCall("3"))
	is.Equal(verdict.From(err).Verdict, verdict.NotRun)
	is.Equal(verdict.From(err).Reason, verdict.ReasonDeadline)
	eventually(t, "the queue is empty", func() bool {
		r := v.ctrl[1].group(groupKey{"nile", "m"}).kept
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.group.Queued() == 0 && len(r.waiters) == 0
	})
}

func TestFailpointAfterGrantFreesPermit(t *testing.T) {
	is := is.New(t)
	v := newSite(t, smallSettings())
	v.keeper(&v.in[0])
	failpoint.Enable("keeper.grant.after", failpoint.Action{Kind: "error"})
	defer failpoint.Disable("keeper.grant.after")
	_, err := v.ctrl[0].Admit(t.Context(), testCall("1"))
	is.Equal(verdict.From(err).Verdict, verdict.NotRun)
	is.Equal(v.inFlight(0), 0)
}

func TestUnknownModelIsRefused(t *testing.T) {
	is := is.New(t)
	v := newSite(t, smallSettings())
	call := testCall("1")
	call.Model = "other"
	_, err := v.ctrl[0].Admit(t.Context(), call)
	is.Equal(verdict.From(err).Reason, verdict.ReasonUnknownModel)
	is.Equal(verdict.From(err).Verdict, verdict.NotRun)
}

func TestEndedProgramIsFreedOnTheEngine(t *testing.T) {
	v := newSite(t, smallSettings())
	v.keeper(&v.in[1])
	v.engine.mu.Lock()
	v.engine.keys["p-gone"] = 100
	v.engine.mu.Unlock()
	v.ctrl[0].ProgramEnded("p-gone")
	eventually(t, "the prefix is freed", func() bool {
		v.engine.mu.Lock()
		defer v.engine.mu.Unlock()
		return len(v.engine.keys) == 0
	})
}

func TestRetryKeepsTheVerdictOfTheFirstAttempt(t *testing.T) {
	is := is.New(t)
	v := newSite(t, smallSettings())
	v.keeper(&v.in[1])
	call := testCall("1")
	call.Avoid, call.Prior = []string{v.engine.addr}, verdict.MayHaveRun
	_, err := v.ctrl[0].Admit(t.Context(), call)
	is.Equal(verdict.From(err).Reason, verdict.ReasonBackendFailed)
	is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
}

// TestPermitsAreConservedUnderBrokenStreams breaks a third of the streams, cancels a third of the waits and changes
// the keeper meanwhile. At the end nothing is in flight and nothing waits.
func TestPermitsAreConservedUnderBrokenStreams(t *testing.T) {
	v := newSite(t, smallSettings())
	v.keeper(&v.in[1])
	r := rand.New(rand.NewSource(1))
	var wg sync.WaitGroup
	for i := range 150 {
		breaks, gives, from := r.Intn(3) == 0, r.Intn(3) == 0, r.Intn(2)
		wg.Go(func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if gives {
				time.AfterFunc(time.Duration(i%20)*time.Millisecond, cancel)
			}
			p, err := v.ctrl[from].Admit(ctx, testCall(strconv.Itoa(i)))
			if err != nil {
				return
			}
			p.Progress()
			time.Sleep(time.Millisecond)
			if h, ok := p.holder.(*remoteHolder); ok && breaks {
				h.cancel()
				return
			}
			p.Done(Outcome{Kind: framework.OK, PromptTokens: 100, CompletionTokens: 10})
		})
		if i == 75 {
			v.keeper(&v.in[0])
		}
	}
	wg.Wait()
	eventually(t, "all permits are freed", func() bool {
		n := 0
		for _, c := range v.ctrl {
			for _, g := range c.allGroups() {
				for _, r := range g.runners() {
					r.mu.Lock()
					n += len(r.waiters) + len(r.granted) + r.group.Queued()
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
