package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/berylpond/berylpond/internal/fakes/metastore"
)

const checkedFiles = "../../platform/testdata/check"

// documented returns the output that a page shows for a command: the indented lines after the one with the command.
func documented(t *testing.T, page, command string) string {
	b, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, ok := strings.Cut(string(b), "\n    $ "+command+"\n")
	if !ok {
		t.Fatalf("%s does not show %q", page, command)
	}
	var out strings.Builder
	lines := strings.Split(rest, "\n")
	for i, line := range lines {
		text, ok := strings.CutPrefix(line, "    ")
		if !ok && (line != "" || !strings.HasPrefix(lines[i+1], "    ")) {
			break
		}
		fmt.Fprintln(&out, text)
	}
	return out.String()
}

func TestPagesShowTheOutputOfPlatformCheck(t *testing.T) {
	readme, err := filepath.Abs("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	operations, err := filepath.Abs("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(checkedFiles)
	for _, tc := range []struct {
		page, arguments string
		code            int
	}{
		{readme, "platform check new.json --against old.json", ExitErrors},
		{operations, "platform check fix.json --against old.json --output json", ExitWarnings},
		{operations, "platform check --help", ExitOK},
	} {
		t.Run(tc.arguments, func(t *testing.T) {
			is := is.New(t)
			r := runCtl(strings.Fields(tc.arguments)...)
			is.Equal(r.out, documented(t, tc.page, "berylctl "+tc.arguments))
			is.Equal(r.err, "")
			is.Equal(r.code, tc.code)
		})
	}
}

func TestPlatformCheckExitCodes(t *testing.T) {
	dir := t.TempDir()
	old, err := os.ReadFile(filepath.Join(checkedFiles, "old.json"))
	if err != nil {
		t.Fatal(err)
	}
	file := func(name, content string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := file("good.json", string(old))
	warned := file("warned.json", strings.Replace(string(old), `"goalMs": 150`, `"goalMs": 15000`, 1))
	truncated := file("truncated.json", string(old[:200]))
	for _, tc := range []struct {
		name string
		args []string
		code int
	}{
		{"nothing found", []string{good}, ExitOK},
		{"nothing found, text", []string{good, "--output", "text"}, ExitOK},
		{"warnings only", []string{warned}, ExitWarnings},
		{"errors", []string{truncated}, ExitErrors},
		{"the version in force again", []string{good, "--against", good}, ExitErrors},
		{"no such file", []string{filepath.Join(dir, "none.json")}, ExitUnread},
		{"a directory", []string{dir}, ExitUnread},
		{"no such version in force", []string{good, "--against", filepath.Join(dir, "none.json")}, ExitUnread},
		{"an unreadable version in force", []string{good, "--against", truncated}, ExitUnread},
		{"no store", []string{good, "--store", "127.0.0.1:1"}, ExitUnread},
		{"no metrics", []string{good, "--metrics", "http://127.0.0.1:1/metrics"}, ExitUnread},
		{"no settings file", []string{good, "--settings", filepath.Join(dir, "none.toml")}, ExitUnread},
		{"no file given", nil, ExitUsage},
		{"an unknown format", []string{good, "--output", "xml"}, ExitUsage},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := runCtl(append([]string{"platform", "check"}, tc.args...)...)
			if r.code != tc.code {
				t.Errorf("exit code %d, want %d\n%s%s", r.code, tc.code, r.out, r.err)
			}
			// Findings go to standard output; a check that was not made goes to standard error and nowhere else.
			if (r.err != "") != (r.out == "") {
				t.Errorf("standard output: %q, standard error: %q", r.out, r.err)
			}
		})
	}
}

func TestATruncatedFileGivesOneError(t *testing.T) {
	is := is.New(t)
	old, err := os.ReadFile(filepath.Join(checkedFiles, "old.json"))
	is.NoErr(err)
	t.Chdir(t.TempDir())
	for _, n := range []int{0, 1, 50, 200, len(old) / 2, len(old) - 2} {
		is.NoErr(os.WriteFile("cut.json", old[:n], 0o600))
		r := runCtl("platform", "check", "cut.json")
		is.Equal(r.code, ExitErrors)
		lines := strings.Split(r.out, "\n")
		is.Equal(len(lines), 3) // the error, the summary and the end of its line
		is.True(strings.HasSuffix(lines[0], ": error: not valid JSON: unexpected end of JSON input"))
		is.Equal(lines[1], "cut.json: version 0: 1 error, 0 warnings, 0 changes")
	}
}

