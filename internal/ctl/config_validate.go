package ctl

import (
	"fmt"

	"github.com/spf13/cobra"
)

func (a *app) configValidate() *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Validate a document and print every error with its line",
		Long: `Validate a document of a team and print every error with its line.

For a configuration of the users' platform see "berylctl platform check".`,
		Example: "  berylctl config validate nile-current.toml",
		Args:    args(cobra.ExactArgs(1)),
		RunE: func(_ *cobra.Command, args []string) error {
			_, d, err := readDocument(args[0])
			if err != nil {
				return err
			}
			if a.output == outputJSON {
				return a.printJSON(validResult{Team: d.Team, Digest: d.Digest()})
			}
			fmt.Fprintf(a.out, "%s: valid, digest %s\n", d.Team, d.Digest()[:12])
			return nil
		},
	}
}

type validResult struct {
	Team   string `json:"team"`
	Digest string `json:"digest"`
}
