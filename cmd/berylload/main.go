// Command berylload runs workloads of whole programs against sites and measures latency, refusals and errors on the
// caller's side.
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

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cobra.Command{
		Use:   "berylload",
		Short: "Load generator and experiments for berylpond",
		Long: `berylload runs seeded workloads of whole programs against sites and measures latency, refusals and errors on
the caller's side.

Exit codes: 0 on success, 1 if a run failed or a guarantee was violated.`,
		SilenceUsage: true, SilenceErrors: true, Version: buildinfo.Version(),
	}
	root.AddCommand(runCommand(), compareCommand(), soakCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "berylload: %v\n", err)
		os.Exit(1)
	}
}