func TestPlatformCheckAgainstTheStoreChangesNothing(t *testing.T) {
	is := is.New(t)
	store := metastore.New(1)
	srv := httptest.NewServer(store)
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	fix, err := os.ReadFile(filepath.Join(checkedFiles, "fix.json"))
	is.NoErr(err)
	t.Chdir(t.TempDir())
	is.NoErr(os.WriteFile("next.json", []byte(strings.Replace(string(fix), `"timeoutMs": 100,`, `"timeoutMs": 1000,`, 1)), 0o600))

	r := runCtl("platform", "check", "next.json", "--store", address)
	is.Equal(r.out, `next.json:5:42: warning: routes[0].maxAttempts: 2 attempts at different servers, but the store lists 0 for the `+
		`route's services
next.json:7:42: warning: routes[1].maxAttempts: 3 attempts at different servers, but the store lists 0 for the route's services
next.json: version 43: 0 errors, 2 warnings, 0 changes
`) // there is no version in force yet
	is.Equal(r.code, ExitWarnings)

	for i, service := range []string{"models", "models", "kiosks", "kiosks", "kiosks"} {
		store.PutKeyed("keyed.servers", fmt.Sprint("i-", i), []byte(fmt.Sprintf(
			`{"service":%q,"addr":"10.0.0.%d:8080","zone":"a","slots":6,"state":"ready","seq":1}`, service, i+1)))
	}
	inForce := strings.Replace(string(fix), `"version": 43`, `"version": 42`, 1)
	store.PutKeyed("keyed.op", "config", []byte(inForce))
	before := fmt.Sprint(store.Records("keyed.op", 0), store.Records("keyed.servers", 0))
	r = runCtl("platform", "check", "next.json", "--store", address)
	is.Equal(r.out, `changes from version 42 (store `+address+`):
  ~ routes["status"].timeoutMs: 100ms -> 1s, at once
next.json: version 43: 0 errors, 0 warnings, 1 change
`)
	is.Equal(r.code, ExitOK)
	is.Equal(fmt.Sprint(store.Records("keyed.op", 0), store.Records("keyed.servers", 0)), before)
	is.Equal(store.Calls("/api/log-append"), 0)
}

func TestATimeoutBelowTheTimeOfKnownCallsIsAWarning(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	times := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: requestTimeMetric, Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
	}, []string{"kind"})
	registry.MustRegister(times)
	srv := httptest.NewServer(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	defer srv.Close()
	file := filepath.Join(checkedFiles, "old.json")
	observe := func(n int, d time.Duration) {
		for range n {
			times.WithLabelValues("idempotent").Observe(d.Seconds())
		}
	}
	observe(minSamples-1, 4*time.Second)
	is.Equal(runCtl("platform", "check", file, "--metrics", srv.URL).code, ExitOK) // too few to tell
	observe(1, 4*time.Second)
	r := runCtl("platform", "check", file, "--metrics", srv.URL, "-o", "json")
	is.Equal(r.code, ExitWarnings)
	var got checkResult
	is.NoErr(json.Unmarshal([]byte(r.out), &got))
	is.Equal(len(got.Findings), 1)
	is.Equal(got.Findings[0].Path, "routes[1].timeoutMs")
	is.Equal(got.Findings[0].Message,
		"1.2s is below the time of known calls: at least 10% of the idempotent ones take over 2.56s")
	observe(20*minSamples, 10*time.Millisecond)
	is.Equal(runCtl("platform", "check", file, "--metrics", srv.URL).code, ExitOK) // most calls are fast
}

func TestMetricsThatAreNoMetricsCouldNotBeRead(t *testing.T) {
	is := is.New(t)
	for _, h := range []http.Handler{
		http.NotFoundHandler(),
		http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "<html>") }),
	} {
		srv := httptest.NewServer(h)
		r := runCtl("platform", "check", filepath.Join(checkedFiles, "old.json"), "--metrics", srv.URL)
		srv.Close()
		is.Equal(r.code, ExitUnread)
		is.True(strings.HasPrefix(r.err, "berylctl: the metrics at http://127.0.0.1:"))
	}
}
