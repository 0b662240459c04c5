package ctl

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
)

func (a *app) configApply() *cobra.Command {
	var base uint64
	var author string
	c := &cobra.Command{
		Use:   "apply FILE --base VERSION",
		Short: "Replace the version that a document is based on with the document",
		Long: `Replace the version that a document is based on with the document.

If another edit has replaced that version already, nothing changes and the exit code is 3. With exit code 4 the edit may
still take effect: see "berylctl config history".`,
		Example: "  berylctl config get nile-current > doc.toml   # prints the version on standard error\n" +
			"  berylctl config apply doc.toml --base 17",
		Args: args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !cmd.Flags().Changed("base") {
				return usagef("--base is required: the version that the document is based on, 0 for a team's first document")
			}
			data, d, err := readDocument(args[0])
			if err != nil {
				return err
			}
			req := &configv1.ApplyRequest{Team: d.Team, BaseVersion: base, Document: data, Author: author}
			return a.callConfig(cmd, func(ctx context.Context, c configv1.AdminClient) error { return a.apply(ctx, c, req) })
		},
	}
	c.Flags().Uint64Var(&base, "base", 0, "version that the document is based on; 0 for a team's first document")
	c.Flags().StringVar(&author, "author", defaultAuthor(), "author recorded in the history")
	return c
}

func (a *app) apply(ctx context.Context, c configv1.AdminClient, req *configv1.ApplyRequest) error {
	resp, err := c.Apply(ctx, req)
	if err != nil {
		return err
	}
	return a.printMessage(resp, func(t table) { t.row(fmt.Sprintf("%s is at version %d", req.Team, resp.Version)) })
}
