package ctl

import "github.com/spf13/cobra"

func (a *app) backendCommand() *cobra.Command {
	return a.group("backend", "Show and drain backend servers", a.backendList(), a.backendDrain())
}
