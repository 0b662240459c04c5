package instance

import (
	"context"
	"io"
	"log"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

// discardLog drops net/http's lines about connections that clients break off; each request has a line of its own.
var discardLog = log.New(io.Discard, "", 0)

// relay serves instances that the store turns away, and those that do not read it themselves.
type relay struct {
	turnv1.UnimplementedRelayServer
	i *Instance
}

// Call implements turnv1.RelayServer.
func (r *relay) Call(ctx context.Context, c *turnv1.CallRequest) (*turnv1.CallResponse, error) {
	return r.i.path.Relay(ctx, c), nil
}

// Snapshot implements turnv1.RelayServer.
func (r *relay) Snapshot(ctx context.Context, s *turnv1.SnapshotRequest) (*turnv1.SnapshotResponse, error) {
	return r.i.feedServer.Snapshot(ctx, s), nil
}
