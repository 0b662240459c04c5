package instance

import (
	"context"
	"io"
	"log"
	"slices"

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

// Place implements turnv1.RelayServer.
func (r *relay) Place(context.Context, *turnv1.PlaceRequest) (*turnv1.PlaceResponse, error) {
	return &turnv1.PlaceResponse{Region: r.i.settings.Region}, nil
}

// relays lists the peers through which this instance may call the store. The calls carry the contents of requests, so that
// they stay in this instance's region if any request has homes, or may have while there is no configuration.
func (i *Instance) relays() []string {
	peers := i.peers()
	if c := i.config.Current(); i.isOnlyRegion() || c != nil && !c.HasHomes() {
		return peers
	}
	return slices.DeleteFunc(peers, func(address string) bool {
		return i.places.RegionOf(context.Background(), address) != i.settings.Region
	})
}

// isOnlyRegion reports whether the site has no other region than this instance's.
func (i *Instance) isOnlyRegion() bool {
	for _, r := range i.settings.RegionOf {
		if r != i.settings.Region {
			return false
		}
	}
	return true
}

// Snapshot implements turnv1.RelayServer.
func (r *relay) Snapshot(ctx context.Context, s *turnv1.SnapshotRequest) (*turnv1.SnapshotResponse, error) {
	return r.i.feedServer.Snapshot(ctx, s), nil
}
