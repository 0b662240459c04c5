package ctl

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	adminv1 "github.com/berylpond/berylpond/api/admin/v1"
)

func (a *app) engineOrders() *cobra.Command {
	return &cobra.Command{
		Use:     "orders",
		Short:   "List the orders to the model engines in the instance's data centre",
		Example: "  berylctl engine orders -o json",
		Args:    args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.callAdmin(cmd, func(ctx context.Context, c adminv1.AdminClient) error {
				resp, err := c.ListOrders(ctx, &adminv1.ListOrdersRequest{})
				if err != nil {
					return err
				}
				return a.printMessage(resp, func(t table) {
					t.row("TIME", "ENGINE", "KIND", "NAME", "FENCE", "OUTCOME", "DETAIL")
					for _, o := range resp.Orders {
						t.row(time.UnixMilli(o.UnixMs).UTC().Format(time.RFC3339), o.Engine, o.Kind, o.Name, o.Fence, o.Outcome, o.Detail)
					}
				})
			})
		},
	}
}
