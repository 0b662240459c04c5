package backendpath

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

var errRefused = errors.New("refused")

// network is a set of servers, some of which can't be reached directly.
type network struct {
	mu      sync.Mutex
	down    map[string]bool
	dials   []string
	relayed []string
}

func (n *network) set(down bool, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.down[a] = down
	}
}

func (n *network) direct(_ context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dials = append(n.dials, address)
	if n.down[address] {
		return nil, errRefused
	}
	a, _ := net.Pipe()
	return a, nil
}

func (n *network) relay(_ context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.relayed = append(n.relayed, address)
	a, _ := net.Pipe()
	return a, nil
}

func newNetwork(t *testing.T, servers ...string) (*network, *Dialer) {
	n := &network{down: map[string]bool{}}
	return n, New(t.Context(), n.direct, n.relay, func() [][]string { return [][]string{slices.Clone(servers)} }, NewMetrics(prometheus.NewRegistry()))
}

func TestOneUnreachableServerIsNotALostPath(t *testing.T) {
	is := is.New(t)
	n, d := newNetwork(t, "a", "b", "c")
	n.set(true, "a")
	_, err := d.Dial(t.Context(), "a")
	is.True(errors.Is(err, errRefused))
	is.True(!errors.Is(err, ErrLost))
	is.True(d.LostSince().IsZero())
	is.Equal(len(n.relayed), 0)
}

func TestLostPathIsRelayedUntilItIsBack(t *testing.T) {
	is := is.New(t)
	n, d := newNetwork(t, "a", "b", "c")
	n.set(true, "a", "b", "c")
	_, err := d.Dial(t.Context(), "a")
	is.NoErr(err)
	is.True(!d.LostSince().IsZero())
	n.mu.Lock()
	direct := len(n.dials)
	n.mu.Unlock()
	_, err = d.Dial(t.Context(), "b")
	is.NoErr(err)
	_, err = d.DialDirect(t.Context(), "b")
	is.True(errors.Is(err, ErrLost)) // peers are told at once
	n.mu.Lock()
	is.Equal(n.relayed, []string{"a", "b"})
	is.Equal(len(n.dials), direct) // no request waits for a direct connection
	n.mu.Unlock()
	n.set(false, "a", "b", "c")
	for deadline := time.Now().Add(5 * probeInterval); !d.LostSince().IsZero(); time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(deadline)) // regained
	}
	_, err = d.DialDirect(t.Context(), "a")
	is.NoErr(err)
}

func TestFailureDuringASuccessElsewhereNeedsNoCheck(t *testing.T) {
	is := is.New(t)
	n, d := newNetwork(t, "a", "b", "c")
	start := d.now()
	_, err := d.Dial(t.Context(), "b")
	is.NoErr(err)
	is.True(!d.isLost(t.Context(), "a", start.Add(-time.Millisecond)))
	is.Equal(n.dials, []string{"b"})
}

func TestOnlyServerThatFailsIsNotALostPath(t *testing.T) {
	is := is.New(t)
	n, d := newNetwork(t, "a")
	n.set(true, "a")
	_, err := d.Dial(t.Context(), "a")
	is.True(errors.Is(err, errRefused))
	is.True(d.LostSince().IsZero())
}

func TestSuspicionIsCheckedBeforeAConnectionFails(t *testing.T) {
	is := is.New(t)
	n, d := newNetwork(t, "a", "b", "c")
	var clockReads atomic.Int32
	d.now = func() time.Time {
		clockReads.Add(1)
		return time.Now()
	}
	start := d.now()
	d.Suspect("a", start)
	for deadline := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
		n.mu.Lock()
		probed := len(n.dials)
		n.mu.Unlock()
		if probed == 2 && clockReads.Load() == 3 { // start, and the time of each success
			break
		}
		is.True(time.Now().Before(deadline)) // b and c are probed
	}
	is.True(d.LostSince().IsZero())
	n.set(true, "a", "b", "c")
	d.Suspect("a", d.now())
	for deadline := time.Now().Add(time.Second); d.LostSince().IsZero(); time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline)) // lost
	}
}

// Guards against the crash of most servers of one service being taken for the loss of the way: others are reached.
func TestCrashOfOneServiceIsNotALostPath(t *testing.T) {
	is := is.New(t)
	models, tools := []string{"m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9"}, []string{"t1", "t2"}
	for range 100 {
		n := &network{down: map[string]bool{}}
		d := New(t.Context(), n.direct, n.relay, func() [][]string { return [][]string{models, tools} }, NewMetrics(prometheus.NewRegistry()))
		n.set(true, models...)
		_, err := d.Dial(t.Context(), "m1")
		is.True(err != nil)
		is.True(d.LostSince().IsZero())
		is.Equal(len(n.relayed), 0)
	}
}

func TestSampleTakesOtherServicesFirst(t *testing.T) {
	is := is.New(t)
	services := [][]string{{"a1", "a2", "a3"}, {"b1"}, nil}
	for range 20 {
		out := sample(services, "a2", 3)
		is.Equal(out[0], "b1")
		is.Equal(len(out), 3)
		is.True(!slices.Contains(out, "a2"))
	}
	is.Equal(len(sample(services, "", 9)), 4)
	is.Equal(len(sample(nil, "x", 3)), 0)
}
