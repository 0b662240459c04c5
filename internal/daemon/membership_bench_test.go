package daemon

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/berylpond/berylpond/internal/member"
	"github.com/berylpond/berylpond/internal/peer"
)

// benchTable returns the table of instance number self in a fleet of n.
func benchTable(self, n int) *member.Table {
	instance := func(i int) member.Instance {
		return member.Instance{
			ID: fmt.Sprintf("entry-%04d", i), DataCentre: fmt.Sprintf("region%d-dc%d", i%6, i%17), Slot: i % 7,
			Incarnation: uint64(i + 1), PeerAddr: fmt.Sprintf("10.0.%d.%d:7080", i/250, i%250),
			HTTPAddr: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
		}
	}
	t := member.NewTable(instance(self))
	for i := range n {
		t.Merge(instance(i))
	}
	return t
}

// BenchmarkMembershipExchange measures one exchange of instance tables between two instances: the processor time of
// both, and the size of the request and the reply in bytes. Every membershipInterval, an instance makes exchangeFanout
// exchanges.
func BenchmarkMembershipExchange(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 2800} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) { benchExchange(b, n) })
	}
}

func benchExchange(b *testing.B, n int) {
	other := &Daemon{table: benchTable(1, n)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := peer.NewServer()
	registerPeer(srv, other)
	go func() { _ = srv.Serve(l) }()
	b.Cleanup(srv.Stop)
	d := &Daemon{table: benchTable(0, n), pool: peer.NewPool(nil)}
	d.exchange(context.Background(), l.Addr().String())
	b.ResetTimer()
	cpu := processorTime()
	for range b.N {
		d.exchange(context.Background(), l.Addr().String())
	}
	b.ReportMetric(float64((processorTime()-cpu).Microseconds())/float64(b.N), "cpu-us/op")
	request := d.exchangeRequest()
	reply, err := (&peerServer{d: other}).Exchange(context.Background(), request)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(proto.Size(request)+proto.Size(reply)), "message-B/op")
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
