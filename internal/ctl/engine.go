package ctl

import "github.com/spf13/cobra"

func (a *app) engineCommand() *cobra.Command {
	return a.group("engine", "Send orders to model engines", a.engineOrder(), a.engineOrders())
}
