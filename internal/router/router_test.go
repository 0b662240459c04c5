package router

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	"github.com/berylpond/berylpond/internal/executor"
	"github.com/berylpond/berylpond/internal/member"
	"github.com/berylpond/berylpond/internal/peer"
	"github.com/berylpond/berylpond/internal/program"
	"github.com/berylpond/berylpond/internal/verdict"
)

// holders is a lookup with one holder for all shards, or none.
type holders struct {
	inst member.Instance
	ok   bool
}

func (h *holders) Holder(int) (member.Instance, bool) { return h.inst, h.ok }
func (h *holders) ShardCount() int                    { return 3 }

// local counts the calls that run on this instance.
type local struct{ calls int }

func (l *local) Execute(_ context.Context, _ *peerv1.CallRequest, emit executor.EmitFunc) error {
	l.calls++
	return emit(&peerv1.CallEvent{Event: &peerv1.CallEvent_End{End: &peerv1.End{}}})
}

// remote is another instance that responds with the given events.
type remote struct {
	peerv1.UnimplementedPeerServer
	events   []*peerv1.CallEvent
	received []*peerv1.CallRequest
}

func (r *remote) Call(req *peerv1.CallRequest, s grpc.ServerStreamingServer[peerv1.CallEvent]) error {
	r.received = append(r.received, req)
	for _, ev := range r.events {
		if err := s.Send(ev); err != nil {
			return err
		}
	}
	return nil
}

type dialer struct{}

func (dialer) ReadyConn(_ context.Context, addr string) (grpc.ClientConnInterface, error) {
	if addr == "" {
		return nil, errors.New("unreachable")
	}
	return grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
}

func serveRemote(t *testing.T, r *remote) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	peerv1.RegisterPeerServer(s, r)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

func newRouter(h *holders, others ...member.Instance) (*Router, *local) {
	table := member.NewTable(member.Instance{ID: "giza-0", DataCentre: "giza"})
	for _, inst := range others {
		table.Merge(inst)
	}
	l := &local{}
	return New(table, h, dialer{}, l, nil, func(string) []string { return []string{"giza", "nasr", "shubra"} }), l
}

func discard(*peerv1.CallEvent) error { return nil }

func account() *peerv1.Account { return &peerv1.Account{Team: "t", Name: "a"} }

func TestCallRunsAtHolder(t *testing.T) {
	is := is.New(t)
	end := &peerv1.CallEvent{Event: &peerv1.CallEvent_End{End: &peerv1.End{Head: "1-x"}}}
	other := &remote{events: []*peerv1.CallEvent{end}}
	h := &holders{inst: member.Instance{ID: "giza-1", DataCentre: "giza", PeerAddr: serveRemote(t, other)}, ok: true}
	r, l := newRouter(h)
	req := &peerv1.CallRequest{Account: account(), Program: program.NewID("giza")}
	var head string
	err := r.Call(context.Background(), req, func(ev *peerv1.CallEvent) error {
		head = ev.GetEnd().GetHead()
		return nil
	})
	is.NoErr(err)
	is.Equal(head, "1-x")
	is.Equal(l.calls, 0)
	is.Equal(other.received[0].Hops, int32(1))
	is.Equal(req.Hops, int32(0)) // the caller's request is unchanged
	h.inst = member.Instance{ID: "giza-0"}
	is.NoErr(r.Call(context.Background(), req, discard))
	is.Equal(l.calls, 1)
}

// A response without an End event, as after a connection that is lost once the call was sent, must not be reported as
// NotRun.
func TestLostResponseMayHaveRun(t *testing.T) {
	is := is.New(t)
	other := &remote{events: []*peerv1.CallEvent{{Event: &peerv1.CallEvent_Delta{Delta: &peerv1.Delta{Data: []byte("half")}}}}}
	r, _ := newRouter(&holders{inst: member.Instance{ID: "giza-1", DataCentre: "giza", PeerAddr: serveRemote(t, other)},
		ok: true})
	err := r.Call(context.Background(), &peerv1.CallRequest{Account: account(), Program: program.NewID("giza")}, discard)
	is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
	is.Equal(len(other.received), 1) // it is not retried
}

