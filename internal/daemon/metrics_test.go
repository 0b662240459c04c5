package daemon

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/berylpond/berylpond/internal/settings"
)

const (
	metricsPage   = "../../docs/METRICS.md"
	verdictSource = "../verdict/verdict.go"
	metricPrefix  = "berylpond_"
)

// testDaemon returns a daemon on free loopback ports whose platform refuses connections.
func testDaemon(t *testing.T) *Daemon {
	t.Helper()
	s := settings.Default()
	s.Instance = settings.Instance{ID: "giza-0", DataCentre: "giza", DataCentres: []string{"giza"}, CellSlots: 1}
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	s.Platform.LogURL, s.Platform.InstancesURL = "http://127.0.0.1:1", "http://127.0.0.1:1"
	d, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = d.httpLn.Close()
		_ = d.grpcLn.Close()
	})
	return d
}

var descPattern = regexp.MustCompile(`fqName: "([^"]*)".*variableLabels: \{([^}]*)\}`)

// registered returns the labels of each metric of berylpond by metric name, in the order of their declaration.
func registered(t *testing.T, r *prometheus.Registry) map[string]string {
	t.Helper()
	ch := make(chan *prometheus.Desc, 1000)
	r.Describe(ch)
	close(ch)
	out := map[string]string{}
	for d := range ch {
		m := descPattern.FindStringSubmatch(d.String())
		if m == nil {
			t.Fatalf("cannot parse metric description: %s", d)
		}
		if strings.HasPrefix(m[1], metricPrefix) {
			out[m[1]] = strings.ReplaceAll(m[2], ",", ", ")
		}
	}
	return out
}

// row is one row of the tables of the metrics page.
type row struct{ name, kind, labels, unit, meaning string }

func pageRows(t *testing.T) map[string]row {
	t.Helper()
	page, err := os.ReadFile(metricsPage)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]row{}
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != 5 || !strings.Contains(cells[0], metricPrefix) {
			continue
		}
		for i := range cells {
			cells[i] = strings.Trim(strings.TrimSpace(cells[i]), "`")
		}
		if _, twice := out[cells[0]]; twice {
			t.Errorf("%s is listed twice", cells[0])
		}
		out[cells[0]] = row{cells[0], cells[1], strings.ReplaceAll(cells[2], "`", ""), cells[3], cells[4]}
	}
	return out
}

func TestPageListsEveryMetric(t *testing.T) {
	d := testDaemon(t)
	rows, metrics := pageRows(t), registered(t, d.registry)
	for name, labels := range metrics {
		r, ok := rows[name]
		switch {
		case !ok:
			t.Errorf("%s {%s} is not on the page", name, labels)
		case r.labels != labels:
			t.Errorf("%s has labels {%s}, on the page {%s}", name, labels, r.labels)
		case r.unit == "" || r.meaning == "":
			t.Errorf("%s has no unit or meaning on the page", name)
		}
	}
	for name := range rows {
		if _, ok := metrics[name]; !ok {
			t.Errorf("%s is on the page and not registered", name)
		}
	}
}

// TestPageListsTypes compares the types on the page with those of the metrics that have a value at startup. For every
// metric it checks that the name ends in _total if and only if the page lists it as a counter.
func TestPageListsTypes(t *testing.T) {
	is := is.New(t)
	d := testDaemon(t)
	families, err := d.registry.Gather()
	is.NoErr(err)
	kinds := map[string]string{}
	for _, f := range families {
		kinds[f.GetName()] = strings.ToLower(f.GetType().String())
	}
	for name, r := range pageRows(t) {
		if kind, ok := kinds[name]; ok && kind != r.kind {
			t.Errorf("%s is a %s, on the page a %s", name, kind, r.kind)
		}
		if !slices.Contains([]string{"counter", "gauge", "histogram"}, r.kind) {
			t.Errorf("%s has the type %q", name, r.kind)
		}
		if strings.HasSuffix(name, "_total") != (r.kind == "counter") {
			t.Errorf("%s is a %s by the page", name, r.kind)
		}
	}
}

func TestPageListsEveryReason(t *testing.T) {
	is := is.New(t)
	source, err := os.ReadFile(verdictSource)
	is.NoErr(err)
	page, err := os.ReadFile(metricsPage)
	is.NoErr(err)
	reasons := regexp.MustCompile(`Reason = "([a-z_]+)"`).FindAllStringSubmatch(string(source), -1)
	is.True(len(reasons) > 0)
	for _, m := range reasons {
		if !strings.Contains(string(page), "| `"+m[1]+"` |") {
			t.Errorf("reason %s is not on the page", m[1])
		}
	}
}
