package ctl

import "github.com/spf13/cobra"

func (a *app) instanceCommand() *cobra.Command {
	return a.group("instance", "Show and drain instances", a.instanceStatus(), a.instanceDrain())
}
