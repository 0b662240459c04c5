package ctl

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitUnreachable = 4
)

// usageError is an error in the command line.
type usageError struct{ error }

func usagef(format string, args ...any) error {
	return usageError{errors.Newf(format, args...)}
}

// exitStatus ends the command with an exit code after it has printed everything.
type exitStatus int

// Error implements error.
func (s exitStatus) Error() string { return fmt.Sprintf("exit code %d", int(s)) }

// unreadError means that a check was not made, since something that it needs could not be read.
type unreadError struct{ error }

// args wraps a check of positional arguments so that it returns a usageError.
func args(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, a []string) error {
		if err := check(cmd, a); err != nil {
			return usageError{errors.Newf("%v\nusage: %s", err, cmd.UseLine())}
		}
		return nil
	}
}

// reportError prints an error and returns the exit code.
func (a *app) reportError(err error) int {
	if err == nil {
		return ExitOK
	}
	var printed exitStatus
	if errors.As(err, &printed) {
		return int(printed)
	}
	fmt.Fprintln(a.err, "berylctl:", errorMessage(err))
	return exitCode(err)
}

func exitCode(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	var unread unreadError
	if errors.As(err, &unread) {
		return ExitUnread
	}
	switch status.Code(errors.UnwrapAll(err)) {
	case codes.Aborted:
		return ExitConflict
	case codes.Unavailable, codes.DeadlineExceeded:
		return ExitUnreachable
	}
	return ExitFailed
}

func errorMessage(err error) string {
	st, ok := status.FromError(errors.UnwrapAll(err))
	if !ok {
		return err.Error()
	}
	if c := conflictOf(err); c != nil {
		return fmt.Sprintf("version %d by %s came first; get it, make the change in it, and apply it with --base %d",
			c.Version, c.Author, c.Version)
	}
	return st.Message()
}

// conflictOf returns the conflicting edit that was applied first, or nil if err is no conflict.
func conflictOf(err error) *configv1.Conflict {
	st, _ := status.FromError(errors.UnwrapAll(err))
	for _, d := range st.Details() {
		if c, ok := d.(*configv1.Conflict); ok {
			return c
		}
	}
	return nil
}
