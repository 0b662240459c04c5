// Command berylfakes runs fake platform services and fake backend servers for tests and load runs.
//
// Each subcommand listens on one address, prints one line of JSON with the bound address when it is ready, and exits on
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
		Short:         "Run fake platform services and fake backend servers",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(engineCommand(), serviceCommand(), toolCommand(), logCommand(), instancesCommand(), weightsCommand())
	if err := root.Execute(); err != nil {
		klog.ErrorS(err, "Fake server failed")
		os.Exit(1)
	}
}
