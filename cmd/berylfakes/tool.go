package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/berylpond/berylpond/internal/fakes/tool"
)

func toolCommand() *cobra.Command {
	c := &cobra.Command{Use: "tool", Short: "Tool service of agents", Args: cobra.NoArgs}
	listen := listenFlag(c)
	latency := c.Flags().Duration("latency", 100*time.Millisecond, "time of calls that do not give their own")
	c.RunE = func(*cobra.Command, []string) error {
		return serve("tool", *listen, tool.New(tool.WithLatency(*latency)))
	}
	return c
}
