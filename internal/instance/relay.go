package instance

import (
	"context"
	"io"
	"log"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

// discardLog drops net/http's messages about connections that clients close early; every request has its own log line.
var discardLog = log.New(io.Discard, "", 0)

// relay serves peers that the store refuses to serve, and peers that get its contents from this instance.
type relay struct {
	turnv1.UnimplementedRelayServer
	i *Instance
}

// Call implements turnv1.RelayServer.
func (r *relay) Call(ctx context.Context, c *turnv1.CallRequest) (*turnv1.CallResponse, error) {
	return r.i.transport.Relay(ctx, c), nil
}

// Snapshot implements turnv1.RelayServer.
func (r *relay) Snapshot(ctx context.Context, s *turnv1.SnapshotRequest) (*turnv1.SnapshotResponse, error) {
	return r.i.feedServer.Snapshot(ctx, s), nil
}
