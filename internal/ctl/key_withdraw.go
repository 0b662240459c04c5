package ctl

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
)

func (a *app) keyWithdraw() *cobra.Command {
	return &cobra.Command{
		Use:   "withdraw TEAM KEY-ID",
		Short: "Withdraw a key for good, also while the platform cannot be reached",
		Long: `Withdraw a key for good. The instance that is asked refuses the key at once and tells the others, also while the
platform cannot be reached. A data centre that is cut off learns of it from an instance inside: name one by --instance.`,
		Example: "  berylctl key withdraw nile-current 3f9c0a1b2c3d4e5f\n" +
			"  berylctl key withdraw nile-current 3f9c0a1b2c3d4e5f --instance 10.1.0.4:7070",
		Args: args(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.callConfig(cmd, func(ctx context.Context, c configv1.AdminClient) error {
				resp, err := c.Withdraw(ctx, &configv1.WithdrawRequest{Team: args[0], KeyId: args[1]})
				if err != nil {
					return err
				}
				return a.print(resp, func(t table) { t.row(fmt.Sprintf("key %s of %s is withdrawn", args[1], args[0])) })
			})
		},
	}
}
