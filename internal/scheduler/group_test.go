package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
	"github.com/berylpond/berylpond/internal/verdict"
)

var startTime = time.Unix(1_000_000, 0)

func specs(n int) []framework.EngineSpec {
	out := make([]framework.EngineSpec, n)
	for i := range out {
		out[i].Address = fmt.Sprintf("e%d", i)
	}
	return out
}

func newGroup(n int, change func(s *framework.Settings)) *Group {
	s := framework.DefaultSettings(framework.Berylpond)
	s.InitialConcurrency, s.MaxConcurrency = 2, 2
	if change != nil {
		change(&s)
	}
	g := New(s)
	g.SetEngines(startTime, specs(n))
	return g
}

func call(id, account string) framework.Call {
	return framework.Call{ID: id, Program: "p" + id, Account: account, NewTokens: 100, ExpectedOutput: 10}
}

func grantOne(t *testing.T, g *Group, now time.Time, c framework.Call) framework.Grant {
	t.Helper()
	if err := g.Submit(now, c); err != nil {
		t.Fatal(err)
	}
	d := g.Decide(now)
	if len(d.Grants) != 1 {
		t.Fatalf("got %d grants, want 1", len(d.Grants))
	}
	return d.Grants[0]
}

func TestRefusals(t *testing.T) {
	for _, tt := range []struct {
		name   string
		setup  func(g *Group)
		call   func(c *framework.Call)
		reason verdict.Reason
	}{
		{"all drained", func(g *Group) { g.SetEngines(startTime, []framework.EngineSpec{{Address: "e0", Drained: true}}) }, nil, verdict.ReasonNoBackend},
		{"deadline passed", nil,
			func(c *framework.Call) { c.Deadline = startTime.Add(-time.Second) }, verdict.ReasonDeadline},
		{"first turn, queue full", fillQueue(3), nil, verdict.ReasonQueueFull},
		{"unsafe retry", nil, func(c *framework.Call) { c.FailedEngines = []string{"e0"} }, verdict.ReasonBackendFailed},
		{"retry budget exhausted", exhaustRetryBudget, func(c *framework.Call) { c.FailedEngines, c.PriorVerdict = []string{"e0"}, verdict.NotRun }, verdict.ReasonRetryBudgetSpent},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := newGroup(1, func(s *framework.Settings) { s.MaxQueuedPerAccount = 4 })
			if tt.setup != nil {
				tt.setup(g)
			}
			c := call("x", "a")
			if tt.call != nil {
				tt.call(&c)
			}
			err := g.Submit(startTime, c)
			is.True(err != nil)
			is.Equal(err.Reason, tt.reason)
			is.Equal(err.Verdict, verdict.NotRun)
		})
	}
}

func fillQueue(n int) func(g *Group) {
	return func(g *Group) {
		for i := range n {
			g.Submit(startTime, call(fmt.Sprint("f", i), "a"))
		}
	}
}

func exhaustRetryBudget(g *Group) {
	for i := range 10 {
		c := call(fmt.Sprint("r", i), fmt.Sprint("b", i))
		c.FailedEngines, c.PriorVerdict = []string{"e0"}, verdict.NotRun
		g.Submit(startTime, c)
	}
}

func TestQueueSlotsReservedForStartedPrograms(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, func(s *framework.Settings) { s.MaxQueuedPerAccount = 4 })
	fillQueue(3)(g)
	is.True(g.Submit(startTime, call("new", "a")) != nil)
	started := call("started", "a")
	started.CompletedTurns = 1
	is.Equal(g.Submit(startTime, started), nil)
}

func TestQueuedCallIsRefusedAtDeadline(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, func(s *framework.Settings) { s.InitialConcurrency, s.MaxConcurrency = 1, 1 })
	grantOne(t, g, startTime, call("1", "a"))
	late := call("2", "a")
	late.Deadline = startTime.Add(time.Second)
	is.Equal(g.Submit(startTime, late), nil)
	is.Equal(len(g.Decide(startTime).Refusals), 0)
	d := g.Decide(startTime.Add(time.Second))
	is.Equal(len(d.Refusals), 1)
	is.Equal(d.Refusals[0].Err.Reason, verdict.ReasonDeadline)
}

func TestSilentEngineGetsNoWorkUntilProbation(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, nil)
	first := grantOne(t, g, startTime, call("1", "a"))
	g.Done(startTime, "1", framework.Outcome{Kind: framework.Silent})
	retried := call("1b", "a")
	retried.FailedEngines, retried.Repeatable = []string{first.Engine}, true
	is.True(grantOne(t, g, startTime, retried).Engine != first.Engine)
	is.True(grantOne(t, g, startTime, call("2", "a")).Engine != first.Engine)
	is.Equal(g.Submit(startTime, call("3", "a")), nil)
	is.Equal(len(g.Decide(startTime).Grants), 0) // the other engine is full
	later := startTime.Add(time.Second)
	d := g.Decide(later)
	is.Equal(len(d.Grants), 1)
	is.Equal(d.Grants[0].Engine, first.Engine)
	is.Equal(g.Submit(later, call("4", "a")), nil)
	is.Equal(len(g.Decide(later).Grants), 0) // one call at a time in probation
	g.Done(later, "3", framework.Outcome{Kind: framework.OK})
	is.Equal(len(g.Decide(later).Grants), 1)
}

