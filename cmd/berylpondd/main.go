// Command berylpondd is the daemon of an entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/berylpond/berylpond/internal/buildinfo"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cobra.Command{
		Use:   "berylpondd",
		Short: "Entry instance of berylpond, a scheduler for agent programs",
		Long: `berylpondd runs one entry instance of berylpond.

Exit codes: 0 after a graceful shutdown, 1 if the daemon failed, 2 if the command line or the settings are invalid.`,
		SilenceUsage: true, SilenceErrors: true, Version: buildinfo.Version(),
	}
	root.AddCommand(runCommand(), platformCommand(), devCommand(), checkCommand(), versionCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "berylpondd: %v\n", err)
		os.Exit(exitCode(err))
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), buildinfo.Version()) },
	}
}
