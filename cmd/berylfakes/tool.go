package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/berylpond/berylpond/internal/fakes/tool"
)

func toolCommand() *cobra.Command {
	c := &cobra.Command{Use: "tool", Short: "Run a fake tool service", Args: cobra.NoArgs}
	listen := listenFlag(c)
	latency := c.Flags().Duration("latency", 100*time.Millisecond, "default latency of a call")
	c.RunE = func(*cobra.Command, []string) error {
		return serve("tool", *listen, tool.New(tool.WithLatency(*latency)))
	}
	return c
}
