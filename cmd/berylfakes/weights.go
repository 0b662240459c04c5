package main

import (
	"github.com/dustin/go-humanize"
	"github.com/spf13/cobra"

	"github.com/berylpond/berylpond/internal/fakes/weights"
)

func weightsCommand() *cobra.Command {
	c := &cobra.Command{Use: "weights", Short: "Rate-limited weight store", Args: cobra.NoArgs}
	f := c.Flags()
	listen := listenFlag(c)
	perSecond := f.String("rate", "256MiB", "bytes per second of all readers together")
	readers := f.Int("max-readers", 0, "readers served together, others get 429; 0 is no limit")
	c.RunE = func(*cobra.Command, []string) error {
		bytes, err := humanize.ParseBytes(*perSecond)
		if err != nil {
			return err
		}
		return serve("weights", *listen, weights.New(weights.WithRate(float64(bytes)), weights.WithMaxReaders(*readers)))
	}
	return c
}
