package journal

import (
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	journalv1 "github.com/berylpond/berylpond/api/journal/v1"
	"github.com/berylpond/berylpond/internal/fakes/logsvc"
	"github.com/berylpond/berylpond/internal/platformclient"
)

const (
	benchBudget  = 400.0
	benchPayload = 512
	// benchCallers is the number of records that each writer has in flight.
	benchCallers = 8
)

// BenchmarkAppend measures durable records per second over HTTP to a log that accepts benchBudget appends per second.
func BenchmarkAppend(b *testing.B) {
	for _, writers := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("writers=%d", writers), func(b *testing.B) { benchmarkAppend(b, writers) })
	}
}

func benchmarkAppend(b *testing.B, writers int) {
	log := logsvc.New(logsvc.WithAppendLimit(benchBudget), logsvc.WithRetention(0, 1))
	server := httptest.NewServer(log)
	defer server.Close()
	client := platformclient.New(server.URL)
	ws := make([]*Writer, writers)
	for i := range ws {
		// A tenth of the budget is left unused, so that appends that coincide are not refused.
		ws[i] = NewWriter(client, fmt.Sprintf("s%d", i), WriterID{fmt.Sprintf("writer-%03d", i), 1}, WithAppendBudget(0.9*benchBudget))
		ws[i].SetWriterCount(writers)
		defer ws[i].Close()
	}
	payload := make([]byte, benchPayload)
	tickets := make(chan struct{}, b.N)
	for range b.N {
		tickets <- struct{}{}
	}
	close(tickets)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var total time.Duration
	notDurable := 0
	b.ResetTimer()
	for i := range writers * benchCallers {
		wg.Go(func() {
			for range tickets {
				start := time.Now()
				rec := &journalv1.Record{Kind: "turn", Key: "giza.0123456789abcdef", UnixMs: start.UnixMilli(), Payload: payload}
				_, err := ws[i%writers].Append(b.Context(), rec)
				if err != nil && !errors.Is(err, ErrNotDurable) {
					b.Error(err)
					return
				}
				mu.Lock()
				if err != nil {
					notDurable++
				}
				total += time.Since(start)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for _, w := range ws {
		if err := w.Drain(b.Context()); err != nil {
			b.Error(err)
		}
	}
	b.StopTimer()
	stats := log.Stats()
	seconds := b.Elapsed().Seconds()
	b.ReportMetric(float64(b.N)/seconds, "records/s")
	b.ReportMetric(float64(stats.Appends)/seconds, "appends/s")
	b.ReportMetric(float64(stats.Refused)/seconds, "refused/s")
	b.ReportMetric(float64(notDurable), "late-records")
	b.ReportMetric(float64(stats.Bytes)/float64(b.N), "bytes/record")
	b.ReportMetric(total.Seconds()*1000/float64(b.N), "ms/append")
}
