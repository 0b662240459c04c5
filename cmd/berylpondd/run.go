package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/dustin/go-humanize/english"
	"github.com/spf13/cobra"

	"github.com/berylpond/berylpond/internal/daemon"
	"github.com/berylpond/berylpond/internal/logging"
	"github.com/berylpond/berylpond/internal/settings"
)

// errUsage marks errors in the command line or the settings.
var errUsage = errors.New("usage")

func exitCode(err error) int {
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailed
}

func settingsFlag(c *cobra.Command) *string {
	return c.Flags().StringP("settings", "s", "berylpondd.toml", "settings file")
}

// loadSettings loads a settings file. If it is invalid, it prints every problem on a line of its own, in the form
// "file:line: key: problem".
func loadSettings(c *cobra.Command, path string) (settings.Settings, error) {
	s, err := settings.Load(path)
	var ps settings.Problems
	if errors.As(err, &ps) {
		fmt.Fprintln(c.ErrOrStderr(), ps)
		err = errors.Newf("%s: %s", path, english.Plural(len(ps), "problem", ""))
	}
	if err != nil {
		return s, errors.Mark(err, errUsage)
	}
	return s, nil
}

func runCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "run", Short: "Run the daemon", Args: cobra.NoArgs,
		Example: "  berylpondd run --settings /etc/berylpond/berylpondd.toml",
	}
	path := settingsFlag(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		s, err := loadSettings(c, *path)
		if err != nil {
			return err
		}
		logging.Setup(os.Stderr, s.Instance.ID, s.Log.Verbosity)
		d, err := daemon.New(s)
		if err != nil {
			return err
		}
		return d.Run(c.Context())
	}
	return c
}

func checkCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "check-settings", Short: "Validate a settings file and report every problem", Args: cobra.NoArgs,
		Example: "  berylpondd check-settings --settings berylpondd.toml",
	}
	path := settingsFlag(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		if _, err := loadSettings(c, *path); err != nil {
			return err
		}
		fmt.Fprintf(c.OutOrStdout(), "%s is good\n", *path)
		return nil
	}
	return c
}
