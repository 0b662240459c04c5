package ctl

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/berylpond/berylpond/internal/configcheck"
	"github.com/berylpond/berylpond/internal/routing"
	"github.com/berylpond/berylpond/internal/storewatch"
	"github.com/berylpond/berylpond/platform"
)

const (
	// requestTimeMetric is the histogram of request times by kind of route.
	requestTimeMetric = "berylpond_gateway_request_seconds"
	// knownShare is the share of requests whose time is taken as that of a call.
	knownShare = 0.9
	// minSamples is the number of requests below which a histogram says nothing about that share.
	minSamples = 100
	// maxMetricsBytes is the maximum size of a page of metrics.
	maxMetricsBytes = 64 << 20
)

// checkSources is what a configuration is checked with.
type checkSources struct {
	known       configcheck.Known
	inForce     []byte
	inForceName string
}

func readSources(ctx context.Context, o checkOptions) (checkSources, error) {
	var s checkSources
	if o.settings != "" {
		settings, err := platform.LoadSettings(o.settings)
		if err != nil {
			return s, err
		}
		s.known.Regions = slices.Sorted(maps.Values(settings.RegionOf))
		s.known.Regions = slices.Compact(s.known.Regions)
		s.known.MemoryBytes = settings.MemoryBytes
	}
	if o.store != "" {
		if err := s.readStore(ctx, o.store); err != nil {
			return s, errors.Wrapf(err, "the store at %s", o.store)
		}
	}
	if o.against != "" {
		raw, err := readConfigFile(o.against)
		if err != nil {
			return s, err
		}
		s.inForce, s.inForceName = raw, o.against
	}
	if o.metrics != "" {
		times, err := readRequestTimes(ctx, o.metrics)
		if err != nil {
			return s, errors.Wrapf(err, "the metrics at %s", o.metrics)
		}
		s.known.RequestTimes = times
	}
	return s, nil
}

func (s *checkSources) readStore(ctx context.Context, address string) error {
	store := platform.NewStore(platform.NewHTTPTransport(address, nil))
	_, records, err := storewatch.ReadNewest(ctx, store, platform.OperatorTopic)
	if err != nil {
		return err
	}
	for _, r := range records {
		if platform.IsConfigKey(r.Key) && len(r.Value) > 0 {
			s.inForce, s.inForceName = r.Value, "store "+address
		}
	}
	_, records, err = storewatch.ReadNewest(ctx, store, platform.BackendsTopic)
	if err != nil {
		return err
	}
	s.known.Servers = map[string]int{}
	for _, r := range records {
		// Instances don't use entries that can't be decoded either.
		if e, err := platform.DecodeBackend(r.Key, r.Value); err == nil && !e.Draining {
			s.known.Servers[e.Service]++
		}
	}
	return nil
}

func readRequestTimes(ctx context.Context, url string) (map[routing.Kind]configcheck.RequestTime, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d", resp.StatusCode)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(io.LimitReader(resp.Body, maxMetricsBytes))
	if err != nil {
		return nil, err
	}
	return requestTimes(families[requestTimeMetric]), nil
}

func requestTimes(f *dto.MetricFamily) map[routing.Kind]configcheck.RequestTime {
	out := map[routing.Kind]configcheck.RequestTime{}
	for _, m := range f.GetMetric() {
		for _, l := range m.GetLabel() {
			for _, k := range []routing.Kind{routing.NonIdempotent, routing.Idempotent, routing.Streaming} {
				if l.GetName() == "kind" && l.GetValue() == k.String() && m.GetHistogram().GetSampleCount() >= minSamples {
					out[k] = configcheck.RequestTime{AtLeast: quantileAtLeast(m.GetHistogram(), knownShare), Share: knownShare}
				}
			}
		}
	}
	return out
}

// quantileAtLeast returns the lower bound of the bucket that holds the quantile.
func quantileAtLeast(h *dto.Histogram, share float64) time.Duration {
	lower := 0.0
	for _, b := range h.GetBucket() {
		if float64(b.GetCumulativeCount()) >= share*float64(h.GetSampleCount()) {
			break
		}
		lower = b.GetUpperBound()
	}
	return time.Duration(lower * float64(time.Second))
}
