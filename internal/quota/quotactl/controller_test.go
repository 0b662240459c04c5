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

// cellParts is a stub of one data centre's leases.
type cellParts struct {
	mu      sync.Mutex
	holders []member.Instance
	leases  []quota.Lease
}

func (p *cellParts) set(part int, in member.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holders[part] = in
	p.leases[part] = quota.Lease{Term: p.leases[part].Term + termStep, Previous: p.leases[part].Term}
}

type instanceParts struct {
	*cellParts
	id string
}

func (p instanceParts) Parts() int { return len(p.holders) }

// termStep is the distance of two terms in a row; those of a cell are far apart.
const termStep = 1 << 40

func (p instanceParts) Lease(part int) (quota.Lease, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leases[part], p.holders[part].ID == p.id
}

func (p instanceParts) Holder(part int) (member.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holders[part], p.holders[part].ID != ""
}

// network dials over loopback; cut addresses are refused.
type network struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
	cut   map[string]bool
	bytes *byteCount
}

func (n *network) Conn(addr string) (grpc.ClientConnInterface, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[addr] {
		return nil, errors.New("cut off")
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
	cells map[string]*cellParts
	// holderWait is that of all instances.
	holderWait time.Duration
}

var testDCs = []string{"giza", "nasr", "shubra"}

// newFleet starts n instances over the data centres, all of them serving.
func newFleet(tb testing.TB, n int, terms quota.Terms, limits []Limit) *fleet {
	return newFleetOn(tb, &network{conns: map[string]*grpc.ClientConn{}, cut: map[string]bool{}}, n, terms, limits)
}

func newFleetOn(tb testing.TB, network *network, n int, terms quota.Terms, limits []Limit) *fleet {
	return newWaitingFleet(tb, network, n, terms, limits, time.Nanosecond)
}

// newWaitingFleet starts a fleet whose takes wait for a holder.
func newWaitingFleet(tb testing.TB, network *network, n int, terms quota.Terms, limits []Limit, wait time.Duration) *fleet {
	f := &fleet{net: network, cells: map[string]*cellParts{}, holderWait: wait}
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
			p = &cellParts{}
			f.cells[in.DataCentre] = p
		}
		p.holders, p.leases = append(p.holders, in), append(p.leases, quota.Lease{Term: 1 << 43})
	}
	for i, in := range f.self {
		table := member.NewTable(in)
		for _, o := range f.self {
			table.Merge(o)
		}
		cfg := Config{HolderWait: f.holderWait, DataCentre: in.DataCentre, DataCentres: testDCs, Slot: in.Slot, Slots: slots[in.DataCentre], Terms: terms, LendTimeout: 200 * time.Millisecond}
		c := New(cfg, table, instanceParts{f.cells[in.DataCentre], in.ID}, f.net)
		c.SetLimits(1, limits)
		s := grpc.NewServer()
		c.Register(s)
		go func() { _ = s.Serve(listeners[i]) }()
		go func() { _ = c.Run(ctx) }()
		tb.Cleanup(s.Stop)
		f.ctl = append(f.ctl, c)
	}
	// Shares() looks at the leases, so that all parts are held from now on.
	for _, c := range f.ctl {
		c.Shares()
	}
	return f
}

// quickTerms let a new fleet fill its buckets within a second.
var quickTerms = quota.Terms{Transfer: 400 * time.Millisecond, Loan: 600 * time.Millisecond, Margin: 50 * time.Millisecond}

func TestSmallBurstArrivesAtOneInstance(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 10, quickTerms, []Limit{{Account: "kiosk", Rate: 20, Burst: 5}})
	time.Sleep(1100 * time.Millisecond) // fills the bucket
	for range 5 {
		is.NoErr(f.ctl[0].Take(context.Background(), "kiosk", 1))
	}
	is.Equal(f.ctl[0].Take(context.Background(), "unheard-of", 1).(*verdict.Error).Verdict, verdict.NotRun)
}

func TestSteadyArrivalsWithinRateAreNotRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const rate = 100
	f := newFleet(t, 10, quickTerms, []Limit{{Account: "kiosk", Rate: rate, Burst: 5}})
	time.Sleep(1100 * time.Millisecond)
	rng := rand.New(rand.NewPCG(1, 1))
	tick := time.NewTicker(time.Second * 100 / (95 * rate))
	defer tick.Stop()
	refused, total := 0, 300
	for range total {
		<-tick.C
		if f.ctl[rng.IntN(len(f.ctl))].Take(context.Background(), "kiosk", 1) != nil {
			refused++
		}
	}
	t.Logf("refused %d of %d", refused, total)
	is.Equal(refused, 0)
}

