// Package storewatch keeps an instance's copy of two topics of the store up to date: the operator's configuration and
// evacuations, and the entries of the backend servers.
package storewatch

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/configcheck"
	"github.com/berylpond/berylpond/internal/routing"
	"github.com/berylpond/berylpond/platform"
)

const (
	// configLongPoll is how long a read of the configuration waits for a change. It is short compared with the time
	// within which a change must be in force, so that a dead connection does not delay a change beyond that.
	configLongPoll = 900 * time.Millisecond
	// configReadTimeout bounds one such read.
	configReadTimeout = 1300 * time.Millisecond
	// feedPollInterval is the interval at which an instance that uses a peer's feed checks whether it still does.
	feedPollInterval = 100 * time.Millisecond
	// retryDelay is the delay after a failed read.
	retryDelay = 100 * time.Millisecond
	// newestReadTimeout bounds a read of the newest record of each key, over all pages.
	newestReadTimeout = 1500 * time.Millisecond
)

// Hooks connects a watcher to the rest of the instance.
type Hooks struct {
	// UsesFeed reports whether another instance pushes the contents of the store to this one, so that it need not read
	// them.
	UsesFeed func() bool
	// OnChange is called after each change.
	OnChange func()
	// Metrics may be nil.
	Metrics *Metrics
}

// readTime is the time of a watcher's last successful read. It is unaffected by steps of the clock.
type readTime struct{ at atomic.Pointer[time.Time] }

func (c *readTime) set(t time.Time) { c.at.Store(&t) }

// get returns the time of the read; zero if there was none.
func (c *readTime) get() time.Time {
	if t := c.at.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// age returns the time since the read; it is very long if there was none.
func (c *readTime) age(now time.Time) time.Duration { return now.Sub(c.get()) }

// ConfigWatcher keeps the operator's configuration and evacuations up to date.
type ConfigWatcher struct {
	store       *platform.Store
	hooks       Hooks
	current     atomic.Pointer[routing.Configuration]
	lastRead    readTime
	tries       tryRecord
	evacuations *Evacuations
	applyMu     sync.Mutex
	ready       chan struct{}
	// ignored is the last configuration that was not put into force because it is wrong.
	ignored atomic.Pointer[[]byte]
}

// NewConfigWatcher returns a watcher without a configuration that keeps e up to date.
func NewConfigWatcher(store *platform.Store, e *Evacuations, h Hooks) *ConfigWatcher {
	return &ConfigWatcher{store: store, hooks: h, evacuations: e, ready: make(chan struct{})}
}

// Age returns the time since this instance last read the operator's topic from the store.
func (c *ConfigWatcher) Age() time.Duration { return c.lastRead.age(time.Now()) }

// Freshness returns when this instance last read the operator's topic from the store, and since when it has tried to.
func (c *ConfigWatcher) Freshness() Freshness {
	return Freshness{Confirmed: c.lastRead.get(), Tries: c.tries.get()}
}

// Current returns the configuration in force, or nil before the first.
func (c *ConfigWatcher) Current() *routing.Configuration { return c.current.Load() }

// Ready returns a channel that is closed once there is a configuration.
func (c *ConfigWatcher) Ready() <-chan struct{} { return c.ready }

// Run keeps the configuration up to date until the context ends.
func (c *ConfigWatcher) Run(ctx context.Context) {
	var offset int64
	needSnapshot := true
	var wait time.Duration
	for ctx.Err() == nil {
		if c.hooks.UsesFeed() {
			needSnapshot = true
			sleep(ctx, feedPollInterval)
			continue
		}
		began, timeout := time.Now(), configReadTimeout
		c.tries.begin(began)
		var err error
		if needSnapshot {
			timeout = newestReadTimeout
			offset, err = c.readNewest(ctx)
		} else {
			offset, err = c.readNext(ctx, offset, wait)
		}
		// While the view may be old, after a failure or a standstill, the next read confirms it without waiting for a change.
		wait = 0
		var trimmed *platform.TrimmedError
		switch {
		case err == nil:
			needSnapshot = false
			confirmed := confirmedAt(began, time.Now(), timeout)
			c.lastRead.set(confirmed)
			if confirmed != began {
				wait = configLongPoll
			}
		case errors.As(err, &trimmed):
			needSnapshot = true
		default:
			sleep(ctx, retryDelay)
		}
	}
}

func (c *ConfigWatcher) readNewest(ctx context.Context) (int64, error) {
	end, records, err := ReadNewest(ctx, c.store, platform.OperatorTopic)
	if err != nil {
		return 0, err
	}
	// Clients are accepted once there is a configuration, so that the evacuations come first.
	c.evacuations.replaceNewest(records, end)
	for _, r := range records {
		c.applyRecord(r)
	}
	return end, nil
}

func (c *ConfigWatcher) readNext(ctx context.Context, offset int64, wait time.Duration) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, configReadTimeout)
	defer cancel()
	page, err := c.store.Read(ctx, platform.OperatorTopic, offset, 0, wait)
	if err != nil {
		return offset, err
	}
	for _, b := range page.Records {
		offset++
		r, err := platform.DecodeKeyed(b)
		if err != nil {
			klog.ErrorS(err, "skipping an operator record that cannot be decoded", "offset", offset-1)
			continue
		}
		c.evacuations.apply(r, offset-1)
		c.applyRecord(r)
	}
	return offset, nil
}

func (c *ConfigWatcher) applyRecord(r platform.KeyedRecord) {
	if !platform.IsConfigKey(r.Key) || len(r.Value) == 0 {
		return
	}
	c.Apply(r.Value)
}

// Apply decodes a published configuration and puts it into force if it is valid and newer than the current one. Without a
// current one an invalid configuration is put into force too.
func (c *ConfigWatcher) Apply(raw []byte) {
	// A reader of the store of an older build may push what this one refuses with each of its responses.
	if last := c.ignored.Load(); last != nil && bytes.Equal(*last, raw) {
		return
	}
	next := c.decode(raw)
	if next == nil {
		c.ignored.Store(&raw)
		return
	}
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
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
	c.hooks.OnChange()
}

// decode returns the decoded configuration, or nil if it must not take the place of the one in force.
func (c *ConfigWatcher) decode(raw []byte) *routing.Configuration {
	next, err := platform.DecodeConfig(raw)
	if err != nil {
		klog.ErrorS(err, "ignoring a configuration that cannot be decoded", "bytes", len(raw))
		c.hooks.Metrics.ignored(ignoredUndecodable)
		return nil
	}
	found := configcheck.Errors(next)
	if found.Total == 0 {
		return next
	}
	inForce := c.current.Load()
	klog.ErrorS(nil, "invalid configuration", "version", next.Version, "in_force", versionOf(inForce), "ignored", inForce != nil,
		"errors", found.Total, "path", platform.ConfigPath(found.List[0].Location), "first", found.List[0].Message)
	if inForce == nil {
		// An instance that has just started has no version to keep, and serves what it can rather than nothing.
		return next
	}
	c.hooks.Metrics.ignored(ignoredInvalid)
	return nil
}

func versionOf(c *routing.Configuration) int64 {
	if c == nil {
		return 0
	}
	return c.Version
}

// ReadNewest returns the newest record of each key, and the offset at which to continue. That is the end offset
// reported by the first page, since records may be appended between two pages.
func ReadNewest(ctx context.Context, s *platform.Store, p platform.Partition) (int64, []platform.KeyedRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, newestReadTimeout)
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

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
