// Package buildinfo returns the version of the running binary.
package buildinfo

import "runtime/debug"

// Version returns the VCS revision that the binary was built from or, if there is none, the version of the module.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}
