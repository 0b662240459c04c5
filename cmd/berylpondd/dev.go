package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/berylpond/berylpond/internal/dev"
	"github.com/berylpond/berylpond/internal/logging"
)

func devCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "dev", Short: "Run a small site with fake platform services and backend servers in one process", Args: cobra.NoArgs,
		Example: "  berylpondd dev\n  berylpondd dev --callers 127.0.0.1:0",
	}
	callers := c.Flags().String("callers", "127.0.0.1:8080", "address that callers connect to")
	peers := c.Flags().String("peers", "127.0.0.1:7070", "address that operators and other instances connect to")
	verbosity := c.Flags().IntP("verbosity", "v", 0, "log verbosity")
	c.RunE = func(c *cobra.Command, _ []string) error {
		logging.Setup(os.Stderr, "local-0", *verbosity)
		site, err := dev.Start(c.Context(), dev.Options{CallerAddress: *callers, PeerAddress: *peers})
		if err != nil {
			return err
		}
		defer site.Close()
		site.PrintExamples(c.OutOrStdout())
		<-c.Context().Done()
		return nil
	}
	return c
}
