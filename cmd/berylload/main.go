// Command berylload drives sites with workloads of whole programs and measures what their callers see.
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
		Long: `berylload drives sites with seeded workloads of whole programs and measures what their callers see.

Exit codes: 0 when all went well, 1 when a run failed or a promise was seen broken.`,
		SilenceUsage: true, SilenceErrors: true, Version: buildinfo.Version(),
	}
	root.AddCommand(runCommand(), compareCommand(), soakCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "berylload: %v\n", err)
		os.Exit(1)
	}
}
