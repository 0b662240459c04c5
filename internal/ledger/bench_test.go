package ledger

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	programv1 "github.com/berylpond/berylpond/api/program/v1"
	"github.com/berylpond/berylpond/internal/member"
)

const benchDataCentre = "giza"

// instantLog accepts every event without delay.
type instantLog struct{}

func (instantLog) Append(context.Context, *programv1.Event) error               { return nil }
func (instantLog) Enqueue(*programv1.Event) error                               { return nil }
func (instantLog) AppendAsWitness(context.Context, int, *programv1.Event) error { return nil }
func (instantLog) WaitRead(context.Context, int64) error                        { return nil }
func (instantLog) AppendMarker(context.Context, int, uint64) error              { return nil }

// countedDialer connects to other slots and counts the bytes of the connections, in both directions.
type countedDialer struct {
	conns map[string]*grpc.ClientConn
	bytes atomic.Int64
}

func (d *countedDialer) Conn(addr string) (grpc.ClientConnInterface, error) {
	return d.conns[addr], nil
}

func (d *countedDialer) dial(b *testing.B, addr string) {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			return &countedConn{Conn: c, bytes: &d.bytes}, err
		}))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	d.conns[addr] = conn
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

type holdServer struct {
	peerv1.UnimplementedPeerServer
	l *Ledger
}

func (s holdServer) Hold(_ context.Context, req *peerv1.HoldRequest) (*peerv1.HoldReply, error) {
	defer s.l.DropHeld(int(req.Part), req.Id) // As if the event had been read back from the log.
	return &peerv1.HoldReply{}, s.l.HandleHold(req)
}

// benchLedger returns slot 0 of a cell whose other slots listen on loopback addresses.
func benchLedger(b *testing.B, slots int) (*Ledger, *countedDialer) {
	table := member.NewTable(member.Instance{ID: "giza-0", DataCentre: benchDataCentre})
	d := &countedDialer{conns: map[string]*grpc.ClientConn{}}
	for slot := 1; slot < slots; slot++ {
		l := New(Config{DataCentre: benchDataCentre, Slot: slot, Slots: slots}, table, d, instantLog{})
		l.SetReady()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		srv := grpc.NewServer()
		peerv1.RegisterPeerServer(srv, holdServer{l: l})
		go func() { _ = srv.Serve(listener) }()
		b.Cleanup(srv.Stop)
		addr := listener.Addr().String()
		d.dial(b, addr)
		table.Merge(member.Instance{ID: fmt.Sprint("giza-", slot), DataCentre: benchDataCentre, Slot: slot, PeerAddr: addr})
	}
	l := New(Config{DataCentre: benchDataCentre, Slots: slots}, table, d, instantLog{})
	l.SetReady()
	return l, d
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkHold measures recording an event at a majority of the cell: the latency, and the CPU time and TCP bytes of
// all slots together. The log responds without delay.
func BenchmarkHold(b *testing.B) {
	for _, slots := range []int{3, 5, 7} {
		for _, size := range []int{200, 4000} {
			b.Run(fmt.Sprintf("slots=%d/bytes=%d", slots, size), func(b *testing.B) { benchHold(b, slots, size) })
		}
	}
}

func benchHold(b *testing.B, slots, size int) {
	l, d := benchLedger(b, slots)
	ctx := context.Background()
	text := string(make([]byte, size))
	record := func(i int) {
		ev := &programv1.Event{Id: fmt.Sprint("event-", i), Program: "prg_giza_1", Body: &programv1.Event_TurnCommitted{
			TurnCommitted: &programv1.TurnCommitted{Answer: text},
		}}
		if err := l.Record(ctx, 0, 1, ev); err != nil {
			b.Fatal(err)
		}
		l.DropHeld(0, ev.Id)
	}
	record(-1) // Opens the connections.
	b.ResetTimer()
	cpu, bytes := cpuTime(), d.bytes.Load()
	for i := range b.N {
		record(i)
	}
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(d.bytes.Load()-bytes)/float64(b.N), "tcp-B/op")
}
