package ctl

import (
	"context"

	"github.com/spf13/cobra"

	adminv1 "github.com/berylpond/berylpond/api/admin/v1"
)

func (a *app) backendList() *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the backend servers known to the instance",
		Example: "  berylctl backend list -o json",
		Args:    args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.callAdmin(cmd, func(ctx context.Context, c adminv1.AdminClient) error {
				resp, err := c.ListBackends(ctx, &adminv1.ListBackendsRequest{})
				if err != nil {
					return err
				}
				return a.printMessage(resp, func(t table) {
					t.row("ADDRESS", "DATA CENTRE", "POOL", "STATE", "IN FLIGHT", "WAITING")
					for _, b := range resp.Backends {
						t.row(b.Address, b.DataCentre, b.Pool, b.State, b.InFlight, b.Waiting)
					}
				})
			})
		},
	}
}
