package router

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	"github.com/berylpond/berylpond/internal/peer"
	"github.com/berylpond/berylpond/internal/program"
	"github.com/berylpond/berylpond/internal/verdict"
)

// programTimeout bounds a create, get or end request to another instance.
const programTimeout = 3 * time.Second

// CreateProgram creates a program at the holder of its shard.
func (r *Router) CreateProgram(ctx context.Context, req *peerv1.CreateProgramRequest) (*peerv1.Program, error) {
	return r.runAtHolder(ctx, req.Program, req.Hops, func() (*peerv1.Program, error) {
		p, err := r.programs.Create(ctx, program.CreateSpec{
			ID: req.Program, Team: req.Account.Team, Account: req.Account.Name, Parent: req.Parent,
			BudgetTokens: req.BudgetTokens, BudgetCalls: req.BudgetCalls, Deadline: time.UnixMilli(req.DeadlineUnixMs),
		})
		return toWire(&p, false, err)
	}, func(ctx context.Context, c peerv1.PeerClient) (*peerv1.ProgramReply, error) {
		next := proto.CloneOf(req)
		next.Hops++
		return c.CreateProgram(ctx, next)
	})
}

// GetProgram reads a program at the holder of its shard.
func (r *Router) GetProgram(ctx context.Context, req *peerv1.ProgramRequest) (*peerv1.Program, error) {
	return r.runAtHolder(ctx, req.Program, req.Hops, func() (*peerv1.Program, error) {
		p, busy, err := r.programs.Get(req.Program)
		if err == nil {
			err = checkAccess(&p, req)
		}
		return toWire(&p, busy, err)
	}, func(ctx context.Context, c peerv1.PeerClient) (*peerv1.ProgramReply, error) {
		return c.GetProgram(ctx, nextHop(req))
	})
}

// EndProgram ends a program at the holder of its shard.
func (r *Router) EndProgram(ctx context.Context, req *peerv1.ProgramRequest) (*peerv1.Program, error) {
	return r.runAtHolder(ctx, req.Program, req.Hops, func() (*peerv1.Program, error) {
		p, _, err := r.programs.Get(req.Program)
		if err == nil {
			err = checkAccess(&p, req)
		}
		if err == nil {
			p, err = r.programs.End(ctx, req.Program, "ended by its caller")
		}
		return toWire(&p, false, err)
	}, func(ctx context.Context, c peerv1.PeerClient) (*peerv1.ProgramReply, error) {
		return c.EndProgram(ctx, nextHop(req))
	})
}

func nextHop(req *peerv1.ProgramRequest) *peerv1.ProgramRequest {
	next := proto.CloneOf(req)
	next.Hops++
	return next
}

func checkAccess(p *program.Program, req *peerv1.ProgramRequest) error {
	if req.Admin || (p.Team == req.Account.GetTeam() && p.Account == req.Account.GetName()) {
		return nil
	}
	return verdict.Refuse(http.StatusNotFound, verdict.ReasonUnknownProgram, 0, "no such program")
}

func toWire(p *program.Program, busy bool, err error) (*peerv1.Program, error) {
	if err != nil {
		return nil, err
	}
	return peer.ProgramToWire(p, busy), nil
}

type remoteCall func(context.Context, peerv1.PeerClient) (*peerv1.ProgramReply, error)

// runAtHolder handles a request about a program locally if this instance holds the program's shard, and otherwise
// forwards it to the holder.
func (r *Router) runAtHolder(ctx context.Context, id string, hops int32, runLocal func() (*peerv1.Program, error), callRemote remoteCall) (*peerv1.Program, error) {
	var out *peerv1.Program
	err := r.retryWithoutHolder(ctx, func() error {
		var err error
		out, err = r.tryAtHolder(ctx, id, hops, runLocal, callRemote)
		return err
	})
	return out, err
}

func (r *Router) tryAtHolder(ctx context.Context, id string, hops int32, runLocal func() (*peerv1.Program, error), callRemote remoteCall) (*peerv1.Program, error) {
	candidates, err := r.candidatesForProgram(id)
	if err != nil {
		return nil, err
	}
	conn, local, err := r.connect(ctx, candidates)
	if err != nil {
		return nil, err
	}
	if local {
		return runLocal()
	}
	if hops >= maxHops {
		return nil, noHolder()
	}
	ctx, cancel := context.WithTimeout(ctx, programTimeout)
	defer cancel()
	reply, err := callRemote(ctx, peerv1.NewPeerClient(conn))
	if err != nil {
		return nil, instanceLost(err)
	}
	if reply.Failure != nil {
		return nil, peer.FailureFromWire(reply.Failure)
	}
	return reply.Program, nil
}
