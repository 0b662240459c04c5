// Package orders sends orders to model engines. An order is a command to load a model or an adapter, or to change role.
//
// An order is a record on the data centre's stream of orders. Its position there is its fencing token, so a later order
// always has a higher token. Each engine belongs to a shard, and the holder of the shard's lease sends the engine's
// orders. An engine that rejects stale fencing tokens may be sent orders at any time. To any other engine, a new holder
// sends nothing until every order that an earlier holder may have sent has timed out.
package orders

import (
	"sort"
	"time"

	ordersv1 "github.com/berylpond/berylpond/api/orders/v1"
	"github.com/berylpond/berylpond/internal/invariant"
)

// Kinds of orders, as named on the wire.
const (
	KindLoadModel   = "load_model"
	KindLoadAdapter = "load_adapter"
	KindSetRole     = "set_role"
)

// Outcomes of orders, as named on the wire.
const (
	OutcomePending    = "pending"
	OutcomeDone       = "done"
	OutcomeSuperseded = "superseded"
	OutcomeFailed     = "failed"
)

// maxEndedOrders is how many orders of one engine are kept, once ended, for listing.
const maxEndedOrders = 16

// ValidKind reports whether kind is a known kind of order.
func ValidKind(kind string) bool {
	return kind == KindLoadModel || kind == KindLoadAdapter || kind == KindSetRole
}

// OrderState is one order with its state.
type OrderState struct {
	ID     string
	Engine string
	Kind   string
	Name   string
	Author string
	// FencingToken is the order's fencing token. It rises along the stream.
	FencingToken uint64
	CreatedAt    time.Time
	Outcome      string
	Detail       string
	// Attempts counts how often this instance has sent the order.
	Attempts int
	// NextAttempt is the earliest time at which the order is sent again.
	NextAttempt time.Time
}

// Registry is the order registry: the state of all orders, built by replaying the stream of orders. It is not safe for
// concurrent use.
type Registry struct {
	byID     map[string]*OrderState
	byEngine map[string][]*OrderState
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{byID: map[string]*OrderState{}, byEngine: map[string][]*OrderState{}}
}

// ApplyOrder applies an order that was read from the stream with the given version. A duplicate has no effect. An
// engine has a single role, so an order to set it supersedes earlier pending ones. Orders to load supersede nothing.
func (reg *Registry) ApplyOrder(version uint64, o *ordersv1.Order) {
	if reg.byID[o.Id] != nil || !ValidKind(o.Kind) {
		return
	}
	list := reg.byEngine[o.Engine]
	if n := len(list); n > 0 {
		invariant.Check(list[n-1].FencingToken < version, "orders_fence_rises", "engine", o.Engine)
	}
	if o.Kind == KindSetRole {
		for _, e := range list {
			if e.Kind == KindSetRole && e.Outcome == OutcomePending {
				e.Outcome = OutcomeSuperseded
			}
		}
	}
	e := &OrderState{
		ID: o.Id, Engine: o.Engine, Kind: o.Kind, Name: o.Name, Author: o.Author, FencingToken: version,
		CreatedAt: time.UnixMilli(o.UnixMs), Outcome: OutcomePending,
	}
	reg.byID[o.Id] = e
	reg.byEngine[o.Engine] = reg.trim(append(list, e))
}

// trim drops the oldest orders of an engine beyond maxEndedOrders, up to the first that is pending.
func (reg *Registry) trim(list []*OrderState) []*OrderState {
	for len(list) > maxEndedOrders && list[0].Outcome != OutcomePending {
		delete(reg.byID, list[0].ID)
		list = list[1:]
	}
	return list
}

// ApplyReport applies the report of an order's outcome. Only the first report of an order has an effect.
func (reg *Registry) ApplyReport(r *ordersv1.Report) {
	if e := reg.byID[r.Id]; e != nil && e.Outcome == OutcomePending {
		e.Outcome, e.Detail = r.Outcome, r.Detail
	}
}

// NextPending returns the engine's oldest pending order if it may be sent now, or else nil. An engine's orders are sent
// one at a time.
func (reg *Registry) NextPending(engine string, now time.Time) *OrderState {
	for _, e := range reg.byEngine[engine] {
		if e.Outcome == OutcomePending {
			if now.Before(e.NextAttempt) {
				return nil
			}
			return e
		}
	}
	return nil
}

// Engines returns the engines that have orders, sorted.
func (reg *Registry) Engines() []string {
	var out []string
	for engine := range reg.byEngine {
		out = append(out, engine)
	}
	sort.Strings(out)
	return out
}

// List returns copies of all orders in the registry, oldest first.
func (reg *Registry) List() []OrderState {
	var out []OrderState
	for _, e := range reg.byID {
		out = append(out, *e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].FencingToken < out[j].FencingToken })
	return out
}
