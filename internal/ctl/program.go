package ctl

import (
	"github.com/spf13/cobra"

	adminv1 "github.com/berylpond/berylpond/api/admin/v1"
)

func (a *app) programCommand() *cobra.Command {
	return a.group("program", "Show and cancel programs", a.programList(), a.programShow(), a.programCancel())
}

func programHeader(t table) {
	t.row("PROGRAM", "TEAM", "ACCOUNT", "STATE", "TURNS", "TOKENS", "CALLS", "LAST TURN", "OWNER")
}

func programRow(t table, p *adminv1.Program) {
	t.row(p.Id, p.Team, p.Account, p.State, p.Turns, p.Tokens, p.Calls, formatTime(p.LastTurnUnixMs), p.Owner)
}
