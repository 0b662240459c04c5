// Package buildinfo tells what the running binary was built from.
package buildinfo

import "runtime/debug"

// Version returns the module's version, or the revision that it was built from.
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
