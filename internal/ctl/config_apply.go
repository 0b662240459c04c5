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
		Short: "Put a document into force in place of the version that it was made from",
		Long: `Put a document into force in place of the version that it was made from.

If another edit of that version came first, nothing changes and the exit code is 3. With exit code 4 the edit may still
come into force: look at "berylctl config history".`,
		Example: "  berylctl config get nile-current > doc.toml   # prints the version on standard error\n" +
			"  berylctl config apply doc.toml --base 17",
		Args: args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !cmd.Flags().Changed("base") {
				return usagef("--base is needed: the version that the document was made from, 0 for a team's first")
			}
			data, d, err := readDocument(args[0])
			if err != nil {
				return err
			}
			req := &configv1.ApplyRequest{Team: d.Team, BaseVersion: base, Document: data, Author: author}
			return a.callConfig(cmd, func(ctx context.Context, c configv1.AdminClient) error { return a.apply(ctx, c, req) })
		},
	}
	c.Flags().Uint64Var(&base, "base", 0, "version that the document was made from; 0 for a team's first")
	c.Flags().StringVar(&author, "author", defaultAuthor(), "name for the history")
	return c
}

func (a *app) apply(ctx context.Context, c configv1.AdminClient, req *configv1.ApplyRequest) error {
	resp, err := c.Apply(ctx, req)
	if err != nil {
		return err
	}
	return a.print(resp, func(t table) { t.row(fmt.Sprintf("%s is at version %d", req.Team, resp.Version)) })
}
