package quota

import (
	"fmt"
	"math"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// idealFleet is a fleet without faults and without message latency.
type idealFleet struct {
	now   time.Time
	nodes []*Account
	seq   uint64
}

func newIdealFleet(dcs int, l Limit) *idealFleet {
	s := &idealFleet{now: time.Unix(1e6, 0)}
	for dc := range dcs {
		s.nodes = append(s.nodes, NewAccount(dcName(dc), SplitLimit(l, dcs, 0), DefaultLoanTimings(), 1, s.now))
	}
	return s
}

func (s *idealFleet) exchange(from, to int, r Request) {
	s.seq++
	r.Sequence = s.seq
	s.nodes[from].RecordSent(s.now, dcName(to), r.Sequence)
	s.nodes[from].ApplyGrant(s.now, s.nodes[to].Lend(s.now, dcName(from), r))
}

func (s *idealFleet) take(dc int) bool {
	a := s.nodes[dc]
	a.RecordDemand(s.now, 1)
	ok, short, _ := a.Take(s.now, 1)
	if ok {
		return true
	}
	order := make([]int, len(s.nodes))
	for i := range order {
		order[i] = i
		s.nodes[i].Advance(s.now)
	}
	sort.Slice(order, func(i, j int) bool { return s.nodes[order[i]].Level() > s.nodes[order[j]].Level() })
	for _, peer := range order {
		if peer != dc && short > 0 {
			s.exchange(dc, peer, Request{Tokens: short})
			short = 1 - a.Level()
		}
	}
	ok, _, _ = a.Take(s.now, 1)
	return ok
}

func (s *idealFleet) tick() {
	for dc, a := range s.nodes {
		var peers []string
		for p := range s.nodes {
			if p != dc {
				peers = append(peers, dcName(p))
			}
		}
		for _, w := range a.PeerRequests(s.now, peers) {
			s.exchange(dc, int(w.Peer[2]-'0'), w.Request)
		}
	}
}

// run sends requests at the given rate for duration d, each to the data centre that pick returns, and returns how many
// were refused.
func (s *idealFleet) run(rate float64, d time.Duration, pick func(i int) int) (refused, total int) {
	end, nextTick := s.now.Add(d), s.now
	for ; s.now.Before(end); s.now = s.now.Add(time.Duration(float64(time.Second) / rate)) {
		for !nextTick.After(s.now) {
			s.tick()
			nextTick = nextTick.Add(250 * time.Millisecond)
		}
		if !s.take(pick(total)) {
			refused++
		}
		total++
	}
	return refused, total
}

func TestSteadyArrivalsAreNotRefused(t *testing.T) {
	for _, dcs := range []int{3, 4} {
		for _, rate := range []float64{1, 10, 100, 1000} {
			t.Run(fmt.Sprintf("%d data centres, rate %v", dcs, rate), func(t *testing.T) {
				t.Parallel()
				checkNoneRefused(t, dcs, rate)
			})
		}
	}
}

func checkNoneRefused(t *testing.T, dcs int, rate float64) {
	s := newIdealFleet(dcs, Limit{Rate: rate, Burst: 5})
	s.now = s.now.Add(time.Minute)
	h := uint64(0)
	length := time.Duration(min(20000/rate, 4000) * float64(time.Second))
	refused, total := s.run(0.95*rate, length, func(i int) int {
		h = mix(h, uint64(i))
		return int(h % uint64(dcs))
	})
	t.Logf("refused %d of %d", refused, total)
	if refused > 0 {
		t.Errorf("refused %d requests within the rate", refused)
	}
}

func TestShareFollowsDemandWithinTenSeconds(t *testing.T) {
	const rate = 300
	s := newIdealFleet(3, Limit{Rate: rate, Burst: 60})
	s.now = s.now.Add(time.Minute)
	s.run(0.95*rate, 20*time.Second, func(i int) int { return i % 3 })
	s.run(0.99*rate, 10*time.Second, func(int) int { return 0 })
	got := s.nodes[0].Capacity().Rate
	t.Logf("share 10 s after the move: %.1f of %d requests per second", got, rate)
	if got < 0.9*rate {
		t.Errorf("share %.1f is below 90%% of the rate", got)
	}
	refused, total := s.run(0.95*rate, 10*time.Second, func(int) int { return 0 })
	t.Logf("refused %d of %d after that", refused, total)
	if refused > 0 {
		t.Errorf("refused %d requests within the rate", refused)
	}
	// Demand moves again, to a data centre that has lent its share.
	s.run(0.99*rate, 10*time.Second, func(int) int { return 1 })
	if got := s.nodes[1].Capacity().Rate; got < 0.9*rate {
		t.Errorf("share %.1f after the second move is below 90%% of the rate", got)
	}
}

func TestSplitIsMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Limit{Rate: rapid.Float64Range(0, 1e4).Draw(t, "rate"), Burst: rapid.Float64Range(0, 1e4).Draw(t, "burst")}
		b := Limit{Rate: a.Rate + rapid.Float64Range(0, 100).Draw(t, "more"), Burst: a.Burst + rapid.Float64Range(0, 100).Draw(t, "more")}
		x, y := SplitLimit(a, 3, 5), SplitLimit(b, 3, 5)
		if x.Holder.Rate > y.Holder.Rate || x.PerSlot.Rate > y.PerSlot.Rate || x.Holder.Burst > y.Holder.Burst || x.PerSlot.Burst > y.PerSlot.Burst {
			t.Fatalf("share %+v of the smaller limit exceeds %+v of the larger", x, y)
		}
		if sum := 3 * (x.Holder.Burst + 5*x.PerSlot.Burst); math.Abs(sum-a.Burst) > 1e-6 {
			t.Fatalf("burst %v was split into shares with sum %v", a.Burst, sum)
		}
	})
}
