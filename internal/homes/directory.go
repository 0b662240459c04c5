package homes

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

const (
	// askTimeout bounds asking an instance for its region.
	askTimeout = 300 * time.Millisecond
	// regionTTL is how long the region of an address is remembered: another instance may take the address over.
	regionTTL = time.Minute
	// failureTTL is how long an instance that did not tell its region is not asked again.
	failureTTL = time.Second
)

// Dialer returns connections to other instances.
type Dialer interface {
	Conn(address string) (grpc.ClientConnInterface, error)
}

// Directory knows the regions of other instances. It asks each instance when a request first needs to know. It is safe for
// concurrent use.
type Directory struct {
	dialer Dialer
	now    func() time.Time

	mu    sync.Mutex
	known map[string]knownRegion
}

type knownRegion struct {
	region string
	until  time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory(d Dialer) *Directory {
	return &Directory{dialer: d, now: time.Now, known: map[string]knownRegion{}}
}

// Allows reports whether the contents of the request of ctx may be sent to the instance at a peer address. An instance that
// does not tell its region, such as one of an older build, is allowed only if every region is.
func (d *Directory) Allows(ctx context.Context, address string) bool {
	s := FromContext(ctx)
	return !s.IsRestricted() || s.Allows(d.RegionOf(ctx, address))
}

// RegionOf returns the region of the instance at a peer address, or "" if that is unknown.
func (d *Directory) RegionOf(ctx context.Context, address string) string {
	d.mu.Lock()
	k, ok := d.known[address]
	d.mu.Unlock()
	if ok && d.now().Before(k.until) {
		return k.region
	}
	ttl := regionTTL
	region, err := d.ask(ctx, address)
	if err != nil {
		klog.InfoS("could not learn the region of an instance", "peer", address, "cause", err.Error())
		ttl = failureTTL
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known[address] = knownRegion{region: region, until: d.now().Add(ttl)}
	return region
}

func (d *Directory) ask(ctx context.Context, address string) (string, error) {
	conn, err := d.dialer.Conn(address)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	resp, err := turnv1.NewRelayClient(conn).Place(ctx, &turnv1.PlaceRequest{})
	if err != nil {
		return "", err
	}
	return resp.Region, nil
}
