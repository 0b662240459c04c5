package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/instance"
	"github.com/berylpond/berylpond/internal/logging"
	"github.com/berylpond/berylpond/platform"
)

func platformCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "platform", Short: "Run the instance on the users' platform", Args: cobra.NoArgs,
		Long:    "Run the instance on the users' platform, with the settings file that " + platform.SettingsVariable + " names.",
		Example: "  " + platform.SettingsVariable + "=/etc/berylpond/boot.toml berylpondd platform",
	}
	verbosity := c.Flags().IntP("verbosity", "v", 0, "log level; 1 logs every served request")
	metricsPort := c.Flags().Int("metrics-port", 0, "port that serves /metrics; 0 for none")
	c.RunE = func(c *cobra.Command, _ []string) error {
		path := os.Getenv(platform.SettingsVariable)
		if path == "" {
			return errors.Mark(errors.Newf("%s names no settings file", platform.SettingsVariable), errUsage)
		}
		s, err := platform.LoadSettings(path)
		if err != nil {
			return errors.Mark(err, errUsage)
		}
		out := logging.NewBounded(os.Stdout)
		defer out.Close()
		logging.Setup(out, s.Instance, *verbosity)
		go watchSettings(path)
		return instance.New(c.Context(), s).Run(c.Context(), *metricsPort)
	}
	return c
}

// watchSettings checks the settings file at each SIGHUP. The addresses that it holds can't change while the process
// runs, so nothing is taken over; a file that is wrong is told before the next start fails on it.
func watchSettings(path string) {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	for range reload {
		if _, err := platform.LoadSettings(path); err != nil {
			klog.ErrorS(err, "settings not reloaded")
			continue
		}
		klog.InfoS("settings reloaded", "file", path)
	}
}