func TestRemoteRefusalKeepsVerdict(t *testing.T) {
	is := is.New(t)
	refusal := verdict.Refuse(409, verdict.ReasonWrongHead, 0, "wrong head")
	other := &remote{events: []*peerv1.CallEvent{{Event: &peerv1.CallEvent_Failure{Failure: peer.FailureToWire(refusal)}}}}
	r, _ := newRouter(&holders{inst: member.Instance{ID: "giza-1", DataCentre: "giza", PeerAddr: serveRemote(t, other)},
		ok: true})
	err := r.Call(context.Background(), &peerv1.CallRequest{Account: account(), Program: program.NewID("giza")}, discard)
	is.Equal(*verdict.From(err), *refusal)
}

func TestCallWaitsForHolder(t *testing.T) {
	is := is.New(t)
	h := &holders{}
	r, l := newRouter(h)
	ctx, cancel := context.WithTimeout(context.Background(), 3*holderRetryInterval)
	defer cancel()
	err := r.Call(ctx, &peerv1.CallRequest{Account: account(), Program: program.NewID("giza")}, discard)
	is.Equal(verdict.From(err).Reason, verdict.ReasonOwnerUnavailable)
	is.Equal(verdict.From(err).Verdict, verdict.NotRun)
	is.True(verdict.From(err).RetryAfter > 0)
	is.Equal(l.calls, 0)
}

func TestCallBeyondMaxHopsIsRefused(t *testing.T) {
	is := is.New(t)
	other := &remote{}
	r, _ := newRouter(&holders{inst: member.Instance{ID: "giza-1", DataCentre: "giza", PeerAddr: serveRemote(t, other)},
		ok: true})
	ctx, cancel := context.WithTimeout(context.Background(), holderRetryInterval)
	defer cancel()
	err := r.Call(ctx, &peerv1.CallRequest{Account: account(), Program: program.NewID("giza"), Hops: maxHops}, discard)
	is.Equal(verdict.From(err).Verdict, verdict.NotRun)
	is.Equal(len(other.received), 0)
}

func TestUnreachableHomeDataCentreIsNotRun(t *testing.T) {
	is := is.New(t)
	r, _ := newRouter(&holders{}, member.Instance{ID: "nasr-0", DataCentre: "nasr"}, member.Instance{ID: "shubra-0", DataCentre: "shubra", Leaving: true})
	for _, dc := range []string{"nasr", "shubra", "unknown"} {
		err := r.Call(context.Background(), &peerv1.CallRequest{Account: account(), Program: program.NewID(dc)}, discard)
		is.Equal(verdict.From(err).Reason, verdict.ReasonHomeUnreachable)
		is.Equal(verdict.From(err).Verdict, verdict.NotRun)
		is.True(verdict.From(err).RetryAfter >= time.Second)
	}
	err := r.Call(context.Background(), &peerv1.CallRequest{Account: account(), Program: "nonsense"}, discard)
	is.Equal(verdict.From(err).Reason, verdict.ReasonUnknownProgram)
}

// All instances must pick the same home data centre for a key, whatever the order of the data centres, so that
// concurrent claims of one key are arbitrated by one cell.
func TestInstancesAgreeOnHomeOfKey(t *testing.T) {
	is := is.New(t)
	r, _ := newRouter(&holders{})
	other, _ := newRouter(&holders{})
	other.dataCentres = func(string) []string { return []string{"shubra", "giza", "nasr"} } // another order
	seen := map[string]int{}
	for i := range 300 {
		key := string(rune('a' + i))
		home := r.homeOfKey(account(), key)
		is.Equal(home, other.homeOfKey(account(), key))
		seen[home]++
	}
	is.Equal(len(seen), 3)
}
