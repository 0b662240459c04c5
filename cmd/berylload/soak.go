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
		Use: "soak", Short: "Run programs under random faults and check the outcomes reported to callers", Args: cobra.NoArgs,
		Long: `soak runs programs while injecting random faults: daemons are killed, frozen and shut down, the log becomes
unavailable, engines and services fail. It checks the order and history of programs, that responses are complete, that
non-idempotent calls run at most once, the rate and burst of each account over every time window, that engines release
their memory, and the invariants that the daemons check themselves.

It prints the seed and counts and exits with code 1 on any violation.`,
		Example: "  berylload soak --seed 7 --duration 60s",
	}
	f := &commonFlags{}
	f.register(c, 30*time.Second, 0.4)
	gap := c.Flags().Duration("gap", 2*time.Second, "mean time between faults")
	kinds := c.Flags().StringSlice("kinds", nil, "kinds of faults to inject; if empty, all")
	c.RunE = func(c *cobra.Command, _ []string) error {
		p, w, err := f.loadWorkload()
		if err != nil {
			return err
		}
		bin, cleanup, err := f.binaryDir(c.Context())
		if err != nil {
			return err
		}
		defer cleanup()
		o := soak.Options{Options: w, Bin: bin, MeanInterval: *gap, OnFault: func(x load.Fault) {
			klog.InfoS("Fault", "kind", x.Kind, "target", x.Target, "duration", x.Duration)
		}}
		for _, k := range *kinds {
			o.Kinds = append(o.Kinds, load.FaultKind(k))
		}
		result, err := soak.Run(c.Context(), p, o)
		if err != nil {
			return err
		}
		result.WriteText(c.OutOrStdout())
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
