package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/berylpond/berylpond/internal/httphead"
	"github.com/berylpond/berylpond/internal/scheduler"
	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// maxPollResponse bounds the response body of a poll, in bytes.
const maxPollResponse = 16 << 20

// maxConcurrentPolls bounds the concurrent polls of one round.
const maxConcurrentPolls = 32

// loadTimeoutFactor bounds each poll, in multiples of LoadInterval, so that an engine that hangs does not make the load
// reports of the others stale.
const loadTimeoutFactor = 5

// Run polls engines and runs scheduling decisions periodically until ctx ends. It then drops all queued calls, so that
// other instances resubmit theirs to the next keeper.
func (c *Controller) Run(ctx context.Context) error {
	var eg errgroup.Group
	eg.Go(func() error { c.runPeriodically(ctx, fixedInterval(decideInterval), c.tick); return nil })
	eg.Go(func() error { c.runPeriodically(ctx, c.scaledInterval(c.cfg.LoadInterval), c.pollLoads); return nil })
	eg.Go(func() error { c.runPeriodically(ctx, c.scaledInterval(c.cfg.EventsInterval), c.pollEvents); return nil })
	eg.Go(func() error { c.runPeriodically(ctx, c.scaledInterval(c.cfg.KeysInterval), c.pollKeys); return nil })
	err := eg.Wait()
	for _, g := range c.allGroups() {
		g.primary.dropQueue()
		g.degraded.dropQueue()
	}
	return err
}

func (c *Controller) runPeriodically(ctx context.Context, interval func() time.Duration, f func(context.Context)) {
	for {
		f(ctx)
		if sleep(ctx, interval()) != nil {
			return
		}
	}
}

func fixedInterval(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// scaledInterval lengthens an interval in proportion to the number of engines, which bounds the cost of polling.
func (c *Controller) scaledInterval(d time.Duration) func() time.Duration {
	return func() time.Duration {
		engines := 0
		for _, g := range c.allGroups() {
			engines += len(g.engines())
		}
		return d * time.Duration(max(1, (engines+enginesPerInterval-1)/enginesPerInterval))
	}
}

// tick runs a scheduling decision in each group, and drops the queue of groups whose keeper this instance no longer is.
func (c *Controller) tick(ctx context.Context) {
	for _, g := range c.allGroups() {
		g.updateShard(c.cfg.DataCentre, c.shards.ShardCount())
		if c.isKeeper(g) {
			g.primary.tick()
			c.sendReleases(ctx, g)
		} else {
			g.primary.dropQueue()
		}
		g.degraded.tick()
	}
}

// forEachEngine runs f concurrently for each engine of the groups whose keeper this instance is, and of the groups with
// calls in degraded mode.
func (c *Controller) forEachEngine(ctx context.Context,
	f func(ctx context.Context, g *engineGroup, r *runner, address string)) {
	timeout := min(c.cfg.PollTimeout, loadTimeoutFactor*c.cfg.LoadInterval)
	var eg errgroup.Group
	eg.SetLimit(maxConcurrentPolls)
	for _, g := range c.allGroups() {
		r := g.primary
		if !c.isKeeper(g) {
			r = g.degraded
			if r.idle() {
				continue
			}
		}
		for _, e := range g.engines() {
			eg.Go(func() error {
				ctx, cancel := context.WithTimeout(ctx, timeout)
				defer cancel()
				f(ctx, g, r, e.Address)
				return nil
			})
		}
	}
	_ = eg.Wait()
}

type loadReport struct {
	Running          int   `json:"running"`
	Waiting          int   `json:"waiting"`
	KVUsedTokens     int64 `json:"kv_used_tokens"`
	KVCapacityTokens int64 `json:"kv_capacity_tokens"`
}

func (c *Controller) pollLoads(ctx context.Context) {
	c.forEachEngine(ctx, func(ctx context.Context, _ *engineGroup, r *runner, address string) {
		var report loadReport
		err := c.getJSON(ctx, "http://"+address+"/v1/load", &report)
		if err != nil {
			c.metrics.pollFailures.WithLabelValues("load").Inc()
			if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
				r.observe(func(s *scheduler.Group, now time.Time) { s.ObserveUnreachable(now, address) })
			}
			return
		}
		load := framework.LoadReport{
			Running: report.Running, Waiting: report.Waiting,
			KVUsedTokens: report.KVUsedTokens, KVCapacityTokens: report.KVCapacityTokens,
		}
		r.observe(func(s *scheduler.Group, now time.Time) { s.ObserveLoad(now, address, load) })
	})
}

