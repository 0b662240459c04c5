package load

import (
	"context"
	"slices"
	"time"

	"github.com/berylpond/berylpond/internal/load/report"
	"github.com/berylpond/berylpond/internal/load/site"
	"github.com/berylpond/berylpond/internal/load/workload"
)

// Variant is one of the configurations that Compare runs.
type Variant struct {
	// Policy is the daemons' scheduling policy.
	Policy string
	// Flood is the load of the flooding accounts.
	Flood FloodMode
}

// FloodMode is the load that flooding accounts send.
type FloodMode string

// Modes of flooding accounts.
const (
	// FloodMultiple sends a multiple of the account's rate.
	FloodMultiple FloodMode = ""
	// FloodUsualLoad sends the account's usual load.
	FloodUsualLoad FloodMode = "usual load"
	// FloodAbsent sends nothing.
	FloodAbsent FloodMode = "absent"
)

// String names the setting in a report.
func (s Variant) String() string {
	if s.Flood == FloodMultiple {
		return s.Policy
	}
	return s.Policy + ", flooding account: " + string(s.Flood)
}

// options returns o adapted to the setting.
func (s Variant) options(o Options) Options {
	o.Policy = s.Policy
	switch s.Flood {
	case FloodUsualLoad:
		o.FloodFactors = nil
	case FloodAbsent:
		absent := map[string]float64{}
		for account := range o.FloodFactors {
			absent[account] = 0
		}
		o.FloodFactors = absent
	}
	return o
}

// CompareOptions configure Compare.
type CompareOptions struct {
	Options
	// Variants are the settings to compare; ratios compare the last one with each of the others.
	Variants []Variant
	// Slices is the number of runs of each setting.
	Slices int
	// OnSlice, if set, is called before each slice.
	OnSlice func(slice int, variant Variant)
}

// settingRecords accumulates the records of all slices of one setting.
type settingRecords struct {
	calls    []report.Call
	programs []report.Program
	result   report.Result
}

// Compare runs every setting once in each slice, on the same workload and each on a newly started site. The order of
// the settings rotates from slice to slice.
func Compare(ctx context.Context, p *workload.Profile, o CompareOptions) (*report.Comparison, error) {
	perSetting := make([]settingRecords, len(o.Variants))
	for slice := range o.Slices {
		opts := o.Options
		opts.Seed = o.Seed + uint64(slice)
		for i := range o.Variants {
			n := (i + slice) % len(o.Variants)
			if o.OnSlice != nil {
				o.OnSlice(slice, o.Variants[n])
			}
			if err := perSetting[n].runSlice(ctx, p, o.Variants[n].options(opts)); err != nil {
				return nil, err
			}
		}
	}
	c := &report.Comparison{Profile: p.Name, Seed: o.Seed, Slices: o.Slices, SliceSeconds: o.Duration.Seconds()}
	for account := range o.FloodFactors {
		c.Flooding = append(c.Flooding, account)
	}
	slices.Sort(c.Flooding)
	for i := range perSetting {
		c.Results = append(c.Results, perSetting[i].summarize(o.Variants[i].String()))
	}
	return c, nil
}

// runSlice runs one setting once and adds its records.
func (rec *settingRecords) runSlice(ctx context.Context, p *workload.Profile, o Options) error {
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
	rec.addMeasurement(m)
	return nil
}

func (rec *settingRecords) addMeasurement(m *measurement) {
	r := &rec.result
	rec.calls, rec.programs = append(rec.calls, m.calls...), append(rec.programs, m.programs...)
	seconds, calls := r.Seconds, float64(len(rec.calls)-len(m.calls))
	d, n := &r.Daemons, m.result.Daemons
	total := seconds + m.result.Seconds
	d.CPUCores = (d.CPUCores*seconds + n.CPUCores*m.result.Seconds) / total
	d.ControlBytes = (d.ControlBytes*seconds + n.ControlBytes*m.result.Seconds) / total
	if len(rec.calls) > 0 {
		d.CPUPerCall = (d.CPUPerCall*calls + n.CPUPerCall*float64(len(m.calls))) / float64(len(rec.calls))
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

func (rec *settingRecords) summarize(policy string) report.Result {
	r := rec.result
	r.Policy = policy
	r.All, r.Accounts = report.ComputeStats(rec.calls, rec.programs, time.Duration(r.Seconds*float64(time.Second)))
	return r
}
