package ctl

import "github.com/spf13/cobra"

func (a *app) platformCommand() *cobra.Command {
	return a.group("platform", "Check what is about to be sent to the users' platform", a.platformCheck())
}
