package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/berylpond/berylpond/internal/fakes/logsvc"
)

func logCommand() *cobra.Command {
	c := &cobra.Command{Use: "log", Short: "Run a fake append-only log service", Args: cobra.NoArgs}
	f := c.Flags()
	listen := listenFlag(c)
	age := f.Duration("retention", time.Hour, "retention time of records; 0 means unlimited")
	count := f.Int("retention-records", 0, "maximum number of records retained per stream; 0 means unlimited")
	limit := f.Float64("append-limit", 400, "appends per second in total over all streams; 0 means unlimited")
	latency := f.Duration("latency", 0, "latency added to each request")
	c.RunE = func(*cobra.Command, []string) error {
		return serve("log", *listen, logsvc.New(
			logsvc.WithRetention(*age, *count), logsvc.WithAppendLimit(*limit), logsvc.WithLatency(*latency),
		))
	}
	return c
}
