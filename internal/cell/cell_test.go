package cell

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	cellv1 "github.com/berylpond/berylpond/api/cell/v1"
	"github.com/berylpond/berylpond/internal/failpoint"
	"github.com/berylpond/berylpond/internal/invariant"
	"github.com/berylpond/berylpond/internal/member"
	"github.com/berylpond/berylpond/internal/verdict"
)

// waitTimeout limits the waits of a test. It does not affect a wait that ends in time.
const waitTimeout = 5 * time.Second

// testConns dials each address once and counts the bytes that it transfers.
type testConns struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
	bytes *atomic.Int64
}

func (d *testConns) Conn(addr string) (grpc.ClientConnInterface, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if conn, ok := d.conns[addr]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(d.dial))
	if err == nil {
		d.conns[addr] = conn
	}
	return conn, err
}

// dial opens a connection that counts the bytes that it transfers.
func (d *testConns) dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, bytes: d.bytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (d *testConns) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.conns {
		_ = conn.Close()
	}
}

// testSlot is one running Controller.
type testSlot struct {
	*Controller
	table  *member.Table
	conns  *testConns
	server *grpc.Server
	stop   context.CancelFunc
	done   chan struct{}
}

type testCell struct {
	tb    testing.TB
	cfg   Config
	slots []*testSlot
	bytes atomic.Int64
	// started is when the first slot started.
	started time.Time
}

func testConfig(slots int) Config {
	return Config{
		DataCentre: "giza", Slots: slots, Incarnation: 1, Lease: 400 * time.Millisecond, Margin: 40 * time.Millisecond,
		Heartbeat: 100 * time.Millisecond, ClaimWindow: time.Minute,
	}
}

// newTestCell starts a cell, whose voters abstain at first.
func newTestCell(tb testing.TB, cfg Config, opts ...func(slot int) Option) *testCell {
	invariant.PanicOnViolation(true)
	c := &testCell{tb: tb, started: time.Now(), cfg: cfg, slots: make([]*testSlot, cfg.Slots)}
	for i := range c.slots {
		var options []Option
		for _, o := range opts {
			options = append(options, o(i))
		}
		c.start(i, cfg.Incarnation, options...)
	}
	tb.Cleanup(func() {
		for _, s := range c.slots {
			s.kill()
		}
	})
	return c
}

func (c *testCell) start(slot int, incarnation uint64, opts ...Option) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.tb.Fatal(err)
	}
	cfg := c.cfg
	cfg.Slot, cfg.Incarnation = slot, incarnation
	in := member.Instance{ID: fmt.Sprint("giza-", slot), DataCentre: cfg.DataCentre, Slot: slot, Incarnation: incarnation, PeerAddr: lis.Addr().String()}
	s := &testSlot{table: member.NewTable(in), conns: &testConns{conns: map[string]*grpc.ClientConn{}, bytes: &c.bytes}, server: grpc.NewServer(), done: make(chan struct{})}
	for _, other := range c.slots {
		if other != nil {
			s.table.Merge(other.table.Self())
			other.table.Merge(in)
		}
	}
	s.Controller = New(cfg, s.table, s.conns, opts...)
	s.Register(s.server)
	var ctx context.Context
	ctx, s.stop = context.WithCancel(context.Background())
	go func() { _ = s.server.Serve(lis) }()
	go func() {
		defer close(s.done)
		_ = s.Run(ctx)
	}()
	c.slots[slot] = s
}

// kill stops the slot without a hand-over.
func (s *testSlot) kill() {
	s.stop()
	s.server.Stop()
	s.conns.close()
	<-s.done
}

