package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/berylpond/berylpond/internal/fakes/logsvc"
)

func logCommand() *cobra.Command {
	c := &cobra.Command{Use: "log", Short: "Append-only log service", Args: cobra.NoArgs}
	f := c.Flags()
	listen := listenFlag(c)
	age := f.Duration("retention", time.Hour, "time for which records are kept; 0 is for ever")
	count := f.Int("retention-records", 0, "records of a stream that are kept; 0 is all")
	limit := f.Float64("append-limit", 400, "appends per second of all streams together; 0 is no limit")
	latency := f.Duration("latency", 0, "time added to each request")
	c.RunE = func(*cobra.Command, []string) error {
		return serve("log", *listen, logsvc.New(
			logsvc.WithRetention(*age, *count), logsvc.WithAppendLimit(*limit), logsvc.WithLatency(*latency),
		))
	}
	return c
}
