package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/backendlimit"
	"github.com/berylpond/berylpond/internal/loadshare"
)

const (
	shareInterval = 300 * time.Millisecond
	shareDelay    = 20 * time.Millisecond
)

// Load pattern: many instances with a small part of the requests each, and shared parts that only some servers keep.
func TestSharedLoadsEvenOutTheServers(t *testing.T) {
	is := is.New(t)
	play := func(shared bool) *replay {
		r := newReplay(60, 24, 16)
		if shared {
			r.share(shareInterval, shareDelay, 35*time.Second, nil)
		}
		r.programs(90, 8, 30*time.Second)
		r.run()
		return r
	}
	alone, shared := play(false), play(true)
	t.Logf("busiest/mean alone %.2f, shared %.2f; p99 %v, %v; read %.2f, %.2f", alone.imbalance(), shared.imbalance(),
		alone.quantile(0.99), shared.quantile(0.99), alone.ratio(), shared.ratio())
	is.True(shared.imbalance() < alone.imbalance())
	is.True(shared.quantile(0.99) < alone.quantile(0.99))
	is.True(shared.ratio() <= maxReadRatio)
}

// Load pattern: news so late that every instance acts on loads that the others have answered already.
func TestLateNewsMakeNoHerd(t *testing.T) {
	is := is.New(t)
	r := newReplay(60, 24, 16)
	r.share(shareInterval, 600*time.Millisecond, 35*time.Second, nil)
	r.programs(90, 8, 30*time.Second)
	r.run()
	alone := newReplay(60, 24, 16)
	alone.programs(90, 8, 30*time.Second)
	alone.run()
	t.Logf("p99 with late news %v, alone %v; busiest/mean %.2f", r.quantile(0.99), alone.quantile(0.99), r.imbalance())
	is.True(r.quantile(0.99) <= alone.quantile(0.99))
}

// Load pattern: a server that takes three times as long as the others.
func TestSlowServerGetsLessButNotNothing(t *testing.T) {
	is := is.New(t)
	r := newReplay(30, 12, 4)
	r.servers["s-03"].slowness = 3
	r.share(shareInterval, shareDelay, 35*time.Second, nil)
	r.programs(20, 6, 40*time.Second)
	r.run()
	mean := float64(len(r.times)) / 12
	t.Logf("slow server got %d, mean %.0f", r.servers["s-03"].served, mean)
	is.True(float64(r.servers["s-03"].served) < 0.6*mean)
	is.True(r.servers["s-03"].served > 0)
}

// Load pattern: a server that fails part of its requests; each instance alone sees one or two of them.
func TestFailingServerIsAvoidedByTheEvidenceOfAll(t *testing.T) {
	is := is.New(t)
	play := func(shared bool) int {
		r := newReplay(60, 12, 4)
		r.servers["s-03"].failing = 0.5
		if shared {
			r.share(shareInterval, shareDelay, 35*time.Second, nil)
		}
		r.programs(30, 6, 40*time.Second)
		r.run()
		return r.failed
	}
	alone, shared := play(false), play(true)
	t.Logf("failed alone %d, shared %d", alone, shared)
	is.True(shared*2 < alone)
	is.True(shared > 0)
}

func TestNoMoreThanAShareOfAServiceIsAvoided(t *testing.T) {
	is := is.New(t)
	r := newReplay(30, 12, 4)
	for _, s := range r.servers {
		s.failing = 0.3
	}
	r.share(shareInterval, shareDelay, 20*time.Second, nil)
	r.programs(30, 6, 15*time.Second)
	avoided := 0
	for t := 2 * time.Second; t < 15*time.Second; t += time.Second {
		r.at(r.now.Add(t), func() {
			n := 0
			for _, s := range r.instances[5].byID {
				if s.shared.failing > 0 {
					n++
				}
			}
			avoided = max(avoided, n)
		})
	}
	r.run()
	is.True(avoided > 0 && avoided <= 4)
}

// Load pattern: the holder is lost for three seconds and comes back.
func TestOwnKnowledgeServesWhileTheHolderIsLost(t *testing.T) {
	is := is.New(t)
	r := newReplay(60, 24, 16)
	from, to := r.now.Add(15*time.Second), r.now.Add(18*time.Second)
	lost := func() bool { return r.now.After(from) && r.now.Before(to) }
	r.share(shareInterval, shareDelay, 35*time.Second, lost)
	r.at(to, func() {
		for _, f := range r.instances {
			is.Equal(f.sharedWeight(r.now), 0.0)
		}
	})
	r.at(to.Add(time.Second), func() {
		for _, f := range r.instances {
			is.True(f.sharedWeight(r.now) > 0)
		}
	})
	r.programs(90, 8, 30*time.Second)
	r.run()
	alone := newReplay(60, 24, 16)
	alone.programs(90, 8, 30*time.Second)
	alone.run()
	is.True(r.quantile(0.99) <= alone.quantile(0.99))
}

