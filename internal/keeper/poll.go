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

	"github.com/berylpond/berylpond/internal/scheduler"
	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// maxPollBody bounds the answer of one poll, in bytes.
const maxPollBody = 16 << 20

// maxPolls bounds the polls of one round that run at once.
const maxPolls = 32

// loadTimeouts times LoadInterval bounds each poll, so that an engine that hangs does not make the reports of the others
// stale.
const loadTimeouts = 5

// Run polls engines and lets time pass for queued calls until ctx ends. It then drops the queue, so that calls of
// other instances ask the next keeper.
func (c *Controller) Run(ctx context.Context) error {
	var eg errgroup.Group
	eg.Go(func() error { c.every(ctx, fixed(decideInterval), c.tick); return nil })
	eg.Go(func() error { c.every(ctx, c.scaled(c.cfg.LoadInterval), c.pollLoads); return nil })
	eg.Go(func() error { c.every(ctx, c.scaled(c.cfg.EventsInterval), c.pollEvents); return nil })
	eg.Go(func() error { c.every(ctx, c.scaled(c.cfg.KeysInterval), c.pollKeys); return nil })
	err := eg.Wait()
	for _, g := range c.allGroups() {
		g.kept.drop()
		g.degraded.drop()
	}
	return err
}

func (c *Controller) every(ctx context.Context, interval func() time.Duration, f func(context.Context)) {
	for {
		f(ctx)
		if sleep(ctx, interval()) != nil {
			return
		}
	}
}

func fixed(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// scaled grows an interval with the number of engines, so that polling costs the same whatever the group's size.
func (c *Controller) scaled(d time.Duration) func() time.Duration {
	return func() time.Duration {
		engines := 0
		for _, g := range c.allGroups() {
			engines += len(g.engines())
		}
		return d * time.Duration(max(1, (engines+enginesPerInterval-1)/enginesPerInterval))
	}
}

// tick lets time pass in each group, and drops the queue of a group that this instance does not keep any more.
func (c *Controller) tick(ctx context.Context) {
	for _, g := range c.allGroups() {
		g.setPart(c.cfg.DataCentre, c.parts.Parts())
		if c.keeps(g) {
			g.kept.tick()
			c.release(ctx, g)
		} else {
			g.kept.drop()
		}
		g.degraded.tick()
	}
}

// poll runs f for each engine of each group that this instance keeps, or serves degraded.
func (c *Controller) poll(ctx context.Context, f func(ctx context.Context, g *engineGroup, r *runner, address string)) {
	timeout := min(c.cfg.PollTimeout, loadTimeouts*c.cfg.LoadInterval)
	var eg errgroup.Group
	eg.SetLimit(maxPolls)
	for _, g := range c.allGroups() {
		r := g.kept
		if !c.keeps(g) {
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
	c.poll(ctx, func(ctx context.Context, _ *engineGroup, r *runner, address string) {
		var report loadReport
		err := c.get(ctx, "http://"+address+"/v1/load", &report)
		if err != nil {
			c.metrics.polls.WithLabelValues("load").Inc()
			if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
				r.observe(func(s *scheduler.Group, now time.Time) { s.ObserveUnreachable(now, address) })
			}
			return
		}
		load := framework.Load{
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
	c.poll(ctx, func(ctx context.Context, _ *engineGroup, r *runner, address string) {
		var report eventsReport
		url := "http://" + address + "/v1/cache/events?after=" + strconv.FormatUint(r.eventsAfter(address), 10)
		if err := c.get(ctx, url, &report); err != nil {
			c.metrics.polls.WithLabelValues("events").Inc()
			return
		}
		events := make([]framework.CacheEvent, 0, len(report.Events))
		for _, e := range report.Events {
			events = append(events, framework.CacheEvent{
				Seq: e.Seq, Kind: framework.CacheEventKind(e.Kind), Key: e.Key, Tokens: e.Tokens,
			})
		}
		r.setEventsAfter(address, report.Next)
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
	c.poll(ctx, func(ctx context.Context, _ *engineGroup, r *runner, address string) {
		var report keysReport
		asked := c.now()
		if err := c.get(ctx, "http://"+address+"/v1/cache/keys", &report); err != nil {
			c.metrics.polls.WithLabelValues("keys").Inc()
			return
		}
		held := make([]framework.HeldKey, 0, len(report.Keys))
		for _, k := range report.Keys {
			held = append(held, framework.HeldKey{Key: k.Key, Tokens: k.Tokens})
		}
		r.observe(func(s *scheduler.Group, now time.Time) { s.ObserveKeys(now, asked, address, held) })
	})
}

// release sends the release orders that are due. Only the keeper of a group sends them.
func (c *Controller) release(ctx context.Context, g *engineGroup) {
	var due []framework.Release
	g.kept.observe(func(s *scheduler.Group, now time.Time) { due = s.Releases(now) })
	for _, order := range due {
		go c.sendRelease(ctx, order)
	}
}

type releaseOrder struct {
	Keys []string `json:"keys"`
}

// sendRelease tries once: a prefix that stays is found again in the engine's list of keys.
func (c *Controller) sendRelease(ctx context.Context, order framework.Release) {
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
	if err := c.do(request, nil); err != nil {
		c.metrics.polls.WithLabelValues("release").Inc()
		return
	}
	c.metrics.released.Add(float64(len(order.Keys)))
}

func (c *Controller) get(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return c.do(request, into)
}

func (c *Controller) do(request *http.Request, into any) error {
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPollBody))
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return errors.Newf("engine answered %d", response.StatusCode)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(body, into)
}
