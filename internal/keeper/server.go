package keeper

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	keeperv1 "github.com/berylpond/berylpond/api/keeper/v1"
	"github.com/berylpond/berylpond/internal/scheduler/framework"
	"github.com/berylpond/berylpond/internal/verdict"
)

// server implements the keeper service for other instances.
type server struct {
	keeperv1.UnimplementedKeeperServer
	c *Controller
}

// Admit implements keeperv1.KeeperServer.
func (s *server) Admit(stream keeperv1.Keeper_AdmitServer) error {
	c := s.c
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetCall() == nil {
		return status.Error(codes.InvalidArgument, "the first request holds the call")
	}
	call := callFromWire(first.GetCall(), c.now())
	g := c.group(groupKey{call.Team, call.Model})
	if g == nil || !c.isKeeper(g) {
		return stream.Send(movedToWire())
	}
	onQueued := func() { _ = stream.Send(queuedToWire()) }
	grant, err := c.wait(stream.Context(), g.primary, call.Call, onQueued)
	if errors.Is(err, errMoved) {
		return stream.Send(movedToWire())
	}
	if err != nil {
		return stream.Send(refusedToWire(verdict.From(err)))
	}
	g.primary.done(call.ID, holdPermit(stream, g.primary, call.ID, grant))
	return nil
}

// holdPermit holds the permit until the caller sends Done or the stream breaks.
func holdPermit(stream keeperv1.Keeper_AdmitServer, r *runner, id string, grant *framework.Grant) framework.Outcome {
	aborted := framework.Outcome{Kind: framework.Cancelled}
	if err := stream.Send(grantToWire(grant)); err != nil {
		return aborted
	}
	for {
		request, err := stream.Recv()
		if err != nil {
			return aborted
		}
		if done := request.GetDone(); done != nil {
			return doneFromWire(done)
		}
		if request.GetProgress() != nil {
			r.progress(id)
		}
	}
}

// Release implements keeperv1.KeeperServer.
func (s *server) Release(_ context.Context, in *keeperv1.ReleaseRequest) (*keeperv1.ReleaseReply, error) {
	s.c.endProgramLocal(in.GetProgram())
	return &keeperv1.ReleaseReply{}, nil
}
