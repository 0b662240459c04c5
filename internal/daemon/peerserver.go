package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	programv1 "github.com/berylpond/berylpond/api/program/v1"
	"github.com/berylpond/berylpond/internal/ledger"
	"github.com/berylpond/berylpond/internal/peer"
	"github.com/berylpond/berylpond/internal/verdict"
)

// defaultListLimit is the maximum number of listed programs if a request sets no limit.
const defaultListLimit = 100

// peerServer implements the gRPC service for other instances.
type peerServer struct {
	peerv1.UnimplementedPeerServer
	d *Daemon
}

func registerPeer(s grpc.ServiceRegistrar, d *Daemon) {
	peerv1.RegisterPeerServer(s, &peerServer{d: d})
}

// Exchange returns this instance's table, unless the caller's is equal, and then merges the caller into it. The
// response is built before the merge, so that a new incarnation gets the entry of its predecessor.
func (p *peerServer) Exchange(_ context.Context, req *peerv1.ExchangeRequest) (*peerv1.ExchangeReply, error) {
	reply := &peerv1.ExchangeReply{}
	if req.Digest != p.d.table.Digest() {
		reply.Instances = p.d.instancesToWire()
	}
	if req.Self != nil {
		p.d.mergeInstances([]*peerv1.Instance{req.Self})
	}
	return reply, nil
}

// Call runs one call or forwards it.
func (p *peerServer) Call(req *peerv1.CallRequest, stream grpc.ServerStreamingServer[peerv1.CallEvent]) error {
	err := p.d.router.Call(stream.Context(), req, func(ev *peerv1.CallEvent) error {
		if err := stream.Send(ev); err != nil {
			return verdict.Fail(502, verdict.ReasonCancelled, "the instance that passed the call on has gone")
		}
		return nil
	})
	if err == nil {
		return nil
	}
	return stream.Send(&peerv1.CallEvent{Event: &peerv1.CallEvent_Failure{Failure: peer.FailureToWire(verdict.From(err))}})
}

// CreateProgram creates a program here or forwards the request to the holder of its shard.
func (p *peerServer) CreateProgram(ctx context.Context, req *peerv1.CreateProgramRequest) (*peerv1.ProgramReply, error) {
	return programReply(p.d.router.CreateProgram(ctx, req))
}

// GetProgram returns a program.
func (p *peerServer) GetProgram(ctx context.Context, req *peerv1.ProgramRequest) (*peerv1.ProgramReply, error) {
	return programReply(p.d.router.GetProgram(ctx, req))
}

// EndProgram ends a program.
func (p *peerServer) EndProgram(ctx context.Context, req *peerv1.ProgramRequest) (*peerv1.ProgramReply, error) {
	return programReply(p.d.router.EndProgram(ctx, req))
}

func programReply(pr *peerv1.Program, err error) (*peerv1.ProgramReply, error) {
	if err != nil {
		return &peerv1.ProgramReply{Failure: peer.FailureToWire(verdict.From(err))}, nil
	}
	return &peerv1.ProgramReply{Program: pr}, nil
}

// ListPrograms lists the programs whose shards this instance holds.
func (p *peerServer) ListPrograms(_ context.Context, req *peerv1.ListProgramsRequest) (*peerv1.ListProgramsReply, error) {
	limit := int(req.Limit)
	if limit <= 0 {
		limit = defaultListLimit
	}
	out := &peerv1.ListProgramsReply{}
	for _, pr := range p.d.programs.List(req.Team, limit) {
		out.Programs = append(out.Programs, peer.ProgramToWire(&pr, false))
	}
	return out, nil
}

// Hold stores an event in memory for the holder of a shard.
func (p *peerServer) Hold(_ context.Context, req *peerv1.HoldRequest) (*peerv1.HoldReply, error) {
	if err := p.d.ledger.HandleHold(req); err != nil {
		return nil, ledgerStatus(err)
	}
	return &peerv1.HoldReply{}, nil
}

// FetchHeld promises the new holder's term and returns the events of a shard that this instance knows.
func (p *peerServer) FetchHeld(_ context.Context, req *peerv1.FetchHeldRequest) (*peerv1.FetchHeldReply, error) {
	reply, err := p.d.ledger.Promise(int(req.Part), req.Term)
	if err != nil {
		return nil, ledgerStatus(err)
	}
	return reply, nil
}

// RecordEvent records the end of a turn that was started by a previous holder of the shard.
func (p *peerServer) RecordEvent(ctx context.Context, req *peerv1.RecordEventRequest) (*peerv1.RecordEventReply, error) {
	ev := &programv1.Event{}
	if err := proto.Unmarshal(req.Event, ev); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if err := p.d.programs.RecordForwarded(ctx, ev); err != nil {
		return &peerv1.RecordEventReply{Failure: peer.FailureToWire(verdict.From(err))}, nil
	}
	return &peerv1.RecordEventReply{}, nil
}

func ledgerStatus(err error) error {
	switch {
	case errors.Is(err, ledger.ErrStaleTerm):
		return status.Error(codes.FailedPrecondition, err.Error())
	case errors.Is(err, ledger.ErrFull):
		return status.Error(codes.ResourceExhausted, err.Error())
	}
	return status.Error(codes.Unavailable, err.Error())
}

// adminTimeout is the timeout of a forwarded request of an operator.
const adminTimeout = 5 * time.Second
