package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/internal/routing"
)

const (
	// pollWait is how long a reader may delay its response to a long poll. Together with the polling intervals of the
	// readers it is far shorter than the time within which a new configuration or a departing backend server must be
	// noticed.
	pollWait = 400 * time.Millisecond
	// pollTimeout bounds one poll.
	pollTimeout = pollWait + 200*time.Millisecond
	// maxViewAge is the maximum age of a reader's view; if it is older, another reader is polled.
	maxViewAge = 1400 * time.Millisecond
	// retryDelay is the delay after a failed poll or one whose view was too old.
	retryDelay = 50 * time.Millisecond
	// idleCheckInterval is the interval between checks whether the instance needs a feed.
	idleCheckInterval = 100 * time.Millisecond
)

// Dialer returns connections to other instances.
type Dialer interface {
	Conn(address string) (grpc.ClientConnInterface, error)
}

// Sink receives what a reader reports.
type Sink struct {
	Configuration func(raw []byte)
	Backends      func([]fleet.Entry)
	Owners        func(map[int]string)
	// Evacuated receives the evacuated data centres as of an offset in the operator's topic.
	Evacuated func(dataCentres []string, offset int64)
}

// Client polls readers while the instance does not read the store itself.
type Client struct {
	dialer  Dialer
	readers func() []string
	current func() *routing.Configuration
	needed  func() bool
	sink    Sink
	now     func() time.Time

	mu        sync.Mutex
	confirmed time.Time
	// lastContact is the time of the store's last response to a reader, as reported by that reader. It may be newer than
	// confirmed, since the store may delay its responses to a reader's long polls.
	lastContact time.Time
	// evacuationsConfirmed is confirmed, as of the last response of a reader that knows of evacuations.
	evacuationsConfirmed time.Time

	// reader is the instance to poll; start and revision identify the last view received from it.
	reader   string
	start    string
	revision int64
}

// NewClient returns a client. readers lists the instances that read the store, and needed reports whether this one is
// not among them.
func NewClient(d Dialer, readers func() []string, current func() *routing.Configuration, needed func() bool, s Sink) *Client {
	return &Client{dialer: d, readers: readers, current: current, needed: needed, sink: s, now: time.Now}
}

// ConfirmedWithin reports whether the store has confirmed the view, through a reader, within the last d.
func (c *Client) ConfirmedWithin(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.confirmed.IsZero() && c.now().Sub(c.confirmed) < d
}

// ContactWithin reports whether, according to the reader that responded last, the store responded to it within the last
// d.
func (c *Client) ContactWithin(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now().Sub(c.lastContact) < d
}

// EvacuationsConfirmedWithin reports whether the store has confirmed which data centres are evacuated, through a reader,
// within the last d. Readers of an older build do not know.
func (c *Client) EvacuationsConfirmedWithin(d time.Duration) bool {
	confirmed := c.EvacuationsConfirmed()
	return !confirmed.IsZero() && c.now().Sub(confirmed) < d
}

// EvacuationsConfirmed returns as of when the store confirmed which data centres are evacuated, through a reader; zero if it
// has not.
func (c *Client) EvacuationsConfirmed() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evacuationsConfirmed
}

// Run polls readers until the context ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.needed() {
			sleep(ctx, idleCheckInterval)
			continue
		}
		if !c.poll(ctx) {
			c.pickReader()
			sleep(ctx, retryDelay)
		}
	}
}

// pickReader selects a reader at random.
func (c *Client) pickReader() {
	readers := c.readers()
	former := c.reader
	c.reader, c.start = "", ""
	if len(readers) > 0 {
		c.reader = readers[rand.IntN(len(readers))]
	}
	if former != "" && former != c.reader {
		klog.InfoS("reader of the store changed", "from", former, "to", c.reader)
	}
}

func (c *Client) poll(ctx context.Context) bool {
	if c.reader == "" {
		return false
	}
	conn, err := c.dialer.Conn(c.reader)
	if err != nil {
		klog.V(1).InfoS("no connection to the reader of the store", "peer", c.reader, "cause", err.Error())
		return false
	}
	r := &turnv1.SnapshotRequest{Start: c.start, Revision: c.revision, WaitMs: pollWait.Milliseconds()}
	if cfg := c.current(); cfg != nil {
		r.ConfigurationVersion = cfg.Version
	}
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	began := c.now()
	resp, err := turnv1.NewRelayClient(conn).Snapshot(callCtx, r)
	if err == nil && c.now().Sub(began) > pollTimeout {
		// This instance stood still, and the response waited for it.
		err = context.DeadlineExceeded
	}
	if err != nil {
		klog.V(1).InfoS("request to the reader of the store failed", "peer", c.reader, "cause", err.Error())
		return false
	}
	age := time.Duration(resp.AgeMs) * time.Millisecond
	if !resp.Direct || age > maxViewAge {
		return false
	}
	c.apply(resp, age)
	return true
}

func (c *Client) apply(resp *turnv1.SnapshotResponse, age time.Duration) {
	// Clients are accepted once there is a configuration, so that the evacuations come first.
	if resp.Changed && resp.OperatorOffset > 0 {
		c.sink.Evacuated(resp.Evacuated, resp.OperatorOffset)
	}
	if len(resp.Configuration) > 0 {
		c.sink.Configuration(resp.Configuration)
	}
	if resp.Changed {
		entries := make([]fleet.Entry, 0, len(resp.Backends))
		for _, b := range resp.Backends {
			entries = append(entries, fleet.Entry{
				ID: b.Id, Service: b.Service, Address: b.Address, DataCentre: b.DataCentre, Slots: int(b.Slots),
				Draining: b.Draining, Incarnation: b.Incarnation, Cold: fleet.ColdReport{
					Known: b.ColdKnown, Left: time.Duration(b.ColdMs) * time.Millisecond,
					AsOf: c.now().Add(-time.Duration(b.ColdAgeMs) * time.Millisecond),
				},
			})
		}
		c.sink.Backends(entries)
		owners := make(map[int]string, len(resp.Owners))
		for _, o := range resp.Owners {
			owners[int(o.Partition)] = o.Instance
		}
		c.sink.Owners(owners)
	}
	c.start, c.revision = resp.Start, resp.Revision
	c.mu.Lock()
	c.confirmed = c.now().Add(-age)
	if resp.OperatorOffset > 0 {
		c.evacuationsConfirmed = c.confirmed
	}
	c.lastContact = c.now().Add(-time.Duration(resp.SilenceMs) * time.Millisecond)
	c.mu.Unlock()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
