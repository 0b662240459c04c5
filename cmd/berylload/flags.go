package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/berylpond/berylpond/internal/load/site"
	"github.com/berylpond/berylpond/internal/load/workload"
)

const profilesDir = "examples/profiles"

// commonFlags holds the flags shared by all commands.
type commonFlags struct {
	profile  string
	seed     uint64
	duration time.Duration
	load     float64
	cached   float64
	scale    float64
	flood    []string
	bin      string
	out      string
}

func (f *commonFlags) register(c *cobra.Command, duration time.Duration, load float64) {
	fs := c.Flags()
	fs.StringVar(&f.profile, "profile", "nile-current", "name of a profile in "+profilesDir+", or path to a TOML file")
	fs.Uint64Var(&f.seed, "seed", 1, "seed of the workload")
	fs.DurationVar(&f.duration, "duration", duration, "period over which programs start")
	fs.Float64Var(&f.load, "load", load, "utilization of the engines, as a fraction of their capacity")
	fs.Float64Var(&f.cached, "capacity-cached", 1, "fraction of the history assumed to be cached when --load is converted to a rate")
	fs.Float64Var(&f.scale, "scale", 0, "seconds of engine time per second of clock time; 0 uses the profile's value")
	fs.StringArrayVar(&f.flood, "flood", nil, "ACCOUNT=N: the account sends N times its rate")
	fs.StringVar(&f.bin, "bin", "", "directory with the berylpondd and berylfakes binaries; if empty, they are built")
	fs.StringVar(&f.out, "json", "", "output file for the results as JSON")
}

func (f *commonFlags) loadWorkload() (*workload.Profile, workload.Options, error) {
	path := f.profile
	if !strings.Contains(path, "/") && !strings.HasSuffix(path, ".toml") {
		path = filepath.Join(profilesDir, path+".toml")
	}
	o := workload.Options{Seed: f.seed, Duration: f.duration, Load: f.load, CachedFraction: f.cached,
		FloodFactors: map[string]float64{}}
	p, err := workload.LoadProfile(path)
	if err != nil {
		return nil, o, err
	}
	if f.scale > 0 {
		p.TimeScale = f.scale
	}
	for _, text := range f.flood {
		account, times, _ := strings.Cut(text, "=")
		n, err := strconv.ParseFloat(times, 64)
		if err != nil || n <= 0 {
			return nil, o, errors.Newf("--flood %q: expected ACCOUNT=N with N above 0", text)
		}
		o.FloodFactors[account] = n
	}
	return p, o, nil
}

// binaryDir returns the directory of the binaries and a cleanup function. Without --bin it builds the binaries in a
// temporary directory, which the cleanup function removes.
func (f *commonFlags) binaryDir(ctx context.Context) (string, func(), error) {
	if f.bin != "" {
		return f.bin, func() {}, nil
	}
	dir, err := os.MkdirTemp("", "berylload-bin")
	if err != nil {
		return "", nil, err
	}
	cleanup := func() { os.RemoveAll(dir) }
	if err := site.Build(ctx, dir); err != nil {
		cleanup()
		return "", nil, err
	}
	return dir, cleanup, nil
}

func (f *commonFlags) writeJSON(v any) error {
	if f.out == "" {
		return nil
	}
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(f.out, append(b, '\n'), 0o644)
}
