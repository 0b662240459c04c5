package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	journalv1 "github.com/berylpond/berylpond/api/journal/v1"
	ordersv1 "github.com/berylpond/berylpond/api/orders/v1"
	"github.com/berylpond/berylpond/internal/failpoint"
	"github.com/berylpond/berylpond/internal/httphead"
	"github.com/berylpond/berylpond/internal/journal"
	"github.com/berylpond/berylpond/internal/verdict"
)

// Kinds of records on the stream of orders, as stored.
const (
	kindOrder  = "order"
	kindReport = "order-report"
)

const (
	// sendInterval is the interval at which the controller checks for orders to send.
	sendInterval = 200 * time.Millisecond
	// DefaultTimeout is the default timeout of one order. After it the connection is closed, on which the engine
	// drops the order.
	DefaultTimeout = 10 * time.Second
	// retryDelay is the delay before an order is retried. It doubles with each attempt up to maxRetryDelay.
	retryDelay    = time.Second
	maxRetryDelay = 30 * time.Second
	// maxAttempts is how often an order is sent before it counts as failed.
	maxAttempts = 8
	// clockMargin allows for clock drift during one timeout.
	clockMargin = 200 * time.Millisecond
)

// ShardLeases looks up which shards this instance holds. HeldTerm returns the term of the lease.
type ShardLeases interface {
	ShardCount() int
	HeldTerm(shard int) (term uint64, ok bool)
}

// Log appends to the stream of orders.
type Log interface {
	Append(ctx context.Context, rec *journalv1.Record) (journal.Position, error)
	Enqueue(rec *journalv1.Record) error
}

// Option configures a Controller.
type Option func(*Controller)

// WithTimeout sets the timeout of one order. It must be the same at all instances of the data centre.
func WithTimeout(d time.Duration) Option { return func(c *Controller) { c.timeout = d } }

// Controller sends the orders for engines whose shards this instance holds. It is safe for concurrent use.
type Controller struct {
	shards ShardLeases
	log    Log
	// checksFencing reports whether an engine rejects stale fencing tokens.
	checksFencing func(engine string) bool
	http          *http.Client
	timeout       time.Duration
	sent          *prometheus.CounterVec

	mu       sync.Mutex
	registry *Registry
	// leases holds, by shard, the lease that this instance has now.
	leases map[int]lease
}

type lease struct {
	term uint64
	// firstSeen is when the lease was first observed.
	firstSeen time.Time
}

// New returns a controller. It receives the orders through Apply.
func New(shards ShardLeases, log Log, checksFencing func(string) bool, client *http.Client,
	opts ...Option) *Controller {
	c := &Controller{
		shards: shards, log: log, checksFencing: checksFencing, http: client, timeout: DefaultTimeout,
		registry: NewRegistry(), leases: map[int]lease{},
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylpond_orders_sent_total", Help: "Orders sent to engines, by result.",
		}, []string{"result"}),
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Collectors returns the controller's metrics.
func (c *Controller) Collectors() []prometheus.Collector { return []prometheus.Collector{c.sent} }

// Apply implements journal.Handler for the stream of orders.
func (c *Controller) Apply(p journal.Position, rec *journalv1.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch rec.Kind {
	case kindOrder:
		o := &ordersv1.Order{}
		if proto.Unmarshal(rec.Payload, o) == nil {
			c.registry.ApplyOrder(journal.VersionOf(p, rec), o)
		}
	case kindReport:
		r := &ordersv1.Report{}
		if proto.Unmarshal(rec.Payload, r) == nil {
			c.registry.ApplyReport(r)
		}
	}
}

// Gap implements journal.Handler. Orders that expired from the log before they were read are not sent.
func (c *Controller) Gap(journal.Gap) {}

// Submit appends an order to the log and returns its id. The order takes effect only once it is in the log.
func (c *Controller) Submit(ctx context.Context, engine, kind, name, author string) (string, error) {
	if !ValidKind(kind) || name == "" || engine == "" {
		return "", verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0,
			"an order needs an engine, a name and a kind of %s, %s or %s", KindLoadModel, KindLoadAdapter, KindSetRole)
	}
	o := &ordersv1.Order{Id: uuid.NewString(), Engine: engine, Kind: kind, Name: name, Author: author, UnixMs: time.Now().UnixMilli()}
	raw, err := proto.Marshal(o)
	if err != nil {
		return "", errors.Wrap(err, "encoding an order")
	}
	if _, err := c.log.Append(ctx, &journalv1.Record{Kind: kindOrder, Key: engine, Payload: raw, UnixMs: o.UnixMs}); err != nil {
		// The record stays queued for the log, so the order may still take effect.
		return o.Id, verdict.Fail(http.StatusServiceUnavailable, verdict.ReasonPlatformUnavailable, "order %s is queued for the log: %v", o.Id, err)
	}
	return o.Id, nil
}

// List returns all orders in the registry, oldest first.
func (c *Controller) List() []OrderState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.List()
}