// eventually waits for a condition and returns the time that it took.
func (c *testCell) eventually(what string, ok func() bool) time.Duration {
	c.tb.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > waitTimeout {
			c.tb.Fatalf("not within %v: %s", waitTimeout, what)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(start)
}

func (c *testCell) holds(slot, shard int) func() bool {
	return func() bool {
		_, ok := c.slots[slot].HeldGrant(shard)
		return ok
	}
}

// awaitReady waits until every slot holds its shard and votes.
func (c *testCell) awaitReady() {
	for i := range c.slots {
		c.eventually("each slot holds its shard", c.holds(i, i))
		c.eventually("each slot votes", func() bool { return c.slots[i].EndAbstention(time.Now()) })
	}
}

func TestShardFailsOverWhenHolderStops(t *testing.T) {
	is := is.New(t)
	c := newTestCell(t, testConfig(3))
	c.awaitReady()
	heldChanges := make(chan []int, 8)
	c.slots[2].OnHeldChange(func(held []int) { heldChanges <- held })
	c.eventually("every slot's acceptor knows the previous terms",
		func() bool { return time.Since(c.started) > 3*(c.cfg.Lease+c.cfg.Margin) })
	before, _ := c.slots[1].HeldGrant(1)
	c.slots[1].kill()
	took := c.eventually("slot 2 takes over shard 1", c.holds(2, 1))
	t.Logf("taken over after %v; lease+margin+heartbeat is %v", took, c.cfg.Lease+c.cfg.Margin+c.cfg.Heartbeat)
	after, _ := c.slots[2].HeldGrant(1)
	is.True(after.Term > before.Term)
	is.Equal(after.PreviousTerm, before.Term)
	is.Equal(<-heldChanges, []int{1, 2})
	c.eventually("slot 0 knows the holder", func() bool {
		in, ok := c.slots[0].LikelyHolder(1)
		return ok && in.ID == "giza-2"
	})
	c.start(1, 2)
	c.eventually("slot 1 gets its shard back", c.holds(1, 1))
	is.True(!c.holds(2, 1)())
}

func TestLeaveHandsOverShardsAndClaims(t *testing.T) {
	is := is.New(t)
	c := newTestCell(t, testConfig(3))
	c.awaitReady()
	ctx := context.Background()
	_, err := c.slots[0].Claim(ctx, "before")
	is.NoErr(err)
	_, err = c.slots[1].Claim(ctx, "own")
	is.NoErr(err)
	start := time.Now()
	is.NoErr(c.slots[1].Leave(ctx))
	c.eventually("slot 2 takes over shard 1", c.holds(2, 1))
	t.Logf("handed over after %v", time.Since(start))
	_, err = c.slots[1].Claim(ctx, "late")
	is.Equal(verdict.From(err).Reason, verdict.ReasonShuttingDown)
	c.slots[1].kill()
	c.start(1, 2, WithPredecessor(1))
	c.eventually("the claim table is imported", func() bool { return !c.slots[1].voterAbstains() })
	c.slots[0].kill() // slots 1 and 2 form the majority now
	c.eventually("standing", c.slots[1].HasQuorum)
	_, err = c.slots[1].Claim(ctx, "before")
	var dup *DuplicateError
	is.True(errors.As(err, &dup))
	_, err = c.slots[1].Claim(ctx, "own") // the predecessor's claim
	is.True(errors.As(err, &dup))
	_, err = c.slots[1].Claim(ctx, "new")
	is.NoErr(err)
}

func TestClaimIsGrantedOnce(t *testing.T) {
	is := is.New(t)
	c := newTestCell(t, testConfig(3))
	c.awaitReady()
	ctx := context.Background()
	for i := range 20 {
		var won atomic.Int32
		var all sync.WaitGroup
		for _, s := range c.slots {
			all.Go(func() {
				if _, err := s.Claim(ctx, fmt.Sprint("id", i)); err == nil {
					won.Add(1)
				} else if r := verdict.From(err).Reason; r != verdict.ReasonDuplicate && r != verdict.ReasonClaimUnavailable {
					t.Errorf("unexpected refusal: %v", err)
				}
			})
		}
		all.Wait()
		is.True(won.Load() <= 1)
	}
	cl, err := c.slots[0].Claim(ctx, "settled")
	is.NoErr(err)
	is.True(cl.Valid())
	cl.Settle(ctx, []byte("ref"))
	cl.Withdraw(ctx) // no effect after Settle, even before the other slots have received the outcome
	_, err = c.slots[1].Claim(ctx, "settled")
	is.Equal(verdict.From(err).Reason, verdict.ReasonDuplicate)
	cl.MarkDurable()
	c.eventually("other slots receive the outcome", func() bool {
		_, err := c.slots[2].Claim(ctx, "settled")
		var dup *DuplicateError
		return errors.As(err, &dup) && dup.Settled && string(dup.Outcome) == "ref" && verdict.From(err).Verdict == verdict.Ran
	})
	cl, err = c.slots[0].Claim(ctx, "withdrawn")
	is.NoErr(err)
	cl.Withdraw(ctx)
	is.True(!cl.Valid())
	_, err = c.slots[1].Claim(ctx, "withdrawn")
	is.NoErr(err)
}

func TestVotersAbstainAfterStart(t *testing.T) {
	is := is.New(t)
	c := newTestCell(t, testConfig(3))
	c.eventually("standing", c.slots[0].HasQuorum)
	is.True(!c.slots[0].EndAbstention(time.Now().Add(time.Hour))) // a read of the log can't end in the future
	_, err := c.slots[0].Claim(context.Background(), "a")
	is.Equal(verdict.From(err).Reason, verdict.ReasonClaimUnavailable)
	is.Equal(verdict.From(err).Verdict, verdict.NotRun)
}

func TestNoMajority(t *testing.T) {
	is := is.New(t)
	c := newTestCell(t, testConfig(3))
	c.awaitReady()
	c.slots[1].kill()
	c.slots[2].kill()
	c.eventually("the quorum is lost", func() bool { return !c.slots[0].HasQuorum() })
	c.eventually("the shard is lost", func() bool { return !c.holds(0, 0)() })
	_, err := c.slots[0].Claim(context.Background(), "a")
	v := verdict.From(err)
	is.Equal(v.Reason, verdict.ReasonClaimUnavailable)
	is.Equal(v.Verdict, verdict.NotRun)
	is.True(v.RetryAfter > 0)
}

func TestUnwithdrawnVotesBlockTheID(t *testing.T) {
	is := is.New(t)
	c := newTestCell(t, testConfig(3))
	c.awaitReady()
	failpoint.Enable("claim.vote.after", failpoint.Action{Kind: "error"})
	failpoint.Enable("claim.withdraw.before", failpoint.Action{Kind: "error"})
	defer failpoint.Disable("claim.vote.after")
	defer failpoint.Disable("claim.withdraw.before")
	_, err := c.slots[0].Claim(context.Background(), "a")
	is.Equal(verdict.From(err).Verdict, verdict.NotRun)
	_, err = c.slots[1].Claim(context.Background(), "a")
	is.Equal(verdict.From(err).Reason, verdict.ReasonDuplicate) // the remaining votes block the id
}

func TestSingleSlot(t *testing.T) {
	c := newTestCell(t, testConfig(1))
	c.awaitReady()
	_, err := c.slots[0].Claim(context.Background(), "a")
	is.New(t).NoErr(err)
}

func TestForeignAndStaleSendersAreRejected(t *testing.T) {
	is := is.New(t)
	c := newTestCell(t, testConfig(3))
	c.awaitReady()
	client, err := c.slots[0].client(1)
	is.NoErr(err)
	req := &cellv1.ExchangeRequest{Sender: ownerProto(c.slots[0].self)}
	req.DataCentre = "nasr"
	_, err = client.Exchange(context.Background(), req)
	is.True(err != nil)
	req.DataCentre, req.Sender.Incarnation = "giza", 0
	_, err = client.Exchange(context.Background(), req)
	is.True(err != nil)
}
