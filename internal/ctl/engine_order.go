package ctl

import (
	"context"

	"github.com/spf13/cobra"

	adminv1 "github.com/berylpond/berylpond/api/admin/v1"
)

func (a *app) engineOrder() *cobra.Command {
	var author string
	c := &cobra.Command{
		Use:   "order ADDRESS load_model|load_adapter|set_role NAME",
		Short: "Order a model engine in the instance's data centre to load a model or adapter or to change its role",
		Example: "  berylctl engine order 10.1.0.20:8000 load_model small\n" +
			"  berylctl engine order 10.1.0.20:8000 set_role decode",
		Args: args(cobra.ExactArgs(3)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.callAdmin(cmd, func(ctx context.Context, c adminv1.AdminClient) error {
				resp, err := c.OrderEngine(ctx, &adminv1.OrderEngineRequest{Engine: args[0], Kind: args[1], Name: args[2], Author: author})
				if err != nil {
					return err
				}
				return a.printMessage(resp, func(t table) { t.row("order " + resp.Id + " is on the log; see: berylctl engine orders") })
			})
		},
	}
	c.Flags().StringVar(&author, "author", "", "author recorded with the order")
	return c
}
