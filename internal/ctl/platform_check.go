package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/dustin/go-humanize/english"
	"github.com/spf13/cobra"

	"github.com/berylpond/berylpond/internal/configcheck"
	"github.com/berylpond/berylpond/platform"
)

// Exit codes of "platform check" beside ExitOK and ExitUsage.
const (
	ExitWarnings = 1
	ExitErrors   = 2
	ExitUnread   = 3
)

// checkOptions say what a configuration is checked with.
type checkOptions struct {
	file     string
	against  string
	store    string
	settings string
	metrics  string
}

func (a *app) platformCheck() *cobra.Command {
	var o checkOptions
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration of the users' platform before it is sent",
		Long: `Check a configuration of the users' platform before it is sent. Nothing is sent or changed.

Errors are what an instance refuses: it keeps the version in force. Warnings are entries that never match, limits that
contradict each other and fields that instances ignore. With --against or --store the changes from the version in force
follow, with what they withdraw from connected callers; changes don't count as warnings. Keys are shown as digests.

The servers of a service are only known with --store, the times of calls only with --metrics, and the site's regions
and the memory of an instance only with --settings.

Exit codes: 0 nothing found, 1 warnings only, 2 errors (or a usage error), 3 a file or address could not be read.`,
		Example: "  berylctl platform check new.json --against old.json\n" +
			"  berylctl platform check new.json --store 10.200.1.7:8362 --metrics http://10.1.0.11:9100/metrics",
		Args: args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.file = args[0]
			return a.check(cmd, o)
		},
	}
	c.Flags().StringVar(&o.against, "against", "", "file with the version in force")
	c.Flags().StringVar(&o.store, "store", "", "IP:PORT of the store: the version in force, if not --against, and the servers")
	c.Flags().StringVar(&o.settings, "settings", "", "settings file of an instance: the site's regions, the memory limit")
	c.Flags().StringVar(&o.metrics, "metrics", "", "URL of an instance's metrics: the times of calls")
	return c
}

func (a *app) check(cmd *cobra.Command, o checkOptions) error {
	ctx := cmd.Context()
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	raw, err := readConfigFile(o.file)
	if err != nil {
		return unreadError{err}
	}
	sources, err := readSources(ctx, o)
	if err != nil {
		return unreadError{err}
	}
	r, err := checkConfig(raw, sources)
	if err != nil {
		return unreadError{err}
	}
	r.File = o.file
	if err := a.printCheck(r); err != nil {
		return err
	}
	return r.exit()
}

// readConfigFile reads a file, up to one byte more than a configuration may have.
func readConfigFile(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, platform.MaxConfigBytes+1))
}

// checkResult is the result of one check; its JSON form is the output for programs.
type checkResult struct {
	File    string `json:"file"`
	Version int64  `json:"version"`
	// Against names where the version in force was read; it is empty if there was none to compare with.
	Against  string         `json:"against,omitempty"`
	InForce  int64          `json:"in_force,omitempty"`
	Errors   int            `json:"errors"`
	Warnings int            `json:"warnings"`
	Findings []checkFinding `json:"findings"`
	Changes  []checkChange  `json:"changes"`
}

type checkFinding struct {
	Severity configcheck.Severity `json:"severity"`
	Line     int                  `json:"line"`
	Column   int                  `json:"column"`
	Path     string               `json:"path,omitempty"`
	Message  string               `json:"message"`
}

type checkChange struct {
	Kind      configcheck.ChangeKind `json:"kind"`
	Path      string                 `json:"path"`
	Old       string                 `json:"old,omitempty"`
	New       string                 `json:"new,omitempty"`
	Effect    configcheck.Effect     `json:"effect"`
	Withdraws string                 `json:"withdraws,omitempty"`
}