func TestOverRateIsRefusedWithTimeToComeBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 6, quickTerms, []Limit{{Account: "kiosk", Rate: 1, Burst: 3}})
	for _, c := range f.ctl {
		err := c.Take(context.Background(), "kiosk", 1)
		ve := verdict.From(err)
		is.Equal(ve.Verdict, verdict.NotRun)
		is.Equal(ve.Reason, verdict.ReasonRateLimited)
		is.True(ve.RetryAfter > 0)
	}
}

func TestLostAnswersNeverAdmitMore(t *testing.T) {
	is := is.New(t)
	failpoint.Enable("quota.transfer.debited", failpoint.Action{Kind: "error", Times: 1 << 30})
	defer failpoint.Disable("quota.transfer.debited")
	const rate, burst = 30, 6
	start := time.Now()
	f := newFleet(t, 6, quickTerms, []Limit{{Account: "kiosk", Rate: rate, Burst: burst}})
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
	f := newFleet(t, 6, quickTerms, []Limit{{Account: "kiosk", Rate: 300, Burst: 300}})
	time.Sleep(1400 * time.Millisecond)
	cell := f.cells["giza"]
	part := quota.PartOf("kiosk", len(cell.holders))
	old, next := f.ctl[3*part], f.ctl[3*(1-part)]
	is.NoErr(old.Take(context.Background(), "kiosk", 30))
	level := old.Shares()[0].Level
	is.True(level > 20)
	is.NoErr(old.Leave(context.Background()))
	r := old.takeHeld(context.Background(), "kiosk", 1)
	is.Equal(r.outcome, quotav1.TakeResult_NOT_HOLDER) // a holder that left admits nothing
	cell.set(part, f.self[3*(1-part)])
	next.mu.Lock()
	_, a, held := next.account("kiosk")
	is.True(held)
	is.True(a.Level() > level-0.5)
	next.mu.Unlock()
}

func TestCutOffDataCentreServesItsShare(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 6, quickTerms, []Limit{{Account: "kiosk", Rate: 30, Burst: 9}})
	f.net.mu.Lock()
	for _, in := range f.self {
		f.net.cut[in.PeerAddr] = in.DataCentre != "giza"
	}
	f.net.mu.Unlock()
	time.Sleep(1100 * time.Millisecond)
	for range 3 {
		is.NoErr(f.ctl[0].Take(context.Background(), "kiosk", 1))
	}
}

func TestNoHolderRefusesAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 3, quickTerms, []Limit{{Account: "kiosk", Rate: 30, Burst: 9}})
	f.cells["giza"].set(0, member.Instance{})
	ve := verdict.From(f.ctl[0].Take(context.Background(), "kiosk", 1))
	is.Equal(ve.Verdict, verdict.NotRun)
	is.Equal(ve.Reason, verdict.ReasonOwnerUnavailable)
}

func TestConcurrentTakesShareCalls(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 6, quickTerms, []Limit{{Account: "kiosk", Rate: 30000, Burst: 3000}})
	time.Sleep(1100 * time.Millisecond)
	part := quota.PartOf("kiosk", 2)
	remote := f.ctl[3*(1-part)]
	var wg sync.WaitGroup
	for range 200 {
		wg.Go(func() { is.NoErr(remote.Take(context.Background(), "kiosk", 1)) })
	}
	wg.Wait()
}

func TestSilentHolderIsLeftAlone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 6, quickTerms, []Limit{{Account: "kiosk", Rate: 30, Burst: 9}})
	part := quota.PartOf("kiosk", 2)
	f.net.mu.Lock()
	f.net.cut[f.self[3*part].PeerAddr] = true
	f.net.mu.Unlock()
	other := f.ctl[3*(1-part)]
	for range 3 {
		ve := verdict.From(other.Take(context.Background(), "kiosk", 1))
		is.Equal(ve.Verdict, verdict.NotRun)
		is.Equal(ve.Reason, verdict.ReasonOwnerUnavailable)
	}
	_, err := other.batcher(f.self[3*part].PeerAddr).take(context.Background(), nil)
	is.True(errors.Is(err, errSilentHolder))
}

func TestTakeAboveBurstFetchesNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 3, quickTerms, []Limit{{Account: "kiosk", Rate: 30, Burst: 9}})
	ve := verdict.From(f.ctl[0].Take(context.Background(), "kiosk", 10))
	is.Equal(ve.Reason, verdict.ReasonRateLimited)
	is.Equal(len(f.ctl[0].Shares()), 0)
}
