package report

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Comparison holds the results of several scheduling policies on the same workloads.
type Comparison struct {
	Profile      string  `json:"profile"`
	Seed         uint64  `json:"seed"`
	Slices       int     `json:"slices"`
	SliceSeconds float64 `json:"slice_seconds"`
	// Flooding lists the accounts that send a multiple of their rate.
	Flooding []string `json:"flooding,omitempty"`
	// Results are in the order of the policies; ratios compare the last one with each of the others.
	Results []Result `json:"results"`
}

// PolicyRatios holds the statistics of the last policy divided by those of another one.
type PolicyRatios struct {
	Policy          string  `json:"policy"`
	P50             float64 `json:"p50"`
	P95             float64 `json:"p95"`
	P99             float64 `json:"p99"`
	DelayP95        float64 `json:"delay_p95"`
	FirstToken      float64 `json:"first_token_p95"`
	WastedCache     float64 `json:"wasted_cache"`
	WorstAccountP95 float64 `json:"worst_account_p95"`
	// LargestP95Ratio is the largest ratio of an account's p95 program latency to that of the same account under the
	// other policy, without flooding accounts.
	LargestP95Ratio        float64 `json:"largest_account_p95_ratio"`
	LargestP95RatioAccount string  `json:"largest_account_p95_ratio_account"`
	Goodput                float64 `json:"goodput"`
}

// Ratios compares the last result with each of the others.
func (c *Comparison) Ratios() []PolicyRatios {
	if len(c.Results) == 0 {
		return nil
	}
	last := &c.Results[len(c.Results)-1]
	var out []PolicyRatios
	for i := range c.Results[:len(c.Results)-1] {
		r := &c.Results[i]
		x := PolicyRatios{
			Policy:          r.Policy,
			P50:             ratio(last.All.Latency.P50, r.All.Latency.P50),
			P95:             ratio(last.All.Latency.P95, r.All.Latency.P95),
			P99:             ratio(last.All.Latency.P99, r.All.Latency.P99),
			FirstToken:      ratio(last.All.FirstToken.P95, r.All.FirstToken.P95),
			WastedCache:     ratio(last.All.WastedCache, r.All.WastedCache),
			WorstAccountP95: ratio(c.worstServed(last).Latency.P95, c.worstServed(r).Latency.P95),
			Goodput:         ratio(last.All.Goodput, r.All.Goodput),
			DelayP95:        ratio(last.All.Delay.P95, r.All.Delay.P95),
		}
		x.LargestP95Ratio, x.LargestP95RatioAccount = c.largestP95Ratio(last, r)
		out = append(out, x)
	}
	return out
}

func (c *Comparison) worstServed(r *Result) Stats { return WorstServed(r.Accounts, c.Flooding...) }

// largestP95Ratio returns the largest ratio of an account's p95 program latency in last to that in r, and the account.
func (c *Comparison) largestP95Ratio(last, r *Result) (largest float64, account string) {
	for _, a := range last.Accounts {
		for _, b := range r.Accounts {
			if a.Account != b.Account || slices.Contains(c.Flooding, a.Account) {
				continue
			}
			if x := ratio(a.Latency.P95, b.Latency.P95); x > largest {
				largest, account = x, a.Account
			}
		}
	}
	return largest, account
}

// ratio returns a/b, or 0 if b is zero.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// WriteTable writes the comparison as text tables.
func (c *Comparison) WriteTable(w io.Writer) error {
	for i := range c.Results {
		if err := c.Results[i].WriteTable(w); err != nil {
			return err
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "profile %s, seed %d, %d slices of %.0f s, flooding: %v\n", c.Profile, c.Seed, c.Slices, c.SliceSeconds, c.Flooding)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tp50 ms\tp95 ms\tp99 ms\tdelay p95\tTTFT p95\twasted\tworst account\tits p95\tfailed\twithin rate\tgoodput/s\t")
	for i := range c.Results {
		r, worst := &c.Results[i], c.worstServed(&c.Results[i])
		fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f%%\t%s\t%.0f\t%d of %d\t%.2f%%\t%.2f\t\n", r.Policy,
			r.All.Latency.P50, r.All.Latency.P95, r.All.Latency.P99, r.All.Delay.P95, r.All.FirstToken.P95, 100*r.All.WastedCache,
			worst.Account, worst.Latency.P95, r.All.Failed, r.All.Programs, 100*r.All.RefusalsWithinRateFraction(),
			r.All.Goodput)
	}
	for _, x := range c.Ratios() {
		fmt.Fprintf(t, "ratio to %s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%s %.2f\t%.2f\t\t\t%.2f\t\n",
			x.Policy, x.P50, x.P95, x.P99, x.DelayP95, x.FirstToken, x.WastedCache, x.LargestP95RatioAccount,
			x.LargestP95Ratio, x.WorstAccountP95, x.Goodput)
	}
	return t.Flush()
}
