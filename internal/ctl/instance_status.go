package ctl

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	adminv1 "github.com/berylpond/berylpond/api/admin/v1"
)

func (a *app) instanceStatus() *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show the state of the instance given by --instance",
		Example: "  berylctl instance status --instance 10.1.0.4:7070",
		Args:    args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.callAdmin(cmd, func(ctx context.Context, c adminv1.AdminClient) error {
				resp, err := c.Status(ctx, &adminv1.StatusRequest{})
				if err != nil {
					return err
				}
				return a.printMessage(resp, func(t table) { instanceRows(t, resp) })
			})
		},
	}
}

func instanceRows(t table, s *adminv1.StatusResponse) {
	t.row("instance", s.Instance)
	t.row("data centre", s.DataCentre)
	t.row("incarnation", s.Incarnation)
	t.row("version", s.Version)
	t.row("uptime", time.Duration(s.UptimeSeconds)*time.Second)
	t.row("draining", s.Draining)
	t.row("platform reachable", s.PlatformReachable)
	t.row("in good standing", s.InGoodStanding)
	t.row("programs", s.Programs)
	t.row("requests in flight", s.RequestsInFlight)
}
