package config

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
	"github.com/berylpond/berylpond/internal/document"
	"github.com/berylpond/berylpond/internal/failpoint"
	"github.com/berylpond/berylpond/internal/invariant"
	"github.com/berylpond/berylpond/internal/member"
	"github.com/berylpond/berylpond/internal/verdict"
)

var errUnavailable = errors.New("the log is unavailable")

// fakeLog is an in-memory log with injectable faults.
type fakeLog struct {
	mu          sync.Mutex
	records     [][]byte
	appended    chan struct{}
	unavailable atomic.Bool
	// unreadable makes reads fail while appends work.
	unreadable atomic.Bool
	// lostResponses is the number of next appends that take effect but return an error (lost response).
	lostResponses atomic.Int64
}

func newFakeLog() *fakeLog { return &fakeLog{appended: make(chan struct{})} }

func (l *fakeLog) Append(_ context.Context, _ string, records [][]byte) (int64, error) {
	if l.unavailable.Load() {
		return 0, errUnavailable
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	first := int64(len(l.records))
	l.records = append(l.records, records...)
	close(l.appended)
	l.appended = make(chan struct{})
	if l.lostResponses.Add(-1) >= 0 {
		return 0, errors.New("response lost")
	}
	return first, nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from int64, max int, wait time.Duration) (Page, error) {
	if l.unavailable.Load() || l.unreadable.Load() {
		return Page{}, errUnavailable
	}
	l.mu.Lock()
	appended := l.appended
	empty := from >= int64(len(l.records))
	l.mu.Unlock()
	if empty && wait > 0 {
		select {
		case <-appended:
		case <-time.After(wait):
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	page := Page{End: int64(len(l.records))}
	for o := from; o < page.End && len(page.Records) < max; o++ {
		page.Records = append(page.Records, Record{Offset: o, Data: l.records[o]})
	}
	return page, nil
}

func (l *fakeLog) all() [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records
}

// network connects controllers by direct calls. It counts calls and message bytes.
type network struct {
	mu       sync.Mutex
	nodes    map[string]*Controller
	isolated map[string]bool
	calls    atomic.Int64
	bytes    atomic.Int64
}

func newNetwork() *network {
	return &network{nodes: map[string]*Controller{}, isolated: map[string]bool{}}
}

type networkDialer struct {
	n    *network
	from string
}

func (d networkDialer) Conn(addr string) (grpc.ClientConnInterface, error) {
	return networkConn{n: d.n, from: d.from, to: addr}, nil
}

type networkConn struct {
	n        *network
	from, to string
}

func (c networkConn) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, errors.ErrUnsupported
}

func (c networkConn) Invoke(ctx context.Context, method string, args, reply any, _ ...grpc.CallOption) error {
	c.n.mu.Lock()
	node := c.n.nodes[c.to]
	unreachable := c.n.isolated[c.to] || c.n.isolated[c.from]
	c.n.mu.Unlock()
	if unreachable || node == nil {
		return errors.New("unreachable")
	}
	var resp proto.Message
	var err error
	switch method {
	case configv1.Peer_Push_FullMethodName:
		resp, err = peerServer{c: node}.Push(ctx, proto.Clone(args.(proto.Message)).(*configv1.PushRequest))
	case configv1.Peer_Reconcile_FullMethodName:
		resp, err = peerServer{c: node}.Reconcile(ctx, proto.Clone(args.(proto.Message)).(*configv1.ReconcileRequest))
	}
	if err != nil {
		return err
	}
	proto.Merge(reply.(proto.Message), resp)
	c.n.calls.Add(1)
	c.n.bytes.Add(int64(proto.Size(args.(proto.Message)) + proto.Size(resp)))
	return nil
}

// newControllers returns n controllers of one data centre whose membership tables list all of them.
func newControllers(n int, log Log, cfg Config) (*network, []*Controller) {
	net := newNetwork()
	var all []member.Instance
	for i := range n {
		id := fmt.Sprint("giza-", i)
		all = append(all, member.Instance{ID: id, DataCentre: "giza", Slot: i, PeerAddr: id, Incarnation: 1})
	}
	var out []*Controller
	for _, self := range all {
		table := member.NewTable(self)
		for _, in := range all {
			table.Merge(in)
		}
		c := New(cfg, table, networkDialer{n: net, from: self.PeerAddr}, log)
		net.nodes[self.PeerAddr] = c
		out = append(out, c)
	}
	return net, out
}

func runControllers(t *testing.T, cs ...*Controller) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, c := range cs {
		wg.Go(func() { _ = c.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
}

func fastConfig() Config {
	return Config{ReconcileInterval: 10 * time.Millisecond, PollInterval: 50 * time.Millisecond,
		LongPollTimeout: 50 * time.Millisecond,
		ApplyTimeout:    5 * time.Second}
}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("not reached: %s", what)
}

func onAll(cs []*Controller, cond func(*Snapshot) bool) func() bool {
	return func() bool {
		for _, c := range cs {
			if s := c.Snapshot(); s == nil || !cond(s) {
				return false
			}
		}
		return true
	}
}

func exampleDocument(t testing.TB) []byte {
	data, err := os.ReadFile("../../examples/nile-current.toml")
	if err != nil {
		t.Fatal(err)
	}
	return slices.Clip(data)
}

const nile = "nile-current"

func TestOneOfConcurrentEditsIsAccepted(t *testing.T) {
	is := is.New(t)
	invariant.PanicOnViolation(true)
	defer invariant.PanicOnViolation(false)
	_, cs := newControllers(5, newFakeLog(), fastConfig())
	runControllers(t, cs...)
	doc := exampleDocument(t)
	errs := make([]error, len(cs))
	versions := make([]uint64, len(cs))
	var wg sync.WaitGroup
	for i, c := range cs {
		wg.Go(func() {
			versions[i], errs[i] = c.Apply(context.Background(), nile, 0, append(doc, "# "+fmt.Sprint(i)+"\n"...), fmt.Sprint("op", i))
		})
	}
	wg.Wait()
	winner := -1
	for i, err := range errs {
		if err == nil {
			is.Equal(winner, -1) // only one wins
			winner = i
		}
	}
	is.True(winner >= 0)
	for i, err := range errs {
		var conflict *ConflictError
		if i != winner {
			is.True(errors.As(err, &conflict))
			is.Equal(conflict.Author, fmt.Sprint("op", winner))
			is.Equal(conflict.Version, versions[winner])
			is.Equal(verdict.From(err).Reason, verdict.ReasonVersionConflict)
		}
	}
	eventually(t, "one version everywhere", onAll(cs, func(s *Snapshot) bool { return s.Version(nile) == versions[winner] }))
}

func TestLostAppendResponseIsResolvedFromLog(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	_, cs := newControllers(3, log, fastConfig())
	runControllers(t, cs...)
	doc := exampleDocument(t)
	log.lostResponses.Store(2)
	v, err := cs[0].Apply(context.Background(), nile, 0, doc, "op")
	is.NoErr(err)
	is.Equal(len(cs[0].History(nile)), 1) // accepted once, although the log holds several records of it
	failpoint.Enable(failpointApplyAfter, failpoint.Action{Kind: "error"})
	defer failpoint.Disable(failpointApplyAfter)
	v2, err := cs[1].Apply(context.Background(), nile, v, append(doc, '\n'), "op")
	is.NoErr(err)
	is.True(v2 > v)
	eventually(t, "second version everywhere", onAll(cs, func(s *Snapshot) bool { return s.Version(nile) == v2 }))
}

// The append is retried because its response is lost and the log can't be read. The edit must be accepted once, and
// Apply must not report a conflict of the retry with the first record.
func TestRetriedAppendDoesNotConflictWithItself(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	cfg := fastConfig()
	cfg.LongPollTimeout = time.Millisecond
	_, cs := newControllers(1, log, cfg)
	runControllers(t, cs...)
	log.unreadable.Store(true)
	time.Sleep(10 * time.Millisecond) // let the read in progress end
	log.lostResponses.Store(1)
	go func() {
		for len(log.all()) < 2 {
			time.Sleep(time.Millisecond)
		}
		log.unreadable.Store(false)
	}()
	v, err := cs[0].Apply(context.Background(), nile, 0, exampleDocument(t), "op")
	is.NoErr(err)
	is.Equal(v, uint64(1))
	is.Equal(len(cs[0].History(nile)), 1)
}

func TestApplyWithoutLogMayHaveRun(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	log.unavailable.Store(true)
	cfg := fastConfig()
	cfg.ApplyTimeout = 50 * time.Millisecond
	_, cs := newControllers(1, log, cfg)
	runControllers(t, cs...)
	_, err := cs[0].Apply(context.Background(), nile, 0, exampleDocument(t), "op")
	is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
	is.Equal(verdict.From(err).Reason, verdict.ReasonPlatformUnavailable)
	_, err = cs[0].Apply(context.Background(), nile, 0, []byte("team = 1"), "op")
	var ps document.Problems
	is.True(errors.As(err, &ps))
}

func TestStartAndWithdrawWhileLogIsUnavailable(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	_, cs := newControllers(4, log, fastConfig())
	runControllers(t, cs[:3]...)
	key, hashed, err := document.NewKey()
	is.NoErr(err)
	doc := append(exampleDocument(t), fmt.Sprintf("\n[[account]]\nname=\"new\"\nrate=1\nkeys=[{id=%q,salt=%q,hash=%q}]\n",
		hashed.ID, hashed.Salt, hashed.Hash)...)
	_, err = cs[0].Apply(context.Background(), nile, 0, doc, "op")
	is.NoErr(err)
	eventually(t, "document everywhere", onAll(cs[:3], func(s *Snapshot) bool { return s.IsKeyValid(nile, hashed.ID) }))
	acc, refusal := cs[2].Snapshot().Authenticate("Bearer " + key)
	is.True(refusal == nil)
	is.Equal(acc.Name, "new")

	log.unavailable.Store(true)
	runControllers(t, cs[3]) // a new instance gets its configuration from the others
	eventually(t, "new instance is configured", onAll(cs, func(s *Snapshot) bool { return s.IsKeyValid(nile, hashed.ID) }))
	is.NoErr(cs[3].Withdraw(context.Background(), nile, hashed.ID))
	is.NoErr(cs[1].SetBackendDrain(context.Background(), "10.0.0.1:80", true))
	eventually(t, "withdrawn and drained everywhere", onAll(cs, func(s *Snapshot) bool {
		return !s.IsKeyValid(nile, hashed.ID) && s.IsDrained("10.0.0.1:80")
	}))
	_, refusal = cs[0].Snapshot().Authenticate("Bearer " + key)
	is.Equal(refusal.Reason, verdict.ReasonKeyWithdrawn)

	log.unavailable.Store(false)
	eventually(t, "withdrawal is in the log", func() bool {
		replayed := NewState()
		page, _ := log.Read(context.Background(), Stream, 0, 100, 0)
		for _, r := range page.Records {
			replayed.Apply(uint64(r.Offset), cs[0].decode(r))
		}
		return replayed.WithdrawnKeys(nile)[hashed.ID] && replayed.DrainedBackends()["10.0.0.1:80"]
	})
}

// The instance that accepted a withdrawal and a drain fails before the log is available again. Another instance must
// append both.
func TestWithdrawalIsLoggedAfterItsInstanceFails(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	cfg := fastConfig()
	cfg.RepublishAge = 200 * time.Millisecond
	net, cs := newControllers(3, log, cfg)
	runControllers(t, cs[1:]...)
	_, err := cs[1].Apply(context.Background(), nile, 0, exampleDocument(t), "op")
	is.NoErr(err)
	log.unavailable.Store(true)
	is.NoErr(cs[0].Withdraw(context.Background(), nile, "k1")) // cs[0] is not running, so it never appends
	is.NoErr(cs[0].SetBackendDrain(context.Background(), "10.0.0.1:80", true))
	is.NoErr(cs[0].reconcile(context.Background(), cs[1].table.Self().PeerAddr))
	net.mu.Lock()
	delete(net.nodes, cs[0].table.Self().PeerAddr)
	net.mu.Unlock()
	log.unavailable.Store(false)
	eventually(t, "withdrawal and drain are in the log", func() bool {
		for _, data := range log.all() {
			if cs[1].decode(Record{Data: data}).GetWithdrawal().GetKeyId() == "k1" { // its own record, not a copy
				s, _ := readAll(log, cs[1])
				return s.DrainedBackends()["10.0.0.1:80"]
			}
		}
		return false
	})
}

func TestLiveStateIsRepublished(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	cfg := fastConfig()
	cfg.RepublishAge = 50 * time.Millisecond
	_, cs := newControllers(3, log, cfg)
	runControllers(t, cs...)
	v, err := cs[0].Apply(context.Background(), nile, 0, exampleDocument(t), "op")
	is.NoErr(err)
	eventually(t, "a copy is in the log", func() bool {
		page, _ := log.Read(context.Background(), Stream, 0, 100, 0)
		for _, r := range page.Records {
			if st := cs[0].decode(r).GetCopy().GetState(); st.GetVersion() == v && st.Exact {
				return true
			}
		}
		return false
	})
}

func TestListenersSeeIncreasingVersions(t *testing.T) {
	is := is.New(t)
	_, cs := newControllers(2, newFakeLog(), fastConfig())
	var mu sync.Mutex
	var seen []uint64
	cs[1].OnChange(func(s *Snapshot) {
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, s.Version(nile))
	})
	runControllers(t, cs...)
	doc := exampleDocument(t)
	var v uint64
	for range 5 {
		var err error
		doc = append(doc, '\n')
		v, err = cs[0].Apply(context.Background(), nile, v, doc, "op")
		is.NoErr(err)
	}
	eventually(t, "last version", onAll(cs, func(s *Snapshot) bool { return s.Version(nile) == v }))
	mu.Lock()
	defer mu.Unlock()
	for i := 1; i < len(seen); i++ {
		is.True(seen[i-1] <= seen[i])
	}
}
