package ctl

import (
	"context"

	"github.com/spf13/cobra"

	adminv1 "github.com/berylpond/berylpond/api/admin/v1"
)

func (a *app) programCancel() *cobra.Command {
	return &cobra.Command{
		Use:     "cancel ID",
		Short:   "Cancel a program and its calls in flight",
		Example: "  berylctl program cancel giza-01J9Z",
		Args:    args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.callAdmin(cmd, func(ctx context.Context, c adminv1.AdminClient) error {
				resp, err := c.CancelProgram(ctx, &adminv1.CancelProgramRequest{Id: args[0]})
				if err != nil {
					return err
				}
				return a.printMessage(resp, func(t table) { t.row(args[0] + " is " + resp.State) })
			})
		},
	}
}
