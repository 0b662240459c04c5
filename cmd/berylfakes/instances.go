package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/berylpond/berylpond/internal/fakes/instances"
)

func instancesCommand() *cobra.Command {
	c := &cobra.Command{Use: "instances", Short: "Lagging list of instances", Args: cobra.NoArgs}
	listen := listenFlag(c)
	lag := c.Flags().Duration("lag", time.Second, "age of the list that is reported")
	c.RunE = func(*cobra.Command, []string) error {
		return serve("instances", *listen, instances.New(instances.WithLag(*lag)))
	}
	return c
}