type eventsReport struct {
	Events []struct {
		Seq    uint64 `json:"seq"`
		Kind   string `json:"kind"`
		Key    string `json:"key"`
		Tokens int64  `json:"tokens"`
	} `json:"events"`
	Next uint64 `json:"next"`
}

func (c *Controller) pollEvents(ctx context.Context) {
	c.forEachEngine(ctx, func(ctx context.Context, _ *engineGroup, r *runner, address string) {
		var report eventsReport
		url := "http://" + address + "/v1/cache/events?after=" + strconv.FormatUint(r.nextEventOf(address), 10)
		if err := c.getJSON(ctx, url, &report); err != nil {
			c.metrics.pollFailures.WithLabelValues("events").Inc()
			return
		}
		events := make([]framework.CacheEvent, 0, len(report.Events))
		for _, e := range report.Events {
			events = append(events, framework.CacheEvent{
				Seq: e.Seq, Kind: framework.CacheEventKind(e.Kind), Key: e.Key, Tokens: e.Tokens,
			})
		}
		r.setNextEvent(address, report.Next)
		r.observe(func(s *scheduler.Group, now time.Time) { s.ObserveEvents(now, address, events) })
	})
}

type keysReport struct {
	Keys []struct {
		Key    string `json:"key"`
		Tokens int64  `json:"tokens"`
	} `json:"keys"`
}

func (c *Controller) pollKeys(ctx context.Context) {
	c.forEachEngine(ctx, func(ctx context.Context, _ *engineGroup, r *runner, address string) {
		var report keysReport
		requestedAt := c.now()
		if err := c.getJSON(ctx, "http://"+address+"/v1/cache/keys", &report); err != nil {
			c.metrics.pollFailures.WithLabelValues("keys").Inc()
			return
		}
		cached := make([]framework.CachedPrefix, 0, len(report.Keys))
		for _, k := range report.Keys {
			cached = append(cached, framework.CachedPrefix{Key: k.Key, Tokens: k.Tokens})
		}
		r.observe(func(s *scheduler.Group, now time.Time) { s.ObserveKeys(now, requestedAt, address, cached) })
	})
}

// sendReleases sends the release orders that are due. Only the keeper of a group calls it.
func (c *Controller) sendReleases(ctx context.Context, g *engineGroup) {
	var due []framework.ReleaseOrder
	g.primary.observe(func(s *scheduler.Group, now time.Time) { due = s.DueReleases(now) })
	for _, order := range due {
		go c.sendRelease(ctx, order)
	}
}

type releaseOrder struct {
	Keys []string `json:"keys"`
}

// sendRelease makes a single attempt. If it fails, the prefix remains in the engine's list of keys and is released
// later.
func (c *Controller) sendRelease(ctx context.Context, order framework.ReleaseOrder) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.PollTimeout)
	defer cancel()
	body, err := json.Marshal(releaseOrder{Keys: order.Keys})
	if err != nil {
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+order.Engine+"/v1/cache/release", bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	if err := c.doJSON(request, nil); err != nil {
		c.metrics.pollFailures.WithLabelValues("release").Inc()
		return
	}
	c.metrics.released.Add(float64(len(order.Keys)))
}

func (c *Controller) getJSON(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return c.doJSON(request, into)
}

func (c *Controller) doJSON(request *http.Request, into any) error {
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := httphead.Check(response); err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPollResponse))
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return errors.Newf("engine responded with HTTP status %d", response.StatusCode)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(body, into)
}
