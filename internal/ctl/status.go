package ctl

import (
	"context"

	"github.com/spf13/cobra"

	adminv1 "github.com/berylpond/berylpond/api/admin/v1"
)

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show the instances known to the instance and the versions of the documents",
		Example: "  berylctl status",
		Args:    args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.callAdmin(cmd, func(ctx context.Context, c adminv1.AdminClient) error {
				resp, err := c.Status(ctx, &adminv1.StatusRequest{})
				if err != nil {
					return err
				}
				return a.printMessage(resp, func(t table) { statusRows(t, resp) })
			})
		},
	}
}

func statusRows(t table, s *adminv1.StatusResponse) {
	t.row("INSTANCE", "DATA CENTRE", "PEERS", "CALLERS", "LEAVING")
	for _, in := range s.Instances {
		t.row(in.Id, in.DataCentre, in.PeerAddress, in.HttpAddress, in.Leaving)
	}
	t.row()
	t.row("TEAM", "VERSION")
	for _, team := range s.Teams {
		t.row(team.Team, team.Version)
	}
}
