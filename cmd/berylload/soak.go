package main

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/load"
	"github.com/berylpond/berylpond/internal/load/soak"
)

func soakCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "soak", Short: "Run programs while faults come at random and check what callers were told", Args: cobra.NoArgs,
		Long: `soak runs programs while faults come at random: daemons are killed, frozen and shut down, the log goes away,
engines and services fail. At the end it checks the callers' view: order and history of programs, whole answers, effects
that must happen once, rate and burst of each account over every window, memory of engines, and the daemons' own checks.

It prints seed and counts and exits with 1 on any violation.`,
		Example: "  berylload soak --seed 7 --duration 60s",
	}
	f := &common{}
	f.register(c, 30*time.Second, 0.4)
	gap := c.Flags().Duration("gap", 2*time.Second, "mean time between faults")
	kinds := c.Flags().StringSlice("kinds", nil, "kinds of faults; none means all")
	c.RunE = func(c *cobra.Command, _ []string) error {
		p, w, err := f.workload()
		if err != nil {
			return err
		}
		bin, remove, err := f.binaries(c.Context())
		if err != nil {
			return err
		}
		defer remove()
		o := soak.Options{Options: w, Bin: bin, MeanGap: *gap, Progress: func(x load.Fault) {
			klog.InfoS("Fault", "kind", x.Kind, "target", x.Target, "duration", x.Duration)
		}}
		for _, k := range *kinds {
			o.Kinds = append(o.Kinds, load.FaultKind(k))
		}
		result, err := soak.Run(c.Context(), p, o)
		if err != nil {
			return err
		}
		result.Write(c.OutOrStdout())
		if err := f.writeJSON(result); err != nil {
			return err
		}
		if n := len(result.Violations); n > 0 {
			return errors.Newf("%d violations", n)
		}
		return nil
	}
	return c
}
