package ctl

import "github.com/spf13/cobra"

func (a *app) keyCommand() *cobra.Command {
	return a.group("key", "Grant and withdraw API keys of client accounts", a.keyGrant(), a.keyWithdraw())
}
