package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/feature"
	"github.com/berylpond/berylpond/internal/instance"
	"github.com/berylpond/berylpond/internal/logging"
	"github.com/berylpond/berylpond/platform"
)

func platformCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "platform", Short: "Run the instance on the users' platform", Args: cobra.NoArgs,
		Long:    "Run the instance on the users' platform, with the settings file given by " + platform.SettingsEnv + ".",
		Example: "  " + platform.SettingsEnv + "=/etc/berylpond/boot.toml berylpondd platform",
	}
	verbosity := c.Flags().IntP("verbosity", "v", 0, "log verbosity; 1 logs every served request")
	metricsPort := c.Flags().Int("metrics-port", 0, "port that serves /metrics; 0 disables it")
	without := c.Flags().StringSlice("without", nil, "parts to turn off: "+feature.Names())
	c.RunE = func(c *cobra.Command, _ []string) error {
		features, err := feature.Without(*without)
		if err != nil {
			return errors.Mark(errors.Wrap(err, "--without"), errUsage)
		}
		path := os.Getenv(platform.SettingsEnv)
		if path == "" {
			return errors.Mark(errors.Newf("%s is not set; it must be the path of the settings file", platform.SettingsEnv), errUsage)
		}
		s, err := platform.LoadSettings(path)
		if err != nil {
			return errors.Mark(err, errUsage)
		}
		out := logging.NewRateLimitedWriter(os.Stdout)
		defer out.Close()
		logging.Setup(out, s.Instance, *verbosity)
		go checkSettingsOnSIGHUP(path)
		return instance.New(c.Context(), s, features).Run(c.Context(), *metricsPort)
	}
	return c
}

// checkSettingsOnSIGHUP validates the settings file on each SIGHUP. It does not apply the settings, because the
// addresses in them cannot change while the process runs; it reports an invalid file before the next start fails on it.
func checkSettingsOnSIGHUP(path string) {
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
