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
	// holdFor is how long a question may be held. With the readers' own pauses it stays far within the time in which a
	// configuration and a leaving backend server must be noticed.
	holdFor = 400 * time.Millisecond
	// askTimeout bounds a question.
	askTimeout = holdFor + 200*time.Millisecond
	// maxAge is the age of a reader's view from which another reader is asked.
	maxAge = 1400 * time.Millisecond
	// retryPause is the pause after a reader that did not answer well.
	retryPause = 50 * time.Millisecond
	// idlePause is the pause between two looks at whether the instance needs a feed.
	idlePause = 100 * time.Millisecond
)

// Dialer returns connections to other instances.
type Dialer interface {
	Conn(address string) (grpc.ClientConnInterface, error)
}

// Sink takes over what a reader tells.
type Sink struct {
	Configuration func(raw []byte)
	Backends      func([]fleet.Entry)
	Owners        func(map[int]string)
}

// Client asks readers while the instance does not read the store itself.
type Client struct {
	dialer  Dialer
	readers func() []string
	current func() *routing.Configuration
	needed  func() bool
	sink    Sink
	now     func() time.Time

	mu        sync.Mutex
	confirmed time.Time
	// contact is the last answer of the store that a reader told of. It is newer than confirmed, as the store may hold a
	// reader's questions.
	contact time.Time

	reader   string
	start    string
	revision int64
}

// NewClient returns a client. readers lists the instances that read the store, and needed tells whether this one is
// not among them.
func NewClient(d Dialer, readers func() []string, current func() *routing.Configuration, needed func() bool, s Sink) *Client {
	return &Client{dialer: d, readers: readers, current: current, needed: needed, sink: s, now: time.Now}
}

// FreshWithin reports whether the store has confirmed the view, through a reader, within the last d.
func (c *Client) FreshWithin(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.confirmed.IsZero() && c.now().Sub(c.confirmed) < d
}

// InContact reports whether the store has answered a reader that answered here within the last d.
func (c *Client) InContact(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now().Sub(c.contact) < d
}

// Run asks readers until the context ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.needed() {
			pause(ctx, idlePause)
			continue
		}
		if !c.ask(ctx) {
			c.next()
			pause(ctx, retryPause)
		}
	}
}

// next picks another reader at random.
func (c *Client) next() {
	readers := c.readers()
	lost := c.reader
	c.reader, c.start = "", ""
	if len(readers) > 0 {
		c.reader = readers[rand.IntN(len(readers))]
	}
	if lost != "" && lost != c.reader {
		klog.InfoS("reader of the store changed", "from", lost, "to", c.reader)
	}
}

func (c *Client) ask(ctx context.Context) bool {
	if c.reader == "" {
		return false
	}
	conn, err := c.dialer.Conn(c.reader)
	if err != nil {
		klog.V(1).InfoS("reader of the store not reached", "peer", c.reader, "cause", err.Error())
		return false
	}
	r := &turnv1.SnapshotRequest{Start: c.start, Revision: c.revision, WaitMs: holdFor.Milliseconds()}
	if cfg := c.current(); cfg != nil {
		r.ConfigurationVersion = cfg.Version
	}
	callCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	resp, err := turnv1.NewRelayClient(conn).Snapshot(callCtx, r)
	if err != nil {
		klog.V(1).InfoS("reader of the store does not answer", "peer", c.reader, "cause", err.Error())
		return false
	}
	age := time.Duration(resp.AgeMs) * time.Millisecond
	if !resp.Direct || age > maxAge {
		return false
	}
	c.take(resp, age)
	return true
}

func (c *Client) take(resp *turnv1.SnapshotResponse, age time.Duration) {
	if len(resp.Configuration) > 0 {
		c.sink.Configuration(resp.Configuration)
	}
	if resp.Changed {
		entries := make([]fleet.Entry, 0, len(resp.Backends))
		for _, b := range resp.Backends {
			entries = append(entries, fleet.Entry{
				ID: b.Id, Service: b.Service, Address: b.Address, DataCentre: b.DataCentre, Slots: int(b.Slots),
				Draining: b.Draining, Incarnation: b.Incarnation,
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
	c.contact = c.now().Add(-time.Duration(resp.SilenceMs) * time.Millisecond)
	c.mu.Unlock()
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
