package ctl

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
	"github.com/berylpond/berylpond/internal/document"
)

func (a *app) configDiff() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE [NEW-FILE]",
		Short: "Show the changes from the current document to FILE, or from FILE to NEW-FILE",
		Example: "  berylctl config diff nile-current.toml\n" +
			"  berylctl config diff old.toml new.toml",
		Args: args(cobra.RangeArgs(1, 2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, d, err := readDocument(args[0])
			if err != nil {
				return err
			}
			if len(args) == 1 {
				return a.diffAgainstCurrent(cmd, d)
			}
			_, d2, err := readDocument(args[1])
			if err != nil {
				return err
			}
			return a.printChanges(document.Diff(d, d2))
		},
	}
}

func (a *app) diffAgainstCurrent(cmd *cobra.Command, d *document.Document) error {
	return a.callConfig(cmd, func(ctx context.Context, c configv1.AdminClient) error {
		current, err := currentDocument(ctx, c, d.Team)
		if err != nil {
			return err
		}
		return a.printChanges(document.Diff(current, d))
	})
}

// currentDocument returns the current document of a team, or nil if there is none yet.
func currentDocument(ctx context.Context, c configv1.AdminClient, team string) (*document.Document, error) {
	resp, err := c.Get(ctx, &configv1.GetRequest{Team: team})
	if status.Code(err) == codes.NotFound {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return document.Parse(resp.Document)
}

func (a *app) printChanges(changes []document.Change) error {
	if a.output == outputJSON {
		return a.printJSON(append([]document.Change{}, changes...))
	}
	for _, c := range changes {
		fmt.Fprintln(a.out, c)
	}
	return nil
}
