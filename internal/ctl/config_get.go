package ctl

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
)

func (a *app) configGet() *cobra.Command {
	return &cobra.Command{
		Use:     "get TEAM",
		Short:   "Print the current document, and its version on standard error",
		Example: "  berylctl config get nile-current > doc.toml",
		Args:    args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.callConfig(cmd, func(ctx context.Context, c configv1.AdminClient) error {
				resp, err := c.Get(ctx, &configv1.GetRequest{Team: args[0]})
				if err != nil {
					return err
				}
				if a.output == outputJSON {
					return a.printMessage(resp, nil)
				}
				fmt.Fprintf(a.err, "version %d\n", resp.Version)
				_, err = a.out.Write(resp.Document)
				return err
			})
		},
	}
}
