package ctl

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of berylctl",
		Args:  args(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
			}
			if a.output == outputJSON {
				return a.printJSON(versionResult{Version: version})
			}
			_, err := fmt.Fprintln(a.out, version)
			return err
		},
	}
}

type versionResult struct {
	Version string `json:"version"`
}
