// Command berylfakes runs stand-ins for the platform and for backend servers.
//
// Each subcommand listens on one address, prints one line of JSON with the bound address when it is ready, and ends on
// SIGTERM or SIGINT.
package main

import (
	"os"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"
)

func main() {
	root := &cobra.Command{
		Use:           "berylfakes",
		Short:         "Stand-ins for the platform and for backend servers",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(engineCommand(), serviceCommand(), toolCommand(), logCommand(), instancesCommand(), weightsCommand())
	if err := root.Execute(); err != nil {
		klog.ErrorS(err, "Stand-in failed")
		os.Exit(1)
	}
}