// checkConfig checks a configuration. An error means that the version in force could not be read.
func checkConfig(raw []byte, s checkSources) (*checkResult, error) {
	r := &checkResult{Findings: []checkFinding{}, Changes: []checkChange{}}
	file, err := platform.ParseConfig(raw)
	var invalid *platform.ConfigError
	switch {
	case errors.As(err, &invalid):
		r.Errors = invalid.Total
		for _, n := range invalid.Notes {
			r.Findings = append(r.Findings, newFinding(configcheck.Error, n.Position, n.Message))
		}
		return r, nil
	case err != nil:
		return nil, err
	}
	r.Version = file.Configuration.Version
	r.add(file, configcheck.Errors(file.Configuration))
	r.add(file, configcheck.Warnings(file.Configuration, s.known))
	r.addNotes(file)
	if s.inForce != nil {
		if err := r.compare(file, s); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(r.Findings, func(a, b checkFinding) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return r, nil
}

func newFinding(s configcheck.Severity, p platform.Position, message string) checkFinding {
	return checkFinding{Severity: s, Line: p.Line, Column: p.Column, Path: p.Path, Message: message}
}

func (r *checkResult) add(file *platform.ConfigFile, found configcheck.Findings) {
	locations := make([]configcheck.Location, len(found.List))
	for i, f := range found.List {
		locations[i] = f.Location
	}
	for i, p := range file.Locate(locations) {
		r.Findings = append(r.Findings, newFinding(found.List[i].Severity, p, found.List[i].Message))
	}
	if found.Total > 0 && found.List[0].Severity == configcheck.Error {
		r.Errors += found.Total
	} else {
		r.Warnings += found.Total
	}
}

func (r *checkResult) addNotes(file *platform.ConfigFile) {
	notes, total := file.Notes()
	for _, n := range notes {
		r.Findings = append(r.Findings, newFinding(configcheck.Warning, n.Position, n.Message))
	}
	r.Warnings += total
}

func (r *checkResult) compare(file *platform.ConfigFile, s checkSources) error {
	inForce, err := platform.DecodeConfig(s.inForce)
	if err != nil {
		return errors.Wrapf(err, "%s: the version in force", s.inForceName)
	}
	r.Against, r.InForce = s.inForceName, inForce.Version
	changes, found := configcheck.Compare(inForce, file.Configuration)
	r.add(file, found)
	for _, c := range changes {
		r.Changes = append(r.Changes, checkChange{Kind: c.Kind, Path: platform.ConfigPath(c.Location), Old: c.Old,
			New: c.New, Effect: c.Effect, Withdraws: c.Withdraws})
	}
	return nil
}

func (r *checkResult) exit() error {
	switch {
	case r.Errors > 0:
		return exitStatus(ExitErrors)
	case r.Warnings > 0:
		return exitStatus(ExitWarnings)
	}
	return nil
}

func (a *app) printCheck(r *checkResult) error {
	if a.output == outputJSON {
		return a.printJSON(r)
	}
	for _, f := range r.Findings {
		fmt.Fprintln(a.out, f.text(r.File))
	}
	if more := r.Errors + r.Warnings - len(r.Findings); more > 0 {
		fmt.Fprintf(a.out, "%s: %d more findings like these are not shown\n", r.File, more)
	}
	if r.Against != "" {
		fmt.Fprintf(a.out, "changes from version %d (%s):\n", r.InForce, r.Against)
		for _, c := range r.Changes {
			fmt.Fprintln(a.out, " ", c.text())
		}
	}
	_, err := fmt.Fprintf(a.out, "%s: version %d: %s, %s, %s\n", r.File, r.Version, english.Plural(r.Errors, "error", ""),
		english.Plural(r.Warnings, "warning", ""), english.Plural(len(r.Changes), "change", ""))
	return err
}

func (f checkFinding) text(file string) string {
	text := fmt.Sprintf("%s:%d:%d: %s: ", file, f.Line, f.Column, f.Severity)
	if f.Path != "" {
		text += f.Path + ": "
	}
	return text + f.Message
}

func (c checkChange) text() string {
	var text string
	switch {
	case c.Kind == configcheck.Changed:
		text = fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
	case c.Kind == configcheck.Added && c.New != "":
		text = fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.Kind == configcheck.Added:
		text = "+ " + c.Path
	case c.Old != "":
		text = fmt.Sprintf("- %s: %s", c.Path, c.Old)
	default:
		text = "- " + c.Path
	}
	text += ", " + string(c.Effect)
	if c.Withdraws != "" {
		text += "; withdraws: " + c.Withdraws
	}
	return text
}
