package config

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

// idleTime is how long BenchmarkFleetEdit watches a fleet without changes.
const idleTime = 3 * time.Second

// BenchmarkFleetEdit measures one edit of a document on its way to all instances of a fleet at the default intervals: the
// time until it is in force everywhere, and the messages and their bytes for each instance. Before that it measures the
// bytes that an instance sends and receives while nothing changes.
func BenchmarkFleetEdit(b *testing.B) {
	for _, n := range []int{10, 50, 200} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) { benchSpread(b, n) })
	}
}

func benchSpread(b *testing.B, n int) {
	network, cs := newSite(n, newFakeLog(), Config{})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, c := range cs {
		wg.Go(func() { _ = c.Run(ctx) })
	}
	defer wg.Wait()
	defer cancel()
	doc := exampleDocument(b)
	version, err := cs[0].Apply(ctx, nile, 0, doc, "")
	if err != nil {
		b.Fatal(err)
	}
	inForce := func() bool {
		return everywhere(cs, func(s *Snapshot) bool { return s.Version(nile) >= version })()
	}
	wait := func() {
		for !inForce() {
			time.Sleep(time.Millisecond)
		}
	}
	wait()
	time.Sleep(idleTime) // Lets the rounds that follow the edit end.
	bytesBefore := network.bytes.Load()
	time.Sleep(idleTime)
	idle := float64(network.bytes.Load()-bytesBefore) / idleTime.Seconds() / float64(n)
	bytesBefore, calls := network.bytes.Load(), network.calls.Load()
	b.ResetTimer()
	for i := range b.N {
		doc = bytes.Replace(doc, []byte("burst = 5"), []byte(fmt.Sprint("burst = 5", i%10)), 1)
		if version, err = cs[i%n].Apply(ctx, nile, version, doc, ""); err != nil {
			b.Fatal(err)
		}
		wait()
		doc = exampleDocument(b)
	}
	seconds := b.Elapsed().Seconds()
	b.StopTimer()
	edits := float64(b.N * n)
	b.ReportMetric(idle, "idle-B/s/instance")
	b.ReportMetric(float64(network.bytes.Load()-bytesBefore)/edits-idle*seconds/float64(b.N), "message-B/edit/instance")
	b.ReportMetric(float64(network.calls.Load()-calls)/edits, "calls/edit/instance")
}
