package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const goodSettings = `[instance]
id = "giza-0"
data_centre = "giza"
data_centres = ["giza"]
slot = 0
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
[platform]
log = "http://127.0.0.1:9000"
instances = "http://127.0.0.1:9001"
[timing]
lease = "2s"
[scheduling]
policy = "berylpond"
`

// runCheckSettings runs check-settings on a valid file with replacements and returns its output.
func runCheckSettings(t *testing.T, replace ...string) (stdout, stderr string, err error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "b.toml")
	text := strings.NewReplacer(replace...).Replace(goodSettings)
	if werr := os.WriteFile(path, []byte(text), 0o600); werr != nil {
		t.Fatal(werr)
	}
	c := checkCommand()
	var out, errs bytes.Buffer
	c.SetOut(&out)
	c.SetErr(&errs)
	c.SilenceErrors, c.SilenceUsage = true, true
	c.SetArgs([]string{"--settings", path})
	err = c.Execute()
	return strings.ReplaceAll(out.String(), path, "b.toml"), strings.ReplaceAll(errs.String(), path, "b.toml"), err
}

func TestCheckSettingsPrintsEveryProblem(t *testing.T) {
	is := is.New(t)
	stdout, stderr, err := runCheckSettings(t, "slot = 0", "slot = 3", `"2s"`, `"2"`, "\npolicy", "\npolcy")
	is.Equal(exitCode(err), exitUsage)
	is.Equal(stdout, "")
	is.Equal(stderr, `b.toml:5: instance.slot: must be from 0 to cell_slots-1
b.toml:13: timing.lease: must be a time above zero with its unit, such as "30s" or "1h30m", not 2
b.toml:15: scheduling.polcy: unknown key
`)
}

func TestCheckSettingsAcceptsValidFile(t *testing.T) {
	is := is.New(t)
	stdout, stderr, err := runCheckSettings(t)
	is.NoErr(err)
	is.Equal(stdout, "b.toml is good\n")
	is.Equal(stderr, "")
}

func TestMissingSettingsFileIsAUsageError(t *testing.T) {
	is := is.New(t)
	c := checkCommand()
	c.SilenceErrors, c.SilenceUsage = true, true
	c.SetArgs([]string{"--settings", filepath.Join(t.TempDir(), "none.toml")})
	is.Equal(exitCode(c.Execute()), exitUsage)
}
