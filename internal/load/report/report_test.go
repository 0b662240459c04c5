package report

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/verdict"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestBucket(t *testing.T) {
	is := is.New(t)
	b := NewBucket(2, 3, t0)
	for range 3 {
		is.True(b.Take(t0))
	}
	is.True(!b.Take(t0)) // the burst is spent
	is.True(!b.Take(t0.Add(499 * time.Millisecond)))
	is.True(b.Take(t0.Add(500 * time.Millisecond)))
	is.True(!b.Take(t0.Add(500 * time.Millisecond)))
	for range 3 {
		is.True(b.Take(t0.Add(time.Hour))) // the bucket holds at most the burst
	}
	is.True(!b.Take(t0.Add(time.Hour)))
}

func TestRefusedWithinRate(t *testing.T) {
	const admitted, refused = true, false
	for name, c := range map[string]struct {
		calls                      []bool
		within, refusedWithin, all int
	}{
		"all admitted":                 {[]bool{admitted, admitted}, 2, 0, 0},
		"one of two refused":           {[]bool{admitted, refused}, 2, 1, 1},
		"refused above the rate":       {[]bool{admitted, admitted, refused, refused}, 2, 0, 2},
		"another one admitted instead": {[]bool{admitted, refused, admitted, refused}, 2, 0, 2},
		"refused and not compensated":  {[]bool{refused, admitted, refused, refused}, 2, 1, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := NewRecorder(map[string]*Bucket{"a": NewBucket(1, 2, t0)})
			for _, ok := range c.calls {
				within, left := r.TakeToken("a", t0)
				call := Call{Account: "a", Kind: KindTurn, WithinRate: within, TokensLeft: left, Complete: ok}
				if !ok {
					call.Verdict, call.Reason = "not-run", "rate_limited"
				}
				r.RecordCall(call)
			}
			r.RecordProgram(Program{Account: "a"})
			all, accounts := ComputeStats(r.calls, r.programs, time.Second)
			is.Equal(accounts[0].CallsWithinRate, c.within)
			is.Equal(accounts[0].RefusalsWithinRate, c.refusedWithin)
			is.Equal(all.RefusalsWithinRate, c.refusedWithin)
			is.Equal(all.Refusals["rate_limited"], c.all)
			is.True(all.MaxTokensAtRefusal <= 2)
			is.Equal(all.MaxTokensAtRefusal == 2, !c.calls[0])
		})
	}
}

func TestComputeStats(t *testing.T) {
	is := is.New(t)
	calls := []Call{
		{Account: "a", Complete: true, PromptTokens: 100, CachedTokens: 0, CacheableTokens: 0,
			FirstToken: 10 * time.Millisecond},
		{Account: "a", Complete: true, PromptTokens: 300, CachedTokens: 150, CacheableTokens: 200, CompletionTokens: 40},
		{Account: "a", Complete: true, PromptTokens: 300, CacheableTokens: 200, Replayed: true},
		{Account: "b", Complete: true, PromptTokens: 100, CachedTokens: 100, CacheableTokens: 100},
		{Account: "b", Verdict: "may-have-run", Reason: "truncated"},
	}
	programs := []Program{
		{Account: "a", Latency: time.Second}, {Account: "a", Latency: 3 * time.Second},
		{Account: "b", Latency: 9 * time.Second, Failed: true, Reason: "deadline_exceeded"},
	}
	all, accounts := ComputeStats(calls, programs, 2*time.Second)
	is.Equal(len(accounts), 2)
	is.Equal(accounts[0].WastedCache, 50.0/400) // the replayed response used no engine
	is.Equal(accounts[1].WastedCache, 0.0)
	is.Equal(all.WastedCache, 0.1)
	is.Equal(all.Goodput, 1.0)
	is.Equal(all.OutputRate, 20.0)
	is.Equal(all.FailuresByReason["deadline_exceeded"], 1)
	is.Equal(all.Failures["truncated"], 1)
	is.True(math.Abs(all.Latency.P50-3000) < 5)
	is.True(math.Abs(all.Latency.P99-9000) < 10)
	is.Equal(WorstServed(accounts).Account, "b")
	is.Equal(WorstServed(accounts, "b").Account, "a")
}

func TestComparison(t *testing.T) {
	is := is.New(t)
	result := func(policy string, p95, wasted float64) Result {
		f := Stats{Programs: 1, Latency: Quantiles{P95: p95}, WastedCache: wasted}
		account := f
		account.Account = "a"
		return Result{Policy: policy, All: f, Accounts: []Stats{account}}
	}
	c := Comparison{Profile: "p", Results: []Result{result("old", 1000, 0.3), result("new", 400, 0.06)}}
	ratios := c.Ratios()
	is.Equal(len(ratios), 1)
	is.Equal(ratios[0].P95, 0.4)
	is.Equal(ratios[0].WorstAccountP95, 0.4)
	is.True(math.Abs(ratios[0].WastedCache-0.2) < 1e-9)
	is.Equal(ratios[0].Goodput, 0.0) // the other goodput is zero
	var table bytes.Buffer
	is.NoErr(c.WriteTable(&table))
	is.True(strings.Contains(table.String(), "ratio to old"))
	for _, name := range []string{"plot.svg", "plot.png"} {
		path := filepath.Join(t.TempDir(), name)
		is.NoErr(c.SavePlot(path))
		info, err := os.Stat(path)
		is.NoErr(err)
		is.True(info.Size() > 0)
	}
}

func TestEffectOutcome(t *testing.T) {
	is := is.New(t)
	e := Effect{Outcome: verdict.NotRun}
	e.AddResponse(false, &verdict.Error{Verdict: verdict.NotRun})
	is.Equal(e.Outcome, verdict.NotRun)
	e.AddResponse(false, &verdict.Error{Verdict: verdict.MayHaveRun})
	is.Equal(e.Outcome, verdict.MayHaveRun)
	e.AddResponse(false, &verdict.Error{Verdict: verdict.NotRun}) // the retry did not run, but the first attempt may have
	is.Equal(e.Outcome, verdict.MayHaveRun)
	e.AddResponse(true, nil)
	is.Equal(e.Outcome, verdict.Ran)
}