// Load pattern: one shared part has most of the requests, far more than the servers that keep it at first can take.
func TestHotSharedPartSpreadsOverAsManyServersAsItNeeds(t *testing.T) {
	is := is.New(t)
	r := newReplay(60, 24, 16)
	r.shared = func() int {
		if r.random.IntN(10) < 7 {
			return 0
		}
		return 1 + r.random.IntN(15)
	}
	r.share(shareInterval, shareDelay, 35*time.Second, nil)
	r.programs(80, 8, 30*time.Second)
	r.run()
	t.Logf("p50 %v, p99 %v; busiest/mean %.2f; read %.2f", r.quantile(0.5), r.quantile(0.99), r.imbalance(), r.ratio())
	is.True(r.ratio() <= maxReadRatio)
	is.True(r.imbalance() < 1.5)
	is.True(r.quantile(0.99) < 2*r.quantile(0.5))
}

// Load pattern: instances that have just begun, all with the same part to place.
func TestBurstOfANewPartAtManyInstancesMakesNoQueue(t *testing.T) {
	is := is.New(t)
	r := newReplay(60, 24, 1)
	r.programs(120, 1, time.Second)
	r.run()
	t.Logf("p99 %v, busiest/mean %.2f", r.quantile(0.99), r.imbalance())
	is.True(r.quantile(0.99) < time.Second)
}

// Load pattern: instances that use slow servers mostly, and so find them as fast as their mean.
func TestSlowServersAreKnownAsSuchToThoseThatUseThemMostly(t *testing.T) {
	is := is.New(t)
	r := newReplay(2, 4, 4)
	r.servers["s-00"].slowness = 3
	slow, fast := r.instances[0], r.instances[1]
	use := func(f *Fleet, id string) {
		c := conversation(1)
		for other := range r.servers {
			if other != id {
				c.Exclude = append(c.Exclude, other)
			}
		}
		for range 40 {
			b := f.Acquire(c)
			f.FirstEvent(b, 1)
			r.now = r.now.Add(time.Duration(r.servers[id].slowness * float64(100*modelTokenTime)))
			f.Completed(b, 101)
			f.Release(b, false)
		}
	}
	use(slow, "s-00")
	use(fast, "s-01")
	r.share(shareInterval, 0, 2*shareInterval, nil)
	r.run()
	is.True(slow.slowness(slow.byID["s-00"], r.now) > 1.2)
	is.True(slow.slowness(slow.byID["s-01"], r.now) < 0.8)
}

// A server that comes back has nothing in progress; until the next sums it must not seem emptier than the emptiest.
func TestRestartedServerCountsAsIdleUntilTheNextSums(t *testing.T) {
	is := is.New(t)
	f := New("dc-0", time.Second)
	now := time.Unix(1000, 0)
	f.now = func() time.Time { return now }
	var loads []loadshare.Load
	for _, id := range []string{"a", "b", "c"} {
		f.Upsert(Entry{ID: id, Service: "llm", DataCentre: "dc-0", Slots: 16, Incarnation: 1})
		if id != "a" {
			loads = append(loads, loadshare.Load{Server: backendlimit.Server{ID: id, Incarnation: 1}, Requests: 12, Reading: time.Second})
		}
	}
	f.LearnLoads(loads, now)
	f.Upsert(Entry{ID: "c", Service: "llm", DataCentre: "dc-0", Slots: 16, Incarnation: 2})
	is.Equal(f.requestsAt(f.byID["c"], now), f.requestsAt(f.byID["a"], now))
	is.Equal(f.readingAt(f.byID["c"], now), f.readingAt(f.byID["a"], now))
}

// Load pattern: many requests whose time can't be compared, as their route is new here or their streams have one event.
func TestFewComparedRequestsMakeNoServerSlow(t *testing.T) {
	is := is.New(t)
	f := New("dc-0", time.Second)
	now := time.Unix(1000, 0)
	f.now = func() time.Time { return now }
	holder := loadshare.NewExchange(f, f.now, loadshare.NewMetrics(prometheus.NewRegistry()))
	x := loadshare.NewExchange(f, f.now, loadshare.NewMetrics(prometheus.NewRegistry()))
	for _, id := range []string{"a", "b"} {
		f.Upsert(Entry{ID: id, Service: "llm", DataCentre: "dc-0", Slots: 16})
		f.byID[id].seen.completed = 100
	}
	f.byID["a"].seen.slow, f.byID["a"].seen.compared = 9, 1
	f.byID["b"].seen.slow, f.byID["b"].seen.compared = 1, 1
	r, resp := &turnv1.TakeRequest{Instance: "i"}, &turnv1.TakeResponse{}
	x.Report("h", r)
	holder.Serve(r, resp)
	x.Learn(resp)
	is.True(f.sharedWeight(now) > 0)
	is.True(f.slowness(f.byID["a"], now) < 1.2)
}