// Run sends orders until ctx ends. It sends one at a time, since all loads read from the same weight store.
func (c *Controller) Run(ctx context.Context) error {
	tick := time.NewTicker(sendInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		for e, ok := c.due(time.Now()); ok && ctx.Err() == nil; e, ok = c.due(time.Now()) {
			c.send(ctx, e)
		}
	}
}

// ShardOf returns the shard of an engine, out of the given number of shards.
func ShardOf(engine string, shards int) int {
	return int(xxhash.Sum64String(engine) % uint64(max(shards, 1)))
}

// due returns an order that this instance may send now, and counts the attempt.
func (c *Controller) due(now time.Time) (OrderState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateLeases(now)
	for _, engine := range c.registry.Engines() {
		if e := c.registry.NextPending(engine, now); e != nil && c.maySend(engine, now) {
			e.Attempts++
			e.NextAttempt = now.Add(c.timeout + backoff(e.Attempts))
			return *e, true
		}
	}
	return OrderState{}, false
}

func backoff(attempts int) time.Duration {
	return min(retryDelay<<min(attempts-1, 10), maxRetryDelay)
}

// updateLeases records the lease of each shard held here and when it was first seen. c.mu must be held.
func (c *Controller) updateLeases(now time.Time) {
	for shard := range c.shards.ShardCount() {
		term, ok := c.shards.HeldTerm(shard)
		switch l := c.leases[shard]; {
		case !ok:
			delete(c.leases, shard)
		case l.term != term:
			c.leases[shard] = lease{term: term, firstSeen: now}
		}
	}
}

// maySend reports whether this instance holds the engine's shard and, for an engine that ignores fencing tokens,
// whether every order of an earlier holder has timed out. c.mu must be held.
func (c *Controller) maySend(engine string, now time.Time) bool {
	l, ok := c.leases[ShardOf(engine, c.shards.ShardCount())]
	if !ok {
		return false
	}
	return c.checksFencing(engine) || now.Sub(l.firstSeen) > c.timeout+clockMargin
}

// orderBody is the body of the HTTP request that sends an order to an engine.
type orderBody struct {
	FencingToken uint64 `json:"fence"`
	Kind         string `json:"kind"`
	Name         string `json:"name"`
}

// send sends one order and, unless it is to be retried, reports its outcome.
func (c *Controller) send(ctx context.Context, e OrderState) {
	status, err := c.post(ctx, e)
	switch {
	case err == nil && status < http.StatusMultipleChoices:
		c.finish(e, OutcomeDone, "")
	case err == nil && status == http.StatusConflict:
		c.finish(e, OutcomeSuperseded, "the engine has seen a newer fencing number")
	case err == nil && status == http.StatusBadRequest:
		c.finish(e, OutcomeFailed, "the engine does not accept the order")
	case e.Attempts >= maxAttempts:
		c.finish(e, OutcomeFailed, fmt.Sprintf("no success in %d attempts", e.Attempts))
	default:
		c.sent.WithLabelValues("retried").Inc()
		klog.InfoS("Order failed; retrying", "order", e.ID, "engine", e.Engine, "status", status, "err", err)
		c.scheduleRetry(e.ID, time.Now())
	}
}

// scheduleRetry starts the delay before the next attempt at now, the end of the last one.
func (c *Controller) scheduleRetry(id string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.registry.byID[id]; e != nil {
		e.NextAttempt = now.Add(backoff(e.Attempts))
	}
}

func (c *Controller) post(ctx context.Context, e OrderState) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := json.Marshal(orderBody{FencingToken: e.FencingToken, Kind: e.Kind, Name: e.Name})
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Engine+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	// Responses have no id, so that on a kept connection an earlier one that is sent once more would count as this one.
	req.Close = true
	if err := failpoint.Hit("orders.send.before"); err != nil {
		return 0, err
	}
	// The process may have been paused since the order was selected, and its lease may have expired.
	if _, ok := c.shards.HeldTerm(ShardOf(e.Engine, c.shards.ShardCount())); !ok {
		return 0, errors.New("the lease of the engine's shard was lost")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if err := httphead.Check(resp); err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}

// finish records the outcome at this instance immediately, and appends it to the log for the other instances.
func (c *Controller) finish(e OrderState, outcome, detail string) {
	c.sent.WithLabelValues(outcome).Inc()
	klog.InfoS("Order ended", "order", e.ID, "engine", e.Engine, "kind", e.Kind, "outcome", outcome)
	r := &ordersv1.Report{Id: e.ID, Outcome: outcome, Detail: detail}
	c.mu.Lock()
	c.registry.ApplyReport(r)
	c.mu.Unlock()
	raw, err := proto.Marshal(r)
	if err == nil {
		err = c.log.Enqueue(&journalv1.Record{Kind: kindReport, Key: e.Engine, Payload: raw})
	}
	if err != nil {
		klog.ErrorS(err, "Failed to queue the report of an order for the log", "order", e.ID)
	}
}
