package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/dustin/go-humanize"
)

// Daemons holds the resource usage of all daemons during a run.
type Daemons struct {
	Count int `json:"count"`
	// CPUCores is the mean number of CPU cores in use: CPU time divided by clock time.
	CPUCores float64 `json:"cpu_cores"`
	// CPUPerCall is the CPU time per call, in milliseconds.
	CPUPerCall float64 `json:"cpu_ms_per_call"`
	// MemoryBytes is the resident memory of the largest daemon.
	MemoryBytes float64 `json:"largest_memory_bytes"`
	// ControlBytes is the bytes per second sent between instances; zero if the daemons export no metric for them.
	ControlBytes float64 `json:"control_bytes_per_second"`
	// Attempts counts requests to backend servers, Retries calls that were retried on a second backend server.
	Retries  float64 `json:"retries"`
	Attempts float64 `json:"attempts"`
}

// Result holds the statistics and violations of one run.
type Result struct {
	Profile      string      `json:"profile"`
	Policy       string      `json:"policy"`
	Seed         uint64      `json:"seed"`
	LoadCached   float64     `json:"load_every_prefix_cached"`
	LoadUncached float64     `json:"load_no_prefix_cached"`
	Seconds      float64     `json:"seconds"`
	All          Stats       `json:"all"`
	Accounts     []Stats     `json:"accounts"`
	Daemons      Daemons     `json:"daemons"`
	Violations   []Violation `json:"violations,omitempty"`
}

// WriteTable writes the result as a text table.
func (r *Result) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "profile %s, policy %s, seed %d, %.0f s, load %.2f with every prefix cached and %.2f with none\n",
		r.Profile, r.Policy, r.Seed, r.Seconds, r.LoadCached, r.LoadUncached)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "account\tprograms\tfailed\tp50 ms\tp95 ms\tp99 ms\tdelay p95\tTTFT p50\tTTFT p95\twasted\tcalls\trefused\twithin rate\tgoodput/s\t")
	for _, f := range append(slices.Clone(r.Accounts), r.All) {
		name := f.Account
		if name == "" {
			name = "all"
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f%%\t%d\t%d\t%d (%.2f%%)\t%.2f\t\n",
			name, f.Programs, f.Failed, f.Latency.P50, f.Latency.P95, f.Latency.P99, f.Delay.P95, f.FirstToken.P50, f.FirstToken.P95,
			100*f.WastedCache, f.Calls, sumCounts(f.Refusals), f.RefusalsWithinRate, 100*f.RefusalsWithinRateFraction(),
			f.Goodput)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "refusals: %s; failures: %s; failed programs: %s\n", formatCounts(r.All.Refusals), formatCounts(r.All.Failures), formatCounts(r.All.FailuresByReason))
	if r.All.MaxTokensAtRefusal > 0 {
		fmt.Fprintf(w, "most tokens of an account at a refusal for its rate: %.2f\n", r.All.MaxTokensAtRefusal)
	}
	d := r.Daemons
	control := "control bytes not measured"
	if d.ControlBytes > 0 {
		control = "control " + humanize.IBytes(uint64(d.ControlBytes)) + "/s"
	}
	fmt.Fprintf(w, "%d daemons: %.2f cores, %.1f ms of CPU a call, largest memory %s, %s; retries %.0f of %.0f requests to backend servers\n",
		d.Count, d.CPUCores, d.CPUPerCall, humanize.IBytes(uint64(d.MemoryBytes)), control, d.Retries, d.Attempts)
	for i, v := range r.Violations {
		if i == maxListedViolations {
			fmt.Fprintf(w, "and %d further violations\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(w, "VIOLATION %s: %s\n", v.Kind, v.Detail)
	}
	return nil
}

// maxListedViolations is the maximum number of violations that are listed below the table.
const maxListedViolations = 20

func sumCounts(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

func formatCounts(m map[string]int) string {
	if len(m) == 0 {
		return "none"
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(parts, ", ")
}
