package ctl

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
	"github.com/berylpond/berylpond/internal/document"
)

// maxGrantAttempts is the maximum number of attempts of a grant that conflicts with other edits.
const maxGrantAttempts = 5

func (a *app) keyGrant() *cobra.Command {
	var author string
	c := &cobra.Command{
		Use:   "grant TEAM ACCOUNT",
		Short: "Generate a key, print it once, and add its hash to the team's document",
		Long: `Generate a key, print it once, and add its hash to the team's document.

The key is printed only after the document with its hash has been applied. It is not stored and cannot be shown again.`,
		Example: "  berylctl key grant nile-current keeper-app",
		Args:    args(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.callConfig(cmd, func(ctx context.Context, c configv1.AdminClient) error {
				return a.grant(ctx, c, args[0], args[1], author)
			})
		},
	}
	c.Flags().StringVar(&author, "author", defaultAuthor(), "author recorded in the history")
	return c
}

func (a *app) grant(ctx context.Context, c configv1.AdminClient, team, account, author string) error {
	key, hashed, err := document.NewKey()
	if err != nil {
		return err
	}
	var version uint64
	for try := 1; ; try++ {
		version, err = addKey(ctx, c, team, account, author, hashed)
		if err == nil {
			break
		}
		if conflictOf(err) == nil || try == maxGrantAttempts {
			return err
		}
	}
	if a.output == outputJSON {
		return a.printJSON(grantResult{Key: key, KeyID: hashed.ID, Version: version})
	}
	fmt.Fprintf(a.err, "key %s is granted in version %d of %s; it is not shown again:\n", hashed.ID, version, team)
	fmt.Fprintln(a.out, key)
	return nil
}

type grantResult struct {
	Key     string `json:"key"`
	KeyID   string `json:"key_id"`
	Version uint64 `json:"version"`
}

func addKey(ctx context.Context, c configv1.AdminClient, team, account, author string, k document.Key) (uint64, error) {
	current, err := c.Get(ctx, &configv1.GetRequest{Team: team})
	if err != nil {
		return 0, err
	}
	text, err := document.AddKey(current.Document, account, k)
	if err != nil {
		return 0, err
	}
	resp, err := c.Apply(ctx, &configv1.ApplyRequest{Team: team, BaseVersion: current.Version, Document: text, Author: author})
	return resp.GetVersion(), err
}
