package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/berylpond/berylpond/internal/fakes/instances"
)

func instancesCommand() *cobra.Command {
	c := &cobra.Command{Use: "instances", Short: "Run a fake instance list with a delay", Args: cobra.NoArgs}
	listen := listenFlag(c)
	lag := c.Flags().Duration("lag", time.Second, "age of the reported list")
	c.RunE = func(*cobra.Command, []string) error {
		return serve("instances", *listen, instances.New(instances.WithLag(*lag)))
	}
	return c
}
