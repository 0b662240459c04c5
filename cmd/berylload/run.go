package main

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/berylpond/berylpond/internal/load"
	"github.com/berylpond/berylpond/internal/load/report"
	"github.com/berylpond/berylpond/internal/load/site"
)

// runFlags holds the flags of the run command.
type runFlags struct {
	commonFlags
	policy  string
	faults  []string
	callers []string
	keys    []string
	model   string
	effects string
}

func runCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "run", Short: "Run one workload against a site and print statistics from the callers' view", Args: cobra.NoArgs,
		Example: `  berylload run --profile nile-current --seed 7 --duration 30s
  berylload run --profile tsurumaki --policy least-loaded --fault kill:2@5s+10s
  berylload run --callers 10.0.1.1:8080,10.0.1.2:8080 --key $KEY --load 0.2`,
	}
	f := &runFlags{}
	f.register(c, 30*time.Second, 0.85)
	fs := c.Flags()
	fs.StringVar(&f.policy, "policy", "berylpond", "scheduling policy of the started site")
	fs.StringArrayVar(&f.faults, "fault", nil, "KIND:TARGET@AT+DURATION: a fault to inject into the started site")
	fs.StringSliceVar(&f.callers, "callers", nil, "addresses of a running site to use instead of starting one")
	fs.StringArrayVar(&f.keys, "key", nil, "KEY or ACCOUNT=KEY: API key for a running site")
	fs.StringVar(&f.model, "model", site.Model, "model name on a running site")
	fs.StringVar(&f.effects, "effects", "", "path of a running site's fake non-idempotent service")
	c.RunE = func(c *cobra.Command, _ []string) error { return f.run(c) }
	return c
}

func (f *runFlags) run(c *cobra.Command) error {
	p, w, err := f.loadWorkload()
	if err != nil {
		return err
	}
	o := load.Options{Options: w, Policy: f.policy}
	for _, text := range f.faults {
		fault, err := load.ParseFault(text)
		if err != nil {
			return err
		}
		o.Faults = append(o.Faults, fault)
	}
	var r *report.Result
	if len(f.callers) > 0 {
		r, err = load.RunOnTarget(c.Context(), f.target(), p, o)
	} else {
		var cleanup func()
		if o.Bin, cleanup, err = f.binaryDir(c.Context()); err != nil {
			return err
		}
		defer cleanup()
		r, err = load.Run(c.Context(), p, o)
	}
	if err != nil {
		return err
	}
	if err := r.WriteTable(c.OutOrStdout()); err != nil {
		return err
	}
	if err := f.writeJSON(r); err != nil {
		return err
	}
	if len(r.Violations) > 0 {
		return errors.Newf("%d violations", len(r.Violations))
	}
	return nil
}

// target returns the running site given by the flags.
func (f *runFlags) target() load.Target {
	t := load.Target{Callers: [][]string{f.callers}, Keys: map[string]string{}, Model: f.model, EffectPath: f.effects}
	for _, text := range f.keys {
		account, key, named := strings.Cut(text, "=")
		if !named {
			account, key = "", text
		}
		t.Keys[account] = key
	}
	return t
}
