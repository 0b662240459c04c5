package instance

import (
	"context"
	"io"
	"log"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

// discardLog drops net/http's lines about connections that clients break off; each request has a line of its own.
var discardLog = log.New(io.Discard, "", 0)

// relay serves instances that the store turns away, or that have just started while it is down.
type relay struct {
	turnv1.UnimplementedRelayServer
	i *Instance
}

// Call implements turnv1.RelayServer.
func (r *relay) Call(ctx context.Context, c *turnv1.CallRequest) (*turnv1.CallResponse, error) {
	return r.i.path.Relay(ctx, c), nil
}

// Snapshot implements turnv1.RelayServer.
func (r *relay) Snapshot(_ context.Context, s *turnv1.SnapshotRequest) (*turnv1.SnapshotResponse, error) {
	resp := &turnv1.SnapshotResponse{}
	if c := r.i.config.Current(); c != nil && c.Version > s.ConfigurationVersion {
		resp.Configuration, resp.ConfigurationVersion = c.Raw, c.Version
	}
	for _, e := range r.i.fleet.Entries() {
		resp.Backends = append(resp.Backends, &turnv1.Backend{
			Id: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre, Slots: int32(e.Slots),
			Draining: e.Draining, Incarnation: e.Incarnation,
		})
	}
	for p, a := range r.i.members.Owners() {
		resp.Owners = append(resp.Owners, &turnv1.Owner{Partition: int32(p), Instance: a})
	}
	return resp, nil
}
