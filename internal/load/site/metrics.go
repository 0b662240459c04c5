package site

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// scrapeTimeout is the timeout of one scrape.
const scrapeTimeout = 5 * time.Second

// Sample holds the metrics of one daemon that berylload reports.
type Sample struct {
	// CPUSeconds is the CPU time since the start of the process, ResidentBytes its memory.
	CPUSeconds    float64
	ResidentBytes float64
	// ControlBytes counts bytes sent between instances, if the daemon exports a metric for them.
	ControlBytes float64
	// Retries counts calls retried on a second backend server, Attempts all requests to backend servers.
	Retries  float64
	Attempts float64
	// Violations counts violated invariants.
	Violations float64
}

// Scrape reads the metrics of the daemon from the address that callers connect to.
func Scrape(ctx context.Context, addr string) (Sample, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return Sample{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Sample{}, errors.Wrap(err, "metrics")
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return Sample{}, errors.Wrap(err, "metrics")
	}
	var s Sample
	for name, f := range families {
		switch {
		case name == "process_cpu_seconds_total":
			s.CPUSeconds = sum(f)
		case name == "process_resident_memory_bytes":
			s.ResidentBytes = sum(f)
		case name == "berylpond_retries_total":
			s.Retries = sum(f)
		case name == "berylpond_backend_attempts_total":
			s.Attempts = sum(f)
		case name == "berylpond_invariant_violations_total":
			s.Violations = sum(f)
		case strings.HasPrefix(name, "berylpond_control_") && strings.HasSuffix(name, "bytes_total"):
			s.ControlBytes += sum(f)
		}
	}
	return s, nil
}

func sum(f *dto.MetricFamily) float64 {
	var total float64
	for _, m := range f.Metric {
		total += m.GetCounter().GetValue() + m.GetGauge().GetValue() + m.GetUntyped().GetValue()
	}
	return total
}

// ScrapeAll reads the metrics of all daemons, by address. Daemons that do not respond are left out.
func (s *Site) ScrapeAll(ctx context.Context) map[string]Sample {
	out := map[string]Sample{}
	for _, in := range s.Instances {
		if sample, err := Scrape(ctx, in.CallerAddress()); err == nil {
			out[in.CallerAddress()] = sample
		}
	}
	return out
}
