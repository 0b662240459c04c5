package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkTick measures one evaluation of the demand of all accounts of one holder, and the heap that they occupy.
// Each account's demand exceeds its share, so that it asks for loans.
func BenchmarkTick(b *testing.B) {
	for _, dcs := range []int{3, 17} {
		for _, accounts := range []int{10, 100, 400} {
			b.Run(fmt.Sprintf("dcs=%d/accounts=%d", dcs, accounts), func(b *testing.B) { benchTick(b, dcs, accounts) })
		}
	}
}

func benchTick(b *testing.B, dcs, accounts int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	now := time.Unix(1e6, 0)
	h := NewHolder(dcName(0), DefaultLoanTimings(), dcs, 1)
	var limits []Limit
	for i := range accounts {
		limits = append(limits, Limit{Account: fmt.Sprint("account-", i), Rate: 1000, Burst: 1000})
	}
	h.SetLimits(now, 1, limits)
	h.Observe(now, 0, Lease{Term: 1}, true)
	var peers []string
	for dc := 1; dc < dcs; dc++ {
		peers = append(peers, dcName(dc))
	}
	for _, l := range limits {
		if _, ok := h.Account(0, l.Account); !ok {
			b.Fatal("no such account")
		}
	}
	requests := 0
	b.ResetTimer()
	for range b.N {
		now = now.Add(250 * time.Millisecond)
		h.ForEachAccount(func(_ int, _ string, a *Account) {
			a.RecordDemand(now, 250)
			requests += len(a.PeerRequests(now, peers))
		})
	}
	b.StopTimer()
	b.ReportMetric(float64(requests)/float64(b.N*accounts), "wishes/account/tick")
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(accounts), "held-B/account")
	runtime.KeepAlive(h)
	runtime.KeepAlive(limits)
}
