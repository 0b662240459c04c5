package main

import (
	"github.com/dustin/go-humanize"
	"github.com/spf13/cobra"

	"github.com/berylpond/berylpond/internal/fakes/weights"
)

func weightsCommand() *cobra.Command {
	c := &cobra.Command{Use: "weights", Short: "Run a fake weight store with a rate limit", Args: cobra.NoArgs}
	f := c.Flags()
	listen := listenFlag(c)
	perSecond := f.String("rate", "256MiB", "bytes per second in total over all readers")
	readers := f.Int("max-readers", 0, "maximum number of concurrent readers, further ones get 429; 0 means unlimited")
	c.RunE = func(*cobra.Command, []string) error {
		bytes, err := humanize.ParseBytes(*perSecond)
		if err != nil {
			return err
		}
		return serve("weights", *listen, weights.New(weights.WithRate(float64(bytes)), weights.WithMaxReaders(*readers)))
	}
	return c
}
