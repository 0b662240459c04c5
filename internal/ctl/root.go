// Package ctl implements the commands of berylctl, one per file.
package ctl

import (
	"context"
	"io"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	adminv1 "github.com/berylpond/berylpond/api/admin/v1"
	configv1 "github.com/berylpond/berylpond/api/config/v1"
)

const (
	defaultInstance = "127.0.0.1:7070"
	defaultTimeout  = 20 * time.Second
)

// app holds the global flags and outputs that commands share.
type app struct {
	instance string
	output   string
	timeout  time.Duration
	out, err io.Writer
}

// Main runs one command line and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	a := &app{out: out, err: errOut}
	root := a.root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	return a.reportError(root.Execute())
}

func (a *app) root() *cobra.Command {
	root := a.group("berylctl", "Operate berylpond",
		a.configCommand(), a.keyCommand(), a.backendCommand(), a.engineCommand(), a.instanceCommand(), a.programCommand(),
		a.platformCommand(), a.statusCommand(), a.versionCommand())
	root.Long = `Operate berylpond.

Exit codes: 0 success, 1 failure, 2 usage error, 3 conflict with another edit, 4 no response (an edit may still take
effect). "berylctl platform check" has its own.`
	root.SilenceErrors = true
	root.SilenceUsage = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	flags := root.PersistentFlags()
	flags.StringVar(&a.instance, "instance", defaultInstance, "host:port of the gRPC server of an instance")
	flags.StringVarP(&a.output, "output", "o", outputTable, "output format: table (or text) or json")
	flags.DurationVar(&a.timeout, "timeout", defaultTimeout, "timeout of the command")
	root.PersistentPreRunE = func(*cobra.Command, []string) error { return a.checkFlags() }
	return root
}

func (a *app) checkFlags() error {
	if a.output == outputText {
		a.output = outputTable
	}
	if a.output != outputTable && a.output != outputJSON {
		return usagef("--output must be table or json, not %q", a.output)
	}
	if a.timeout <= 0 {
		return usagef("--timeout must be above zero")
	}
	return nil
}

// group returns a command that only has subcommands.
func (a *app) group(use, short string, commands ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usagef("unknown command %q for %q", args[0], cmd.CommandPath())
			}
			return cmd.Help()
		},
	}
	c.AddCommand(commands...)
	return c
}

// call connects to the instance and runs f with the timeout.
func (a *app) call(cmd *cobra.Command, f func(context.Context, grpc.ClientConnInterface) error) error {
	ctx := cmd.Context()
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	conn, err := grpc.NewClient(a.instance, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return usageError{err}
	}
	defer conn.Close()
	return f(ctx, conn)
}

func (a *app) callAdmin(cmd *cobra.Command, f func(context.Context, adminv1.AdminClient) error) error {
	return a.call(cmd, func(ctx context.Context, conn grpc.ClientConnInterface) error {
		return f(ctx, adminv1.NewAdminClient(conn))
	})
}

func (a *app) callConfig(cmd *cobra.Command, f func(context.Context, configv1.AdminClient) error) error {
	return a.call(cmd, func(ctx context.Context, conn grpc.ClientConnInterface) error {
		return f(ctx, configv1.NewAdminClient(conn))
	})
}
