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
		Short: "Withdraw a key permanently, even while the platform is unreachable",
		Long: `Withdraw a key permanently. The instance that receives the command refuses the key immediately and notifies the
others, even while the platform is unreachable. For a data centre that is isolated from the others, run the command
against an instance inside it with --instance.`,
		Example: "  berylctl key withdraw nile-current 3f9c0a1b2c3d4e5f\n" +
			"  berylctl key withdraw nile-current 3f9c0a1b2c3d4e5f --instance 10.1.0.4:7070",
		Args: args(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.callConfig(cmd, func(ctx context.Context, c configv1.AdminClient) error {
				resp, err := c.Withdraw(ctx, &configv1.WithdrawRequest{Team: args[0], KeyId: args[1]})
				if err != nil {
					return err
				}
				return a.printMessage(resp, func(t table) { t.row(fmt.Sprintf("key %s of %s is withdrawn", args[1], args[0])) })
			})
		},
	}
}
