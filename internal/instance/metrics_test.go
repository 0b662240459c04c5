package instance

import (
	"os"
	"regexp"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/berylpond/berylpond/internal/feature"
	"github.com/berylpond/berylpond/platform"
)

var (
	pageMetric       = regexp.MustCompile("(?m)^\\| `(berylpond_[a-z_]+)` \\|")
	registeredMetric = regexp.MustCompile(`fqName: "(berylpond_[a-z_]+)"`)
)

func TestPageListsEveryMetric(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/METRICS-PLATFORM.md")
	is.NoErr(err)
	onPage := map[string]bool{}
	for _, m := range pageMetric.FindAllStringSubmatch(string(page), -1) {
		onPage[m[1]] = true
	}
	i := New(t.Context(), platform.Settings{IP: "127.0.0.1", MemoryBytes: 1 << 30, Store: platform.StoreSettings{Partitions: 1}},
		feature.Set{})
	described := make(chan *prometheus.Desc)
	go func() {
		i.metrics.Describe(described)
		close(described)
	}()
	for d := range described {
		name := registeredMetric.FindStringSubmatch(d.String())[1]
		if !onPage[name] {
			t.Errorf("%s is not on the page", name)
		}
		delete(onPage, name)
	}
	for name := range onPage {
		t.Errorf("%s is on the page and not registered", name)
	}
}
