package daemon

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/berylpond/berylpond/internal/fakes/instances"
	"github.com/berylpond/berylpond/internal/platformclient"
)

// BenchmarkPlatformList measures one read of the platform's instance list: the processor time of the client and the
// fake, and the size of the response in bytes.
func BenchmarkPlatformList(b *testing.B) {
	for _, n := range []int{20, 1000, 4000} {
		b.Run(fmt.Sprint("entries=", n), func(b *testing.B) {
			list := instances.New()
			for i := range n {
				list.Put(instances.Instance{ID: fmt.Sprintf("runner-%05d", i), Kind: "engine", DataCentre: "region1-dc1",
					Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Pool: "model-pool", State: "live"})
			}
			srv := httptest.NewServer(list)
			defer srv.Close()
			rec := httptest.NewRecorder()
			list.ServeHTTP(rec, httptest.NewRequest("GET", "/v1/instances", nil))
			client := platformclient.New(srv.URL, platformclient.WithInstancesURL(srv.URL))
			b.ResetTimer()
			cpu := processorTime()
			for range b.N {
				got, err := client.Instances(context.Background())
				if err != nil || len(got) != n {
					b.Fatal(len(got), err)
				}
			}
			b.ReportMetric(float64((processorTime()-cpu).Microseconds())/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(rec.Body.Len()), "answer-B/op")
		})
	}
}
