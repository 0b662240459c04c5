package main

import (
	"github.com/spf13/cobra"

	"github.com/berylpond/berylpond/internal/fakes/service"
)

func serviceCommand() *cobra.Command {
	c := &cobra.Command{Use: "service", Short: "Run a fake service that counts its executions", Args: cobra.NoArgs}
	listen := listenFlag(c)
	latency := c.Flags().Duration("latency", 0, "latency of each call")
	c.RunE = func(*cobra.Command, []string) error {
		return serve("service", *listen, service.New(service.WithLatency(*latency)))
	}
	return c
}
