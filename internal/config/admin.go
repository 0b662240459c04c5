package config

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
	"github.com/berylpond/berylpond/internal/document"
	"github.com/berylpond/berylpond/internal/verdict"
)

// adminServer implements the Admin gRPC service, which operators use.
type adminServer struct {
	configv1.UnimplementedAdminServer
	c *Controller
}

// Apply implements the Admin service. An edit that lost to a concurrent one fails with ABORTED and carries a Conflict
// as its status detail.
func (a adminServer) Apply(ctx context.Context, req *configv1.ApplyRequest) (*configv1.ApplyResponse, error) {
	version, err := a.c.Apply(ctx, req.Team, req.BaseVersion, req.Document, req.Author)
	if err != nil {
		return nil, toStatus(err)
	}
	return &configv1.ApplyResponse{Version: version}, nil
}

// Get implements the Admin service.
func (a adminServer) Get(_ context.Context, req *configv1.GetRequest) (*configv1.GetResponse, error) {
	doc, version := a.c.DocumentText(req.Team)
	if version == 0 {
		return nil, status.Errorf(codes.NotFound, "team %q has no document", req.Team)
	}
	return &configv1.GetResponse{Version: version, Document: doc}, nil
}

// History implements the Admin service.
func (a adminServer) History(_ context.Context, req *configv1.HistoryRequest) (*configv1.HistoryResponse, error) {
	out := &configv1.HistoryResponse{}
	for _, v := range a.c.History(req.Team) {
		out.Versions = append(out.Versions, versionMessage(v))
	}
	return out, nil
}

// Withdraw implements the Admin service.
func (a adminServer) Withdraw(ctx context.Context, req *configv1.WithdrawRequest) (*configv1.WithdrawResponse, error) {
	if err := a.c.Withdraw(ctx, req.Team, req.KeyId); err != nil {
		return nil, toStatus(err)
	}
	return &configv1.WithdrawResponse{}, nil
}

// Drain implements the Admin service.
func (a adminServer) Drain(ctx context.Context, req *configv1.DrainRequest) (*configv1.DrainResponse, error) {
	if err := a.c.SetBackendDrain(ctx, req.Backend, req.On); err != nil {
		return nil, toStatus(err)
	}
	return &configv1.DrainResponse{}, nil
}

func toStatus(err error) error {
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		st := status.New(codes.Aborted, conflict.Error())
		if detailed, err := st.WithDetails(&configv1.Conflict{Version: conflict.Version, Author: conflict.Author}); err == nil {
			st = detailed
		}
		return st.Err()
	}
	var problems document.Problems
	if errors.As(err, &problems) {
		return status.Error(codes.InvalidArgument, problems.Error())
	}
	v := verdict.From(err)
	switch v.Reason {
	case verdict.ReasonPlatformUnavailable:
		return status.Error(codes.Unavailable, v.Error())
	case verdict.ReasonMalformed:
		return status.Error(codes.InvalidArgument, v.Error())
	}
	return status.Error(codes.Internal, v.Error())
}
