package main

import (
	"time"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/load"
)

func compareCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "compare", Short: "Compare scheduling policies on the same workloads", Args: cobra.NoArgs,
		Example: "  berylload compare --profile tsurumaki --seed 7 --duration 15s --slices 2 --json figures.json --plot latency.svg",
	}
	f := &commonFlags{}
	f.register(c, 15*time.Second, 0.85)
	fs := c.Flags()
	policies := fs.StringSlice("settings", []string{"fifo-round-robin", "least-loaded", "berylpond"}, "scheduling policies; ratios compare the last one with each of the others")
	floods := fs.StringSlice("without-flood", nil, "also run the last policy with the flooding accounts \"absent\" or at their \"usual load\"")
	slices := fs.Int("slices", 1, "number of runs of each policy; the seed increases by one with each slice")
	plot := fs.String("plot", "", "output file for a plot, .svg or .png")
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
		var variants []load.Variant
		for i, policy := range *policies {
			if i == len(*policies)-1 {
				for _, mode := range *floods {
					variants = append(variants, load.Variant{Policy: policy, Flood: load.FloodMode(mode)})
				}
			}
			variants = append(variants, load.Variant{Policy: policy})
		}
		result, err := load.Compare(c.Context(), p, load.CompareOptions{
			Options: load.Options{Options: w, Bin: bin}, Variants: variants, Slices: *slices,
			OnSlice: func(slice int, s load.Variant) { klog.InfoS("Starting slice", "slice", slice, "setting", s.String()) },
		})
		if err != nil {
			return err
		}
		if err := result.WriteTable(c.OutOrStdout()); err != nil {
			return err
		}
		if *plot != "" {
			if err := result.SavePlot(*plot); err != nil {
				return err
			}
		}
		return f.writeJSON(result)
	}
	return c
}