func TestProgramStaysWithItsPrefixUntilRelease(t *testing.T) {
	is := is.New(t)
	g := newGroup(4, nil)
	c := call("1", "a")
	c.Program, c.NewTokens = "p", 50_000
	firstEngine := grantOne(t, g, startTime, c).Engine
	g.Done(startTime, "1", framework.Outcome{Kind: framework.OK, PromptTokens: 50_000, CompletionTokens: 10})
	c.ID, c.CompletedTurns, c.PrefixTokens, c.NewTokens = "2", 1, 50_010, 10
	got := grantOne(t, g, startTime, c)
	is.Equal(got.Engine, firstEngine)
	is.Equal(got.CachedTokens, int64(50_010))
	g.Done(startTime, "2", framework.Outcome{Kind: framework.OK, PromptTokens: 50_020, CachedTokens: 50_010})
	is.Equal(len(g.DueReleases(startTime.Add(time.Second))), 0)
	g.EndProgram(startTime, "p")
	is.Equal(g.DueReleases(startTime.Add(2*time.Second)),
		[]framework.ReleaseOrder{{Engine: firstEngine, Keys: []string{"p"}}})
}

func TestLeaseOfUnknownPrefixExpires(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, nil)
	g.ObserveKeys(startTime, startTime, "e0", []framework.CachedPrefix{{Key: "orphan", Tokens: 10}})
	is.Equal(len(g.DueReleases(startTime.Add(time.Second))), 0)
	d := g.DueReleases(startTime.Add(2 * time.Minute))
	is.Equal(len(d), 1)
	is.Equal(d[0].Keys, []string{"orphan"})
}

func TestReportedCallsCountAgainstLimit(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, nil)
	g.ObserveLoad(startTime, "e0", framework.LoadReport{Running: 2})
	is.Equal(g.Submit(startTime, call("1", "a")), nil)
	is.Equal(len(g.Decide(startTime).Grants), 0)
	is.Equal(len(g.Decide(startTime.Add(5*time.Second)).Grants), 1) // the report has decayed
}

func TestLongCallIsNotStarved(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, nil)
	g.ObserveLoad(startTime, "e0", framework.LoadReport{KVCapacityTokens: 1000})
	grantOne(t, g, startTime, call("s0", "a"))
	long := call("long", "a")
	long.NewTokens = 950
	is.Equal(g.Submit(startTime, long), nil)
	now := startTime
	for i := range 40 {
		is.Equal(g.Submit(now, call(fmt.Sprint("s", i+1), "a")), nil)
		for _, gr := range g.Decide(now).Grants {
			if gr.CallID == "long" {
				return
			}
		}
		now = now.Add(100 * time.Millisecond)
		g.Done(now, fmt.Sprint("s", i), framework.Outcome{Kind: framework.OK, PromptTokens: 100, CompletionTokens: 10})
	}
	t.Fatal("the long call was overtaken by 40 short ones")
}

