package ctl

import (
	"context"

	"github.com/spf13/cobra"

	adminv1 "github.com/berylpond/berylpond/api/admin/v1"
)

func (a *app) programShow() *cobra.Command {
	return &cobra.Command{
		Use:     "show ID",
		Short:   "Show one program",
		Example: "  berylctl program show giza-01J9Z",
		Args:    args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.callAdmin(cmd, func(ctx context.Context, c adminv1.AdminClient) error {
				resp, err := c.ShowProgram(ctx, &adminv1.ShowProgramRequest{Id: args[0]})
				if err != nil {
					return err
				}
				return a.printMessage(resp, func(t table) {
					programHeader(t)
					programRow(t, resp.Program)
				})
			})
		},
	}
}
