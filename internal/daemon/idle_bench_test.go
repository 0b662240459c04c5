package daemon

import (
	"context"
	"fmt"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/berylpond/berylpond/internal/fakes/instances"
	"github.com/berylpond/berylpond/internal/fakes/logsvc"
	"github.com/berylpond/berylpond/internal/settings"
)

const (
	idleSlots = 5
	// idleWarmup is the time in which leases, membership and configuration reach a steady state.
	idleWarmup  = 6 * time.Second
	idleMeasure = 5 * time.Second
)

// BenchmarkIdle measures the cost of a fleet without calls: the processor time of each daemon as a fraction of a core,
// and its heap. All daemons run in this process, five in each data centre. The processor time includes that of the
// fakes of the platform.
func BenchmarkIdle(b *testing.B) {
	for _, dcs := range []int{1, 4, 12} {
		b.Run(fmt.Sprint("daemons=", dcs*idleSlots), func(b *testing.B) {
			for range b.N {
				benchIdle(b, dcs)
			}
		})
	}
}

func benchIdle(b *testing.B, dcs int) {
	log, list := httptest.NewServer(logsvc.New()), httptest.NewServer(instances.New())
	defer log.Close()
	defer list.Close()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var names []string
	for dc := range dcs {
		names = append(names, fmt.Sprint("dc", dc))
	}
	var daemons []*Daemon
	var seeds []string
	for dc, name := range names {
		for slot := range idleSlots {
			s := settings.Default()
			s.Instance = settings.Instance{ID: fmt.Sprintf("%s-%d", name, slot), DataCentre: name, DataCentres: names, Slot: slot, CellSlots: idleSlots}
			s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0"}
			s.Platform = settings.Platform{LogURL: log.URL, InstancesURL: list.URL}
			s.Peers.Seeds = seeds
			d, err := New(s)
			if err != nil {
				b.Fatal(err)
			}
			if dc == 0 && slot == 0 {
				seeds = []string{d.PeerAddr()}
			}
			daemons = append(daemons, d)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, d := range daemons {
		running.Go(func() { _ = d.Run(ctx) })
	}
	time.Sleep(idleWarmup)
	cpu := processorTime()
	time.Sleep(idleMeasure)
	fraction := (processorTime() - cpu).Seconds() / idleMeasure.Seconds() / float64(len(daemons))
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(100*fraction, "%core/daemon")
	b.ReportMetric(float64(after.HeapAlloc+after.StackInuse-before.HeapAlloc-before.StackInuse)/float64(len(daemons))/1e6, "heap-MB/daemon")
	b.ReportMetric(float64(len(daemons[0].table.All())), "known")
	cancel()
	running.Wait()
}
