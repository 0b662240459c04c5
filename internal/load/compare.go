package load

import (
	"context"
	"slices"
	"time"

	"github.com/berylpond/berylpond/internal/load/report"
	"github.com/berylpond/berylpond/internal/load/site"
	"github.com/berylpond/berylpond/internal/load/workload"
)

// Setting is one of the things compared.
type Setting struct {
	// Policy is the daemons' scheduling policy.
	Policy string
	// Flood is what flooding accounts do.
	Flood FloodMode
}

// FloodMode is what flooding accounts do in a setting.
type FloodMode string

// Modes of flooding accounts.
const (
	// FloodOn sends several times the rate.
	FloodOn FloodMode = ""
	// FloodNormal sends the account's usual load.
	FloodNormal FloodMode = "usual load"
	// FloodAbsent sends nothing.
	FloodAbsent FloodMode = "absent"
)

// String names the setting in a report.
func (s Setting) String() string {
	if s.Flood == FloodOn {
		return s.Policy
	}
	return s.Policy + ", flooding account: " + string(s.Flood)
}

// options returns those of a run of the setting.
func (s Setting) options(o Options) Options {
	o.Policy = s.Policy
	switch s.Flood {
	case FloodNormal:
		o.Flood = nil
	case FloodAbsent:
		absent := map[string]float64{}
		for account := range o.Flood {
			absent[account] = 0
		}
		o.Flood = absent
	}
	return o
}

// CompareOptions choose a comparison.
type CompareOptions struct {
	Options
	// Settings are run side by side; ratios are of the last to the others.
	Settings []Setting
	// Slices is the number of times that each setting runs.
	Slices int
	// Progress, if set, is called before each slice.
	Progress func(slice int, setting Setting)
}

// records gathers what callers saw in the slices of one setting.
type records struct {
	calls    []report.Call
	programs []report.Program
	result   report.Result
}

// Compare runs the settings side by side: each slice runs every one of them on the same workload, each on a site of its own
// that starts afresh, and the order turns from slice to slice.
func Compare(ctx context.Context, p *workload.Profile, o CompareOptions) (*report.Comparison, error) {
	all := make([]records, len(o.Settings))
	for slice := range o.Slices {
		one := o.Options
		one.Seed = o.Seed + uint64(slice)
		for i := range o.Settings {
			n := (i + slice) % len(o.Settings)
			if o.Progress != nil {
				o.Progress(slice, o.Settings[n])
			}
			if err := all[n].slice(ctx, p, o.Settings[n].options(one)); err != nil {
				return nil, err
			}
		}
	}
	c := &report.Comparison{Profile: p.Name, Seed: o.Seed, Slices: o.Slices, SliceSeconds: o.Duration.Seconds()}
	for account := range o.Flood {
		c.Flooding = append(c.Flooding, account)
	}
	slices.Sort(c.Flooding)
	for i := range all {
		c.Results = append(c.Results, all[i].finish(o.Settings[i].String()))
	}
	return c, nil
}

// slice runs one setting once and adds what its callers saw.
func (a *records) slice(ctx context.Context, p *workload.Profile, o Options) error {
	w := workload.Generate(p, o.Options)
	s, err := site.Start(ctx, p, w.Limits, site.Options{Bin: o.Bin, Policy: o.Policy})
	if err != nil {
		return err
	}
	defer s.Close()
	m, err := measureSite(ctx, s, p, w, o)
	if err != nil {
		return err
	}
	a.add(m)
	return nil
}

func (a *records) add(m *measured) {
	r := &a.result
	a.calls, a.programs = append(a.calls, m.calls...), append(a.programs, m.programs...)
	seconds, calls := r.Seconds, float64(len(a.calls)-len(m.calls))
	d, n := &r.Daemons, m.result.Daemons
	total := seconds + m.result.Seconds
	d.CPUCores = (d.CPUCores*seconds + n.CPUCores*m.result.Seconds) / total
	d.ControlBytes = (d.ControlBytes*seconds + n.ControlBytes*m.result.Seconds) / total
	if len(a.calls) > 0 {
		d.CPUPerCall = (d.CPUPerCall*calls + n.CPUPerCall*float64(len(m.calls))) / float64(len(a.calls))
	}
	d.Count, d.MemoryBytes = max(d.Count, n.Count), max(d.MemoryBytes, n.MemoryBytes)
	d.Retries, d.Attempts = d.Retries+n.Retries, d.Attempts+n.Attempts
	r.Violations = append(r.Violations, m.result.Violations...)
	r.Profile, r.LoadCached, r.LoadUncached = m.result.Profile, m.result.LoadCached, m.result.LoadUncached
	r.Seconds = total
	if r.Seed == 0 {
		r.Seed = m.result.Seed
	}
}

func (a *records) finish(policy string) report.Result {
	r := a.result
	r.Policy = policy
	r.All, r.Accounts = report.Compute(a.calls, a.programs, time.Duration(r.Seconds*float64(time.Second)))
	return r
}
