package ctl

import (
	"context"

	"github.com/dustin/go-humanize"
	"github.com/spf13/cobra"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
)

func (a *app) configHistory() *cobra.Command {
	return &cobra.Command{
		Use:     "history TEAM",
		Short:   "List the latest versions of a document and their authors",
		Example: "  berylctl config history nile-current",
		Args:    args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.callConfig(cmd, func(ctx context.Context, c configv1.AdminClient) error {
				resp, err := c.History(ctx, &configv1.HistoryRequest{Team: args[0]})
				if err != nil {
					return err
				}
				return a.printMessage(resp, func(t table) {
					t.row("VERSION", "AUTHOR", "AT", "SIZE", "EDIT")
					for _, v := range resp.Versions {
						t.row(v.Version, v.Author, formatTime(v.AtUnixMs), humanize.IBytes(v.Bytes), v.EditId)
					}
				})
			})
		},
	}
}
