package ctl

import (
	"context"

	"github.com/spf13/cobra"

	adminv1 "github.com/berylpond/berylpond/api/admin/v1"
)

func (a *app) instanceDrain() *cobra.Command {
	return &cobra.Command{
		Use:     "drain",
		Short:   "Start the graceful shutdown of the instance given by --instance",
		Example: "  berylctl instance drain --instance 10.1.0.4:7070",
		Args:    args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !cmd.Flags().Changed("instance") {
				return usagef("--instance is required: the instance to shut down")
			}
			return a.callAdmin(cmd, func(ctx context.Context, c adminv1.AdminClient) error {
				resp, err := c.DrainInstance(ctx, &adminv1.DrainInstanceRequest{})
				if err != nil {
					return err
				}
				return a.printMessage(resp, func(t table) { t.row(a.instance + " is draining") })
			})
		},
	}
}
