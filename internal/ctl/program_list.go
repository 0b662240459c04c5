package ctl

import (
	"context"

	"github.com/spf13/cobra"

	adminv1 "github.com/berylpond/berylpond/api/admin/v1"
)

func (a *app) programList() *cobra.Command {
	req := &adminv1.ListProgramsRequest{}
	c := &cobra.Command{
		Use:     "list",
		Short:   "List the programs that the instance owns",
		Example: "  berylctl program list --team nile-current --account payouts",
		Args:    args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.callAdmin(cmd, func(ctx context.Context, c adminv1.AdminClient) error {
				resp, err := c.ListPrograms(ctx, req)
				if err != nil {
					return err
				}
				return a.printMessage(resp, func(t table) {
					programHeader(t)
					for _, p := range resp.Programs {
						programRow(t, p)
					}
				})
			})
		},
	}
	c.Flags().StringVar(&req.Team, "team", "", "only programs of this team")
	c.Flags().StringVar(&req.Account, "account", "", "only programs of this client account")
	c.Flags().Uint32Var(&req.Limit, "limit", 100, "maximum number of programs to list")
	return c
}
