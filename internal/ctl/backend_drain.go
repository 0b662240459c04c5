package ctl

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	adminv1 "github.com/berylpond/berylpond/api/admin/v1"
)

func (a *app) backendDrain() *cobra.Command {
	var off bool
	c := &cobra.Command{
		Use:   "drain ADDRESS",
		Short: "Stop sending new work to a backend server from every instance; --off undoes this",
		Example: "  berylctl backend drain 10.1.0.20:8000\n" +
			"  berylctl backend drain 10.1.0.20:8000 --off",
		Args: args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.callAdmin(cmd, func(ctx context.Context, c adminv1.AdminClient) error {
				resp, err := c.DrainBackend(ctx, &adminv1.DrainBackendRequest{Address: args[0], On: !off})
				if err != nil {
					return err
				}
				state := "drained"
				if off {
					state = "in use"
				}
				return a.printMessage(resp, func(t table) { t.row(fmt.Sprintf("%s is %s, %d in flight", args[0], state, resp.InFlight)) })
			})
		},
	}
	c.Flags().BoolVar(&off, "off", false, "send work to the backend server again")
	return c
}
