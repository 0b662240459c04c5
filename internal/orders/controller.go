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
	"github.com/berylpond/berylpond/internal/journal"
	"github.com/berylpond/berylpond/internal/verdict"
)

// Kinds of records on the stream of orders.
const (
	kindOrder  = "order"
	kindReport = "order-report"
)

const (
	// sendInterval is the pause between two looks for orders to send.
	sendInterval = 200 * time.Millisecond
	// DefaultTimeLimit bounds one order: after it the connection is closed and the engine drops the order.
	DefaultTimeLimit = 10 * time.Second
	// retryPause is the pause before a failed order is sent again; it doubles with each attempt up to maxRetryPause.
	retryPause    = time.Second
	maxRetryPause = 30 * time.Second
	// maxAttempts is how often an order is sent before it counts as failed.
	maxAttempts = 8
	// clockMargin allows for the drift of clocks over a time limit.
	clockMargin = 200 * time.Millisecond
)

// Parts tells which parts this instance holds.
type Parts interface {
	Parts() int
	Holds(part int) (term uint64, ok bool)
}

// Log writes the stream of orders.
type Log interface {
	Append(ctx context.Context, rec *journalv1.Record) (journal.Position, error)
	Enqueue(rec *journalv1.Record) error
}

// Option changes a Controller.
type Option func(*Controller)

// WithTimeLimit bounds one order; it must be the same at every instance of the data centre.
func WithTimeLimit(d time.Duration) Option { return func(c *Controller) { c.limit = d } }

// Controller sends the orders of the engines whose parts this instance holds. It is safe for concurrent use.
type Controller struct {
	parts Parts
	log   Log
	// checksFence reports whether an engine refuses old fencing numbers.
	checksFence func(engine string) bool
	http        *http.Client
	limit       time.Duration
	sent        *prometheus.CounterVec

	mu   sync.Mutex
	book *Book
	// since is when the current holding of each part was first seen.
	since map[int]holding
}

type holding struct {
	term uint64
	at   time.Time
}

// New returns a controller. Orders reach it through Apply.
func New(parts Parts, log Log, checksFence func(string) bool, client *http.Client, opts ...Option) *Controller {
	c := &Controller{
		parts: parts, log: log, checksFence: checksFence, http: client, limit: DefaultTimeLimit,
		book: NewBook(), since: map[int]holding{},
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
			c.book.Add(journal.VersionOf(p, rec), o)
		}
	case kindReport:
		r := &ordersv1.Report{}
		if proto.Unmarshal(rec.Payload, r) == nil {
			c.book.Report(r)
		}
	}
}

// Gap implements journal.Handler. Orders that expired unread are not sent.
func (c *Controller) Gap(journal.Gap) {}

// Submit puts an order on the log and returns its id. The order has no effect before the log has it.
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
		// The record stays queued, so the order may still take effect.
		return o.Id, verdict.Fail(http.StatusServiceUnavailable, verdict.ReasonPlatformAway, "order %s is queued for the log: %v", o.Id, err)
	}
	return o.Id, nil
}

// List returns the remembered orders, oldest first.
func (c *Controller) List() []Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.book.List()
}

// Run sends orders until ctx ends, one at a time, since all of them draw on one weight store.
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

// PartOf returns the part that an engine falls on.
func PartOf(engine string, parts int) int {
	return int(xxhash.Sum64String(engine) % uint64(max(parts, 1)))
}

// due returns an order that this instance may send now.
func (c *Controller) due(now time.Time) (Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteHoldings(now)
	for _, engine := range c.book.Engines() {
		if e := c.book.Next(engine, now); e != nil && c.maySend(engine, now) {
			e.Attempts++
			e.NextAttempt = now.Add(c.limit + backoff(e.Attempts))
			return *e, true
		}
	}
	return Entry{}, false
}

func backoff(attempts int) time.Duration {
	return min(retryPause<<min(attempts-1, 10), maxRetryPause)
}

// noteHoldings records since when each part is held. c.mu is held.
func (c *Controller) noteHoldings(now time.Time) {
	for part := range c.parts.Parts() {
		term, ok := c.parts.Holds(part)
		switch h := c.since[part]; {
		case !ok:
			delete(c.since, part)
		case h.term != term:
			c.since[part] = holding{term: term, at: now}
		}
	}
}

// maySend reports whether this instance holds the engine's part and, for an engine that ignores fencing numbers, whether
// every order of an earlier holder has reached its time limit. c.mu is held.
func (c *Controller) maySend(engine string, now time.Time) bool {
	h, ok := c.since[PartOf(engine, c.parts.Parts())]
	if !ok {
		return false
	}
	return c.checksFence(engine) || now.Sub(h.at) > c.limit+clockMargin
}

// orderBody is what engines expect.
type orderBody struct {
	Fence uint64 `json:"fence"`
	Kind  string `json:"kind"`
	Name  string `json:"name"`
}

// send sends one order and reports its end.
func (c *Controller) send(ctx context.Context, e Entry) {
	status, err := c.post(ctx, e)
	switch {
	case err == nil && status < http.StatusMultipleChoices:
		c.end(e, Done, "")
	case err == nil && status == http.StatusConflict:
		c.end(e, Superseded, "the engine has seen a newer fencing number")
	case err == nil && status == http.StatusBadRequest:
		c.end(e, Failed, "the engine does not accept the order")
	case e.Attempts >= maxAttempts:
		c.end(e, Failed, fmt.Sprintf("no success in %d attempts", e.Attempts))
	default:
		c.sent.WithLabelValues("retried").Inc()
		klog.InfoS("Order will be sent again", "order", e.ID, "engine", e.Engine, "status", status, "err", err)
		c.retryFrom(e.ID, time.Now())
	}
}

// retryFrom counts the pause before the next attempt from the end of the last one.
func (c *Controller) retryFrom(id string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.book.byID[id]; e != nil {
		e.NextAttempt = now.Add(backoff(e.Attempts))
	}
}

func (c *Controller) post(ctx context.Context, e Entry) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	body, err := json.Marshal(orderBody{Fence: e.Fence, Kind: e.Kind, Name: e.Name})
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Engine+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	if err := failpoint.Hit("orders.send.before"); err != nil {
		return 0, err
	}
	// The process may have been paused since the order was chosen.
	if _, ok := c.parts.Holds(PartOf(e.Engine, c.parts.Parts())); !ok {
		return 0, errors.New("the engine's part is no longer held here")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// end marks the order here at once and tells the other instances through the log.
func (c *Controller) end(e Entry, outcome, detail string) {
	c.sent.WithLabelValues(outcome).Inc()
	klog.InfoS("Order ended", "order", e.ID, "engine", e.Engine, "kind", e.Kind, "outcome", outcome)
	r := &ordersv1.Report{Id: e.ID, Outcome: outcome, Detail: detail}
	c.mu.Lock()
	c.book.Report(r)
	c.mu.Unlock()
	raw, err := proto.Marshal(r)
	if err == nil {
		err = c.log.Enqueue(&journalv1.Record{Kind: kindReport, Key: e.Engine, Payload: raw})
	}
	if err != nil {
		klog.ErrorS(err, "Report of an order is not kept", "order", e.ID)
	}
}
