package config

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
	"github.com/berylpond/berylpond/internal/member"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// grpcDialer holds one connection for each address.
type grpcDialer struct {
	conns map[string]*grpc.ClientConn
	bytes atomic.Int64
}

func (d *grpcDialer) Conn(addr string) (grpc.ClientConnInterface, error) { return d.conns[addr], nil }

func (d *grpcDialer) connect(t testing.TB, addr string) {
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			var nd net.Dialer
			c, err := nd.DialContext(ctx, "tcp", addr)
			return countingConn{Conn: c, bytes: &d.bytes}, err
		}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	d.conns[addr] = conn
}

// grpcPair returns two controllers that communicate over loopback, and their addresses.
func grpcPair(t testing.TB, log Log) (*grpcDialer, []*Controller, []string) {
	d := &grpcDialer{conns: map[string]*grpc.ClientConn{}}
	var listeners []net.Listener
	var addrs []string
	for range 2 {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, lis)
		addrs = append(addrs, lis.Addr().String())
		d.connect(t, lis.Addr().String())
	}
	var cs []*Controller
	for i, lis := range listeners {
		table := member.NewTable(member.Instance{ID: addrs[i], DataCentre: "giza", PeerAddr: addrs[i]})
		table.Merge(member.Instance{ID: addrs[1-i], DataCentre: "giza", PeerAddr: addrs[1-i]})
		c := New(fastConfig(), table, d, log)
		s := grpc.NewServer()
		c.Register(s)
		go func() { _ = s.Serve(lis) }()
		t.Cleanup(s.Stop)
		cs = append(cs, c)
	}
	return d, cs, addrs
}

func TestAdminServiceOverGRPC(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	d, cs, addrs := grpcPair(t, newFakeLog())
	runControllers(t, cs...)
	admin := configv1.NewAdminClient(d.conns[addrs[0]])
	other := configv1.NewAdminClient(d.conns[addrs[1]])
	doc := exampleDocument(t)
	resp, err := admin.Apply(ctx, &configv1.ApplyRequest{Team: nile, Document: doc, Author: "amal"})
	is.NoErr(err)
	eventually(t, "version on both instances", onAll(cs, func(s *Snapshot) bool { return s.Version(nile) == resp.Version }))

	_, err = other.Apply(ctx, &configv1.ApplyRequest{Team: nile, Document: doc, Author: "sayed"})
	is.Equal(status.Code(err), codes.Aborted)
	st, _ := status.FromError(err)
	conflict, ok := st.Details()[0].(*configv1.Conflict)
	is.True(ok)
	is.Equal(conflict.Version, resp.Version)
	is.Equal(conflict.Author, "amal")

	_, err = other.Apply(ctx, &configv1.ApplyRequest{Team: nile, Document: []byte("team = 1")})
	is.Equal(status.Code(err), codes.InvalidArgument)
	got, err := other.Get(ctx, &configv1.GetRequest{Team: nile})
	is.NoErr(err)
	is.Equal(got.Document, doc)
	history, err := other.History(ctx, &configv1.HistoryRequest{Team: nile})
	is.NoErr(err)
	is.Equal(history.Versions[0].Author, "amal")
	_, err = other.Get(ctx, &configv1.GetRequest{Team: "none"})
	is.Equal(status.Code(err), codes.NotFound)
	_, err = admin.Withdraw(ctx, &configv1.WithdrawRequest{Team: nile})
	is.Equal(status.Code(err), codes.InvalidArgument)
	_, err = admin.Drain(ctx, &configv1.DrainRequest{Backend: "10.0.0.1:80", On: true})
	is.NoErr(err)
	eventually(t, "drained on both instances", onAll(cs, func(s *Snapshot) bool { return s.IsDrained("10.0.0.1:80") }))
}

// BenchmarkReconcileOverGRPC reports the bytes on the connection, in both directions, of a reconciliation that finds no
// differences.
func BenchmarkReconcileOverGRPC(b *testing.B) {
	d, cs, addrs := grpcPair(b, newFakeLog())
	ctx := context.Background()
	if err := cs[0].reconcile(ctx, addrs[1]); err != nil {
		b.Fatal(err)
	}
	before, runs := d.bytes.Load(), 0
	for b.Loop() {
		runs++
		if err := cs[0].reconcile(ctx, addrs[1]); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(d.bytes.Load()-before)/float64(runs), "wire-bytes/reconcile")
}

// BenchmarkPushOverGRPC reports the bytes on the connection, in both directions, of one pushed change.
func BenchmarkPushOverGRPC(b *testing.B) {
	d, cs, addrs := grpcPair(b, newFakeLog())
	doc := largeDocument(b)
	for _, c := range cs {
		c.update(func(s *State) {
			s.SetFirstOffset(0)
			s.Apply(0, editRecord("t", 0, "first", string(doc)))
		})
		<-c.pushes
	}
	ctx := context.Background()
	var before int64
	offset := uint64(0)
	for b.Loop() {
		offset++
		next := editDocument(doc, int(offset))
		applyEdit(cs[0], offset, doc, next)
		cs[0].push(ctx, addrs[1], <-cs[0].pushes)
		<-cs[1].pushes
		doc = next
		if offset == 1 {
			before = d.bytes.Load() // the first call also sets up the connection
		}
	}
	if offset > 1 {
		b.ReportMetric(float64(d.bytes.Load()-before)/float64(offset-1), "wire-bytes/push")
	}
}
