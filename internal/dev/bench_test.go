package dev

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// bucketFillTime is longer than the development account's token bucket takes to fill.
const bucketFillTime = 2500 * time.Millisecond

// BenchmarkTokens measures the CPU time of concurrent streamed calls by their number of tokens. It includes the daemon,
// the fake engine and the caller. Run it with at most 60 calls, the development account's burst.
func BenchmarkTokens(b *testing.B) {
	for _, tokens := range []int{12, 100, 400} {
		b.Run(fmt.Sprint("tokens=", tokens), func(b *testing.B) { benchTokens(b, tokens) })
	}
}

func benchTokens(b *testing.B, tokens int) {
	s, err := Start(context.Background(), Options{CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0"})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	body := fmt.Sprintf(`{"model":"small","max_tokens":%d,"stream":true,"messages":[{"role":"user","content":"hello"}]}`, tokens)
	time.Sleep(bucketFillTime)
	b.ResetTimer()
	start := cpuTime()
	var calls sync.WaitGroup
	for range b.N {
		calls.Go(func() {
			resp, respBody := post(b, s, "/v1/chat/completions", nil, body)
			if resp.StatusCode != http.StatusOK || !bytes.HasSuffix(respBody, []byte("data: [DONE]\n\n")) {
				b.Errorf("status %d, %d bytes", resp.StatusCode, len(respBody))
			}
		})
	}
	calls.Wait()
	b.ReportMetric(float64((cpuTime()-start).Microseconds())/float64(b.N), "cpu-us/call")
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
