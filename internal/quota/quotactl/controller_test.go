package quotactl

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	quotav1 "github.com/berylpond/berylpond/api/quota/v1"
	"github.com/berylpond/berylpond/internal/failpoint"
	"github.com/berylpond/berylpond/internal/member"
	"github.com/berylpond/berylpond/internal/quota"
	"github.com/berylpond/berylpond/internal/verdict"
)

// cellLeases is a fake of one data centre's shard leases.
type cellLeases struct {
	mu      sync.Mutex
	holders []member.Instance
	leases  []quota.Lease
}

func (p *cellLeases) set(shard int, in member.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holders[shard] = in
	p.leases[shard] = quota.Lease{Term: p.leases[shard].Term + termStep, PreviousTerm: p.leases[shard].Term}
}

type instanceLeases struct {
	*cellLeases
	id string
}

func (p instanceLeases) ShardCount() int { return len(p.holders) }

// termStep is the difference between consecutive terms. The terms of a real cell are far apart too.
const termStep = 1 << 40

func (p instanceLeases) Lease(shard int) (quota.Lease, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leases[shard], p.holders[shard].ID == p.id
}

func (p instanceLeases) Holder(shard int) (member.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holders[shard], p.holders[shard].ID != ""
}

// network connects instances over loopback and refuses connections to isolated addresses.
type network struct {
	mu       sync.Mutex
	conns    map[string]*grpc.ClientConn
	isolated map[string]bool
	bytes    *byteCount
}

func (n *network) Conn(addr string) (grpc.ClientConnInterface, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated[addr] {
		return nil, errors.New("address is isolated")
	}
	if c := n.conns[addr]; c != nil {
		return c, nil
	}
	opts := []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}
	if n.bytes != nil {
		opts = append(opts, grpc.WithContextDialer(n.bytes.dial))
	}
	c, err := grpc.NewClient(addr, opts...)
	if err == nil {
		n.conns[addr] = c
	}
	return c, err
}

type fleet struct {
	net   *network
	ctl   []*Controller
	self  []member.Instance
	cells map[string]*cellLeases
	// holderWait is Config.HolderWait of all instances.
	holderWait time.Duration
}

var testDCs = []string{"giza", "nasr", "shubra"}

// newFleet starts n serving instances, distributed over the data centres.
func newFleet(tb testing.TB, n int, timings quota.LoanTimings, limits []Limit) *fleet {
	return newFleetOn(tb, &network{conns: map[string]*grpc.ClientConn{}, isolated: map[string]bool{}}, n, timings, limits)
}

func newFleetOn(tb testing.TB, network *network, n int, timings quota.LoanTimings, limits []Limit) *fleet {
	return newWaitingFleet(tb, network, n, timings, limits, time.Nanosecond)
}

// newWaitingFleet starts a fleet whose takes wait for a holder for up to the given time.
func newWaitingFleet(tb testing.TB, network *network, n int, timings quota.LoanTimings, limits []Limit, wait time.Duration) *fleet {
	f := &fleet{net: network, cells: map[string]*cellLeases{}, holderWait: wait}
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	var listeners []net.Listener
	slots := map[string]int{}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		dc := testDCs[i%len(testDCs)]
		in := member.Instance{ID: dc + string(rune('a'+i)), DataCentre: dc, Slot: slots[dc], Incarnation: 1, PeerAddr: l.Addr().String()}
		slots[dc]++
		listeners, f.self = append(listeners, l), append(f.self, in)
	}
	for _, in := range f.self {
		p := f.cells[in.DataCentre]
		if p == nil {
			p = &cellLeases{}
			f.cells[in.DataCentre] = p
		}
		p.holders, p.leases = append(p.holders, in), append(p.leases, quota.Lease{Term: 1 << 43})
	}
	for i, in := range f.self {
		table := member.NewTable(in)
		for _, o := range f.self {
			table.Merge(o)
		}
		cfg := Config{HolderWait: f.holderWait, DataCentre: in.DataCentre, DataCentres: testDCs, Slot: in.Slot, Slots: slots[in.DataCentre], LoanTimings: timings, LendTimeout: 200 * time.Millisecond}
		c := New(cfg, table, instanceLeases{f.cells[in.DataCentre], in.ID}, f.net)
		c.SetLimits(1, limits)
		s := grpc.NewServer()
		c.Register(s)
		go func() { _ = s.Serve(listeners[i]) }()
		go func() { _ = c.Run(ctx) }()
		tb.Cleanup(s.Stop)
		f.ctl = append(f.ctl, c)
	}
	// Shares looks up the leases, so that all shards count as held from now on.
	for _, c := range f.ctl {
		c.Shares()
	}
	return f
}

// shortTimings let a new fleet fill its buckets within a second.
var shortTimings = quota.LoanTimings{ShortLoan: 400 * time.Millisecond, LongLoan: 600 * time.Millisecond, ClockMargin: 50 * time.Millisecond}

func TestBurstIsAvailableAtOneInstance(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 10, shortTimings, []Limit{{Account: "kiosk", Rate: 20, Burst: 5}})
	time.Sleep(1100 * time.Millisecond) // until the bucket is full
	for range 5 {
		is.NoErr(f.ctl[0].Take(context.Background(), "kiosk", 1))
	}
	is.Equal(f.ctl[0].Take(context.Background(), "unheard-of", 1).(*verdict.Error).Verdict, verdict.NotRun)
}

func TestSteadyArrivalsWithinRateAreNotRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const rate = 100
	f := newFleet(t, 10, shortTimings, []Limit{{Account: "kiosk", Rate: rate, Burst: 5}})
	time.Sleep(1100 * time.Millisecond)
	rng := rand.New(rand.NewPCG(1, 1))
	tick := time.NewTicker(time.Second * 100 / (95 * rate))
	defer tick.Stop()
	refused, total := 0, 300
	for i := range total {
		<-tick.C
		start := time.Now()
		if err := f.ctl[rng.IntN(len(f.ctl))].Take(context.Background(), "kiosk", 1); err != nil {
			t.Logf("take %d is refused after %v: %v", i, time.Since(start), err)
			refused++
		}
	}
	t.Logf("refused %d of %d", refused, total)
	is.Equal(refused, 0)
}

func TestOverRateIsRefusedWithRetryAfter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 6, shortTimings, []Limit{{Account: "kiosk", Rate: 1, Burst: 3}})
	for _, c := range f.ctl {
		err := c.Take(context.Background(), "kiosk", 1)
		ve := verdict.From(err)
		is.Equal(ve.Verdict, verdict.NotRun)
		is.Equal(ve.Reason, verdict.ReasonRateLimited)
		is.True(ve.RetryAfter > 0)
	}
}

func TestLostResponsesNeverAdmitMore(t *testing.T) {
	is := is.New(t)
	failpoint.Enable("quota.transfer.debited", failpoint.Action{Kind: "error", Times: 1 << 30})
	defer failpoint.Disable("quota.transfer.debited")
	const rate, burst = 30, 6
	start := time.Now()
	f := newFleet(t, 6, shortTimings, []Limit{{Account: "kiosk", Rate: rate, Burst: burst}})
	admitted := 0
	for time.Since(start) < 1500*time.Millisecond {
		for _, c := range f.ctl {
			if c.Take(context.Background(), "kiosk", 1) == nil {
				admitted++
			}
		}
	}
	is.True(admitted > 0)
	is.True(float64(admitted) <= burst+rate*time.Since(start).Seconds())
}

func TestLeaveHandsTokensOver(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 6, shortTimings, []Limit{{Account: "kiosk", Rate: 300, Burst: 300}})
	time.Sleep(1400 * time.Millisecond)
	cell := f.cells["giza"]
	shard := quota.ShardOf("kiosk", len(cell.holders))
	old, next := f.ctl[3*shard], f.ctl[3*(1-shard)]
	is.NoErr(old.Take(context.Background(), "kiosk", 30))
	level := old.Shares()[0].Level
	is.True(level > 20)
	is.NoErr(old.Leave(context.Background()))
	r := old.takeLocal(context.Background(), "kiosk", 1)
	is.Equal(r.outcome, quotav1.TakeResult_NOT_HOLDER) // after Leave nothing is admitted under the old lease
	cell.set(shard, f.self[3*(1-shard)])
	next.mu.Lock()
	_, a, held := next.account("kiosk")
	is.True(held)
	is.True(a.Level() > level-0.5)
	next.mu.Unlock()
}

func TestIsolatedDataCentreServesItsShare(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 6, shortTimings, []Limit{{Account: "kiosk", Rate: 30, Burst: 9}})
	f.net.mu.Lock()
	for _, in := range f.self {
		f.net.isolated[in.PeerAddr] = in.DataCentre != "giza"
	}
	f.net.mu.Unlock()
	time.Sleep(1100 * time.Millisecond)
	for range 3 {
		is.NoErr(f.ctl[0].Take(context.Background(), "kiosk", 1))
	}
}

func TestMissingHolderRefusesImmediately(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 3, shortTimings, []Limit{{Account: "kiosk", Rate: 30, Burst: 9}})
	f.cells["giza"].set(0, member.Instance{})
	ve := verdict.From(f.ctl[0].Take(context.Background(), "kiosk", 1))
	is.Equal(ve.Verdict, verdict.NotRun)
	is.Equal(ve.Reason, verdict.ReasonOwnerUnavailable)
}

func TestConcurrentTakesShareCalls(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 6, shortTimings, []Limit{{Account: "kiosk", Rate: 30000, Burst: 3000}})
	time.Sleep(1100 * time.Millisecond)
	shard := quota.ShardOf("kiosk", 2)
	remote := f.ctl[3*(1-shard)]
	var wg sync.WaitGroup
	for range 200 {
		wg.Go(func() { is.NoErr(remote.Take(context.Background(), "kiosk", 1)) })
	}
	wg.Wait()
}

func TestSilentHolderIsSkipped(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 6, shortTimings, []Limit{{Account: "kiosk", Rate: 30, Burst: 9}})
	shard := quota.ShardOf("kiosk", 2)
	f.net.mu.Lock()
	f.net.isolated[f.self[3*shard].PeerAddr] = true
	f.net.mu.Unlock()
	other := f.ctl[3*(1-shard)]
	for range 3 {
		ve := verdict.From(other.Take(context.Background(), "kiosk", 1))
		is.Equal(ve.Verdict, verdict.NotRun)
		is.Equal(ve.Reason, verdict.ReasonOwnerUnavailable)
	}
	_, err := other.batcher(f.self[3*shard].PeerAddr).take(context.Background(), nil)
	is.True(errors.Is(err, errSilentHolder))
}

func TestTakeAboveBurstFetchesNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 3, shortTimings, []Limit{{Account: "kiosk", Rate: 30, Burst: 9}})
	ve := verdict.From(f.ctl[0].Take(context.Background(), "kiosk", 10))
	is.Equal(ve.Reason, verdict.ReasonRateLimited)
	is.Equal(len(f.ctl[0].Shares()), 0)
}