// TestPermitsAreConserved drives a group with random calls, outcomes, load reports and drains. Violated invariants
// inside the scheduler panic; after each step the calls granted, waiting and ended must add up.
func TestPermitsAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "engines")
		g := newGroup(n, func(s *framework.Settings) { s.MaxQueuedPerAccount = 8 })
		now := startTime
		waiting, open := map[string]bool{}, map[string]bool{}
		var openIDs []string
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2:
				c := call(fmt.Sprint(i), fmt.Sprint("a", rapid.IntRange(0, 2).Draw(t, "account")))
				c.Program = fmt.Sprint("p", rapid.IntRange(0, 3).Draw(t, "program"))
				c.PrefixTokens = rapid.Int64Range(0, 5000).Draw(t, "prefix")
				if g.Submit(now, c) == nil {
					waiting[c.ID] = true
				}
			case 3:
				if len(openIDs) > 0 {
					k := rapid.IntRange(0, len(openIDs)-1).Draw(t, "which")
					kind := framework.OutcomeKind(rapid.IntRange(1, 4).Draw(t, "outcome"))
					g.Done(now, openIDs[k], framework.Outcome{Kind: kind, PromptTokens: 100})
					g.Done(now, openIDs[k], framework.Outcome{Kind: kind})
					delete(open, openIDs[k])
					openIDs = append(openIDs[:k], openIDs[k+1:]...)
				}
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			case 5:
				g.ObserveLoad(now, "e0", framework.LoadReport{Running: rapid.IntRange(0, 4).Draw(t, "running"), Waiting: rapid.IntRange(0, 3).Draw(t, "queued")})
			case 6:
				s := specs(n)
				s[0].Drained = rapid.Bool().Draw(t, "drained")
				g.SetEngines(now, s)
			}
			d := g.Decide(now)
			for _, r := range d.Refusals {
				if !waiting[r.CallID] {
					t.Fatalf("refused %s, which is not waiting", r.CallID)
				}
				delete(waiting, r.CallID)
			}
			for _, gr := range d.Grants {
				if !waiting[gr.CallID] || open[gr.CallID] {
					t.Fatalf("granted %s, which is not waiting", gr.CallID)
				}
				delete(waiting, gr.CallID)
				open[gr.CallID] = true
				openIDs = append(openIDs, gr.CallID)
			}
			total := 0
			for _, st := range g.Status(now) {
				if st.InFlight < 0 || st.InFlight > 2 {
					t.Fatalf("%d in flight at %s", st.InFlight, st.Address)
				}
				total += st.InFlight
			}
			if total != len(open) || g.QueueLength() != len(waiting) {
				t.Fatalf("in flight %d, want %d; queued %d, want %d", total, len(open), g.QueueLength(), len(waiting))
			}
		}
	})
}

// TestAccountWithinItsShareIsNotStarved keeps one engine overloaded with the calls of one account. A call of another
// account must be granted before the first account receives more service than the fairness window (one mean call) and
// one call, whatever its mix of programs.
func TestAccountWithinItsShareIsNotStarved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(1, nil)
		now := startTime
		id := 0
		cost := map[string]float64{}
		flood := func() {
			c := call(fmt.Sprint("f", id), "flood")
			id++
			c.CompletedTurns = rapid.IntRange(0, 5).Draw(t, "turn")
			c.NewTokens = rapid.Int64Range(1, 400).Draw(t, "tokens")
			cost[c.ID] = float64(c.NewTokens + 4*c.ExpectedOutput)
			_ = g.Submit(now, c)
		}
		servedFirst := 0.0
		var running []string
		decide := func() (granted bool) {
			for _, gr := range g.Decide(now).Grants {
				if gr.CallID == "quiet" {
					return true
				}
				servedFirst += cost[gr.CallID]
				running = append(running, gr.CallID)
			}
			return granted
		}
		for range rapid.IntRange(5, 60).Draw(t, "queued") {
			flood()
			decide()
		}
		quiet := call("quiet", "quiet")
		if err := g.Submit(now, quiet); err != nil {
			t.Fatal(err)
		}
		const largest = 400 + 4*10
		servedFirst = 0
		for !decide() {
			if servedFirst > 2*largest {
				t.Fatalf("the flooding account received %v of service first", servedFirst)
			}
			flood()
			now = now.Add(50 * time.Millisecond)
			g.Done(now, running[0], framework.Outcome{Kind: framework.OK, PromptTokens: 100, CompletionTokens: 10})
			running = running[1:]
		}
	})
}

// TestServiceFollowsWeights keeps three accounts backlogged and checks that the service received is proportional to
// their weights.
func TestServiceFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(2, func(s *framework.Settings) { s.MaxQueueWait = time.Hour })
		now := startTime
		weights := map[string]float64{}
		served := map[string]float64{}
		size := map[string]int64{}
		for i := range 3 {
			a := fmt.Sprint("a", i)
			weights[a] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
			size[a] = rapid.Int64Range(50, 500).Draw(t, "size")
		}
		id, accountOf := 0, map[string]string{}
		push := func(a string) {
			c := call(fmt.Sprint(id), a)
			id++
			c.Weight, c.NewTokens = weights[a], size[a]
			accountOf[c.ID] = a
			if err := g.Submit(now, c); err != nil {
				t.Fatal(err)
			}
		}
		for a := range weights {
			for range 5 {
				push(a)
			}
		}
		var running []string
		for range 400 {
			for _, gr := range g.Decide(now).Grants {
				running = append(running, gr.CallID)
				a := accountOf[gr.CallID]
				served[a] += float64(size[a] + 40)
				push(a)
			}
			now = now.Add(10 * time.Millisecond)
			a := accountOf[running[0]]
			g.Done(now, running[0], framework.Outcome{Kind: framework.OK, PromptTokens: size[a], CompletionTokens: 10})
			running = running[1:]
		}
		for a := range weights {
			for b := range weights {
				const slack = 5 * 540 // in cost units: a few of the largest calls
				if served[a]/weights[a]-served[b]/weights[b] > slack {
					t.Fatalf("service not proportional to weights: served %v, weights %v", served, weights)
				}
			}
		}
	})
}
