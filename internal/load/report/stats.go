package report

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/berylpond/berylpond/internal/verdict"
)

const (
	maxLatencyMicros = int64(time.Hour / time.Microsecond)
	histogramDigits  = 3
)

// Quantiles are quantiles of a duration, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// Stats holds the statistics of one account, or of all accounts together.
type Stats struct {
	Account  string `json:"account"`
	Programs int    `json:"programs"`
	// Failed is the number of programs that did not finish before their deadline; Latency includes them with the time to
	// their deadline.
	Failed           int            `json:"failed"`
	FailuresByReason map[string]int `json:"failed_by_reason,omitempty"`
	Latency          Quantiles      `json:"program_latency"`
	// Delay is the program latency minus the latency on idle engines with every prefix cached.
	Delay      Quantiles `json:"delay"`
	FirstToken Quantiles `json:"first_token"`
	Calls      int       `json:"calls"`
	// WastedCache is the fraction of prompt tokens that were computed although an engine had computed them before.
	WastedCache float64 `json:"wasted_cache"`
	// Refusals counts calls that did not run, by reason; Failures counts calls that may have run.
	Refusals map[string]int `json:"refusals,omitempty"`
	Failures map[string]int `json:"failures,omitempty"`
	// RefusalsWithinRate is the number of calls that rate and burst allowed minus the number that were admitted.
	RefusalsWithinRate int `json:"refused_within_rate"`
	// MaxTokensAtRefusal is the maximum number of tokens in an account's bucket when one of its calls was refused as
	// rate-limited. A value below 2 may be caused by calls that arrived out of order.
	MaxTokensAtRefusal float64 `json:"tokens_at_refusal"`
	// RefusalsByTokens counts the rate-limited calls by the number of whole tokens in the account's bucket.
	RefusalsByTokens map[int]int `json:"refused_at_tokens,omitempty"`
	// CallsWithinRate counts the calls that were within the account's rate and burst.
	CallsWithinRate int `json:"within_rate"`
	// Goodput is the number of programs that finished before their deadline, per second.
	Goodput float64 `json:"goodput"`
	// OutputRate is the number of response tokens per second.
	OutputRate float64 `json:"output_tokens_per_second"`
}

// RefusalsWithinRateFraction returns RefusalsWithinRate over CallsWithinRate.
func (s *Stats) RefusalsWithinRateFraction() float64 {
	if s.CallsWithinRate == 0 {
		return 0
	}
	return float64(s.RefusalsWithinRate) / float64(s.CallsWithinRate)
}

// ComputeStats computes the statistics of all calls and programs together and of every account, ordered by name. span
// is the duration of the run.
func ComputeStats(calls []Call, programs []Program, span time.Duration) (all Stats, accounts []Stats) {
	names := map[string]bool{}
	for _, p := range programs {
		names[p.Account] = true
	}
	for name := range names {
		accounts = append(accounts, accountStats(name, calls, programs, span))
	}
	slices.SortFunc(accounts, func(a, b Stats) int {
		if a.Account < b.Account {
			return -1
		}
		return 1
	})
	all = accountStats("", calls, programs, span)
	all.RefusalsWithinRate = 0
	for i := range accounts {
		all.RefusalsWithinRate += accounts[i].RefusalsWithinRate
	}
	return all, accounts
}

func accountStats(account string, calls []Call, programs []Program, span time.Duration) Stats {
	f := Stats{Account: account, Refusals: map[string]int{}, Failures: map[string]int{}, FailuresByReason: map[string]int{}, RefusalsByTokens: map[int]int{}}
	latency, delay, first := newHistogram(), newHistogram(), newHistogram()
	for _, p := range programs {
		if account == "" || p.Account == account {
			f.addProgram(&p, latency)
			record(delay, p.Latency-p.IdealLatency)
		}
	}
	var prompt, wasted, output int
	for i := range calls {
		c := &calls[i]
		if account != "" && c.Account != account {
			continue
		}
		f.addCall(c, first)
		if c.Complete && !c.Replayed {
			prompt += c.PromptTokens
			output += c.CompletionTokens
			wasted += max(0, c.CacheableTokens-c.CachedTokens)
		}
	}
	f.RefusalsWithinRate = max(0, f.CallsWithinRate-(f.Calls-sumCounts(f.Refusals)))
	if prompt > 0 {
		f.WastedCache = float64(wasted) / float64(prompt)
	}
	f.Latency, f.Delay, f.FirstToken = quantiles(latency), quantiles(delay), quantiles(first)
	if s := span.Seconds(); s > 0 {
		f.Goodput = float64(f.Programs-f.Failed) / s
		f.OutputRate = float64(output) / s
	}
	return f
}

func (s *Stats) addProgram(p *Program, latency *hdrhistogram.Histogram) {
	s.Programs++
	record(latency, p.Latency)
	if p.Failed {
		s.Failed++
		s.FailuresByReason[p.Reason]++
	}
}

func (s *Stats) addCall(c *Call, first *hdrhistogram.Histogram) {
	s.Calls++
	if c.WithinRate {
		s.CallsWithinRate++
	}
	if c.FirstToken > 0 {
		record(first, c.FirstToken)
	}
	switch {
	case c.Refused():
		s.Refusals[c.Reason]++
		if c.WithinRate && c.Reason == string(verdict.ReasonRateLimited) {
			s.MaxTokensAtRefusal = max(s.MaxTokensAtRefusal, c.TokensLeft+1)
			s.RefusalsByTokens[int(c.TokensLeft+1)]++
		}
	case !c.Complete:
		s.Failures[c.Reason]++
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}

// WorstServed returns the statistics of the account with the highest p95 program latency, except those named.
func WorstServed(accounts []Stats, except ...string) Stats {
	worst := Stats{Latency: Quantiles{P95: math.Inf(-1)}}
	for _, a := range accounts {
		if a.Programs > 0 && !slices.Contains(except, a.Account) && a.Latency.P95 > worst.Latency.P95 {
			worst = a
		}
	}
	if worst.Programs == 0 {
		return Stats{}
	}
	return worst
}
