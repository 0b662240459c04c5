// Package follow keeps an instance's view of the platform's own topics up to date: the configuration and the entries of
// backend servers.
package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/routing"
	"github.com/berylpond/berylpond/platform"
)

const (
	// configWait is how long a read of the configuration waits for a change. It is short against the time within which
	// a change must be in force, so that a connection that has gone silent delays none.
	configWait = 900 * time.Millisecond
	// configTimeout bounds such a read.
	configTimeout = 1300 * time.Millisecond
	// feedPause is the pause between two looks at whether another instance still feeds this one.
	feedPause = 100 * time.Millisecond
	// retryPause is the pause after a failed read.
	retryPause = 100 * time.Millisecond
	// newestTimeout bounds a read of the newest records.
	newestTimeout = 1500 * time.Millisecond
)

// Hooks tie a follower to the rest of the instance.
type Hooks struct {
	// Fed reports whether another instance tells this one what the store holds, so that it need not be read.
	Fed func() bool
	// Changed is called after each change.
	Changed func()
}

// confirmation is when the store last confirmed what a follower knows.
type confirmation struct{ at atomic.Int64 }

func (c *confirmation) set(t time.Time) { c.at.Store(t.UnixNano()) }

// age is how long ago that was; very long if it never was.
func (c *confirmation) age(now time.Time) time.Duration { return now.Sub(time.Unix(0, c.at.Load())) }

// Config follows the configuration.
type Config struct {
	store     *platform.Store
	hooks     Hooks
	current   atomic.Pointer[routing.Configuration]
	confirmed confirmation
	learning  sync.Mutex
	ready     chan struct{}
}

// NewConfig returns a follower that knows no configuration.
func NewConfig(store *platform.Store, h Hooks) *Config {
	return &Config{store: store, hooks: h, ready: make(chan struct{})}
}

// Age is how long ago the store confirmed the configuration to this instance.
func (c *Config) Age() time.Duration { return c.confirmed.age(time.Now()) }

// Current returns the newest known configuration; nil before the first.
func (c *Config) Current() *routing.Configuration { return c.current.Load() }

// Ready is closed once a configuration is known.
func (c *Config) Ready() <-chan struct{} { return c.ready }

// Run follows the configuration until the context ends.
func (c *Config) Run(ctx context.Context) {
	var at int64
	fresh := true
	for ctx.Err() == nil {
		if c.hooks.Fed() {
			fresh = true
			pause(ctx, feedPause)
			continue
		}
		var err error
		if fresh {
			at, err = c.readNewest(ctx)
		} else {
			at, err = c.readNext(ctx, at)
		}
		var trimmed *platform.TrimmedError
		switch {
		case err == nil:
			fresh = false
			c.confirmed.set(time.Now())
		case errors.As(err, &trimmed):
			fresh = true
		default:
			pause(ctx, retryPause)
		}
	}
}

func (c *Config) readNewest(ctx context.Context) (int64, error) {
	end, records, err := readNewest(ctx, c.store, platform.OperatorTopic)
	if err != nil {
		return 0, err
	}
	for _, r := range records {
		c.take(r)
	}
	return end, nil
}

func (c *Config) readNext(ctx context.Context, at int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	page, err := c.store.Read(ctx, platform.OperatorTopic, at, 0, configWait)
	if err != nil {
		return at, err
	}
	for _, b := range page.Records {
		at++
		r, err := platform.DecodeKeyed(b)
		if err != nil {
			klog.ErrorS(err, "unreadable record of the operator skipped", "offset", at-1)
			continue
		}
		c.take(r)
	}
	return at, nil
}

func (c *Config) take(r platform.KeyedRecord) {
	if !platform.IsConfigKey(r.Key) || len(r.Value) == 0 {
		return
	}
	c.Learn(r.Value)
}

// Learn puts a published configuration into force if it is newer than the one in force.
func (c *Config) Learn(raw []byte) {
	next, err := platform.DecodeConfig(raw)
	if err != nil {
		klog.ErrorS(err, "configuration not taken", "bytes", len(raw))
		return
	}
	c.learning.Lock()
	defer c.learning.Unlock()
	old := c.current.Load()
	if old != nil && next.Version <= old.Version {
		return
	}
	c.current.Store(next)
	if old == nil {
		close(c.ready)
	}
	klog.InfoS("configuration in force", "version", next.Version, "before", versionOf(old), "routes", len(next.Routes),
		"accounts", len(next.Accounts), "keys", len(next.Keys))
	c.hooks.Changed()
}

func versionOf(c *routing.Configuration) int64 {
	if c == nil {
		return 0
	}
	return c.Version
}

// readNewest returns the newest record of each key, and the offset from which to read on: records may come between two
// pages, so it is the end that the first page saw.
func readNewest(ctx context.Context, s *platform.Store, p platform.Partition) (int64, []platform.KeyedRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	var records []platform.KeyedRecord
	end, after := int64(-1), ""
	for {
		page, err := s.ReadNewest(ctx, p, after)
		if err != nil {
			return 0, nil, err
		}
		if end < 0 {
			end = page.End
		}
		records = append(records, page.Records...)
		if !page.More {
			return end, records, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
