package daemon

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"

	adminv1 "github.com/berylpond/berylpond/api/admin/v1"
	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	"github.com/berylpond/berylpond/internal/buildinfo"
	"github.com/berylpond/berylpond/internal/frontend/request"
	"github.com/berylpond/berylpond/internal/program"
	"github.com/berylpond/berylpond/internal/verdict"
)

// adminServer implements the gRPC service for operators.
type adminServer struct {
	adminv1.UnimplementedAdminServer
	d *Daemon
}

func registerAdmin(s grpc.ServiceRegistrar, d *Daemon) {
	adminv1.RegisterAdminServer(s, &adminServer{d: d})
}

// Status returns the state of this instance and the instances and configuration versions that it knows.
func (a *adminServer) Status(context.Context, *adminv1.StatusRequest) (*adminv1.StatusResponse, error) {
	d := a.d
	self := d.table.Self()
	out := &adminv1.StatusResponse{
		Instance: self.ID, DataCentre: self.DataCentre, Incarnation: self.Incarnation, Version: buildinfo.Version(),
		UptimeSeconds: int64(time.Since(d.started).Seconds()), Draining: d.draining.Load(),
		PlatformReachable: d.platformReachable.Load(), InGoodStanding: d.cell.HasQuorum(), Programs: uint64(d.programs.Len()),
	}
	for _, in := range d.table.All() {
		out.Instances = append(out.Instances, &adminv1.InstanceStatus{
			Id: in.ID, DataCentre: in.DataCentre, PeerAddress: in.PeerAddr, HttpAddress: in.HTTPAddr, Leaving: in.Leaving,
		})
	}
	if snap := d.config.Snapshot(); snap != nil {
		for _, t := range snap.Teams() {
			out.Teams = append(out.Teams, &adminv1.TeamVersion{Team: t, Version: snap.Version(t)})
		}
	}
	return out, nil
}

// ListBackends lists the backend servers of this data centre.
func (a *adminServer) ListBackends(context.Context, *adminv1.ListBackendsRequest) (*adminv1.ListBackendsResponse, error) {
	inFlight := map[string]uint64{}
	for _, e := range a.d.keeper.Status() {
		inFlight[e.Address] = uint64(e.InFlight)
	}
	out := &adminv1.ListBackendsResponse{}
	for _, b := range a.d.backends.All() {
		state := "live"
		if b.Draining {
			state = "leaving"
		}
		out.Backends = append(out.Backends, &adminv1.Backend{
			Address: b.Address, DataCentre: a.d.settings.Instance.DataCentre, Pool: b.Name, State: state, InFlight: inFlight[b.Address],
		})
	}
	return out, nil
}

// DrainBackend starts or ends the draining of a backend server.
func (a *adminServer) DrainBackend(ctx context.Context, req *adminv1.DrainBackendRequest) (*adminv1.DrainBackendResponse, error) {
	if err := a.d.config.SetBackendDrain(ctx, req.Address, req.On); err != nil {
		return nil, adminStatus(err)
	}
	return &adminv1.DrainBackendResponse{}, nil
}

// DrainInstance begins a graceful shutdown of this instance.
func (a *adminServer) DrainInstance(context.Context, *adminv1.DrainInstanceRequest) (*adminv1.DrainInstanceResponse, error) {
	klog.InfoS("Operator requested a drain of this instance")
	a.d.Drain()
	return &adminv1.DrainInstanceResponse{}, nil
}

// ListPrograms lists the programs whose shards this instance holds.
func (a *adminServer) ListPrograms(_ context.Context, req *adminv1.ListProgramsRequest) (*adminv1.ListProgramsResponse, error) {
	limit := int(req.Limit)
	if limit == 0 {
		limit = defaultListLimit
	}
	out := &adminv1.ListProgramsResponse{}
	for _, p := range a.d.programs.List(req.Team, limit) {
		if req.Account == "" || p.Account == req.Account {
			out.Programs = append(out.Programs, a.programToWire(&p))
		}
	}
	return out, nil
}

func (a *adminServer) programToWire(p *program.Program) *adminv1.Program {
	state := "live"
	if p.Ended {
		state = "ended"
	}
	out := &adminv1.Program{
		Id: p.ID, Team: p.Team, Account: p.Account, State: state, Turns: uint64(len(p.Turns)),
		Tokens: uint64(p.SpentTokens + p.Reserved()), Calls: uint64(p.Calls()), StartedUnixMs: p.Created.UnixMilli(),
		Owner: a.d.table.Self().ID, HomeDataCentre: a.d.settings.Instance.DataCentre,
	}
	if n := len(p.Turns); n > 0 {
		out.LastTurnUnixMs = p.Turns[n-1].UnixMS
	}
	return out
}

// ShowProgram returns one program from its owner, which may be another instance.
func (a *adminServer) ShowProgram(ctx context.Context, req *adminv1.ShowProgramRequest) (*adminv1.ShowProgramResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	p, err := a.d.router.GetProgram(ctx, &peerv1.ProgramRequest{Program: req.Id, Admin: true})
	if err != nil {
		return nil, adminStatus(err)
	}
	home, _ := program.HomeDataCentre(p.Id)
	return &adminv1.ShowProgramResponse{Program: &adminv1.Program{
		Id: p.Id, Team: p.Account.GetTeam(), Account: p.Account.GetName(), State: request.ProgramState(p),
		Turns:  uint64(p.Turns),
		Tokens: uint64(p.SpentTokens), Calls: uint64(p.SpentCalls), StartedUnixMs: p.CreatedUnixMs, HomeDataCentre: home,
	}}, nil
}

// CancelProgram ends one program at its owner, which may be another instance.
func (a *adminServer) CancelProgram(ctx context.Context, req *adminv1.CancelProgramRequest) (*adminv1.CancelProgramResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	p, err := a.d.router.EndProgram(ctx, &peerv1.ProgramRequest{Program: req.Id, Admin: true})
	if err != nil {
		return nil, adminStatus(err)
	}
	return &adminv1.CancelProgramResponse{State: request.ProgramState(p)}, nil
}

// OrderEngine appends an order to an engine to the log.
func (a *adminServer) OrderEngine(ctx context.Context, req *adminv1.OrderEngineRequest) (*adminv1.OrderEngineResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	id, err := a.d.orders.Submit(ctx, req.Engine, req.Kind, req.Name, req.Author)
	if err != nil {
		return nil, adminStatus(err)
	}
	return &adminv1.OrderEngineResponse{Id: id}, nil
}

// ListOrders lists the recent orders of this data centre.
func (a *adminServer) ListOrders(context.Context, *adminv1.ListOrdersRequest) (*adminv1.ListOrdersResponse, error) {
	out := &adminv1.ListOrdersResponse{}
	for _, e := range a.d.orders.List() {
		out.Orders = append(out.Orders, &adminv1.Order{
			Id: e.ID, Engine: e.Engine, Kind: e.Kind, Name: e.Name, Author: e.Author, Fence: e.FencingToken,
			Outcome: e.Outcome, Detail: e.Detail, UnixMs: e.CreatedAt.UnixMilli(),
		})
	}
	return out, nil
}

// adminStatus converts a verdict to a gRPC status.
func adminStatus(err error) error {
	e := verdict.From(err)
	code := codes.Unavailable
	switch e.Reason {
	case verdict.ReasonUnknownProgram:
		code = codes.NotFound
	case verdict.ReasonVersionConflict:
		code = codes.Aborted
	case verdict.ReasonMalformed:
		code = codes.InvalidArgument
	}
	return status.Error(code, e.Error())
}
