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
	Pending    = "pending"
	Done       = "done"
	Superseded = "superseded"
	Failed     = "failed"
)

// maxEndedOrders is how many orders of one engine are kept, once ended, for listing.
const maxEndedOrders = 16

// ValidKind reports whether kind is a known kind of order.
func ValidKind(kind string) bool {
	return kind == KindLoadModel || kind == KindLoadAdapter || kind == KindSetRole
}

// Entry is one order with its state.
type Entry struct {
	ID     string
	Engine string
	Kind   string
	Name   string
	Author string
	// Fence is the order's fencing token. It rises along the stream.
	Fence   uint64
	At      time.Time
	Outcome string
	Detail  string
	// Attempts counts how often this instance has sent the order.
	Attempts int
	// NextAttempt is the earliest time at which the order is sent again.
	NextAttempt time.Time
}

// Book is the order registry: the state of all orders, built by replaying the stream of orders. It is not safe for
// concurrent use.
type Book struct {
	byID     map[string]*Entry
	byEngine map[string][]*Entry
}

// NewBook returns an empty registry.
func NewBook() *Book { return &Book{byID: map[string]*Entry{}, byEngine: map[string][]*Entry{}} }

// Add applies an order that was read from the stream with the given version. A duplicate has no effect. An engine has a
// single role, so an order to set it supersedes earlier pending ones. Orders to load supersede nothing.
func (b *Book) Add(version uint64, o *ordersv1.Order) {
	if b.byID[o.Id] != nil || !ValidKind(o.Kind) {
		return
	}
	list := b.byEngine[o.Engine]
	if n := len(list); n > 0 {
		invariant.Check(list[n-1].Fence < version, "orders_fence_rises", "engine", o.Engine)
	}
	if o.Kind == KindSetRole {
		for _, e := range list {
			if e.Kind == KindSetRole && e.Outcome == Pending {
				e.Outcome = Superseded
			}
		}
	}
	e := &Entry{
		ID: o.Id, Engine: o.Engine, Kind: o.Kind, Name: o.Name, Author: o.Author, Fence: version,
		At: time.UnixMilli(o.UnixMs), Outcome: Pending,
	}
	b.byID[o.Id] = e
	b.byEngine[o.Engine] = b.trim(append(list, e))
}

// trim drops the oldest orders of an engine beyond maxEndedOrders, up to the first that is pending.
func (b *Book) trim(list []*Entry) []*Entry {
	for len(list) > maxEndedOrders && list[0].Outcome != Pending {
		delete(b.byID, list[0].ID)
		list = list[1:]
	}
	return list
}

// Report applies the report of an order's outcome. Only the first report of an order has an effect.
func (b *Book) Report(r *ordersv1.Report) {
	if e := b.byID[r.Id]; e != nil && e.Outcome == Pending {
		e.Outcome, e.Detail = r.Outcome, r.Detail
	}
}

// Next returns the engine's oldest pending order if it may be sent now, or else nil. An engine's orders are sent one at
// a time.
func (b *Book) Next(engine string, now time.Time) *Entry {
	for _, e := range b.byEngine[engine] {
		if e.Outcome == Pending {
			if now.Before(e.NextAttempt) {
				return nil
			}
			return e
		}
	}
	return nil
}

// Engines returns the engines that have orders, sorted.
func (b *Book) Engines() []string {
	var out []string
	for engine := range b.byEngine {
		out = append(out, engine)
	}
	sort.Strings(out)
	return out
}

// List returns copies of all orders in the registry, oldest first.
func (b *Book) List() []Entry {
	var out []Entry
	for _, e := range b.byID {
		out = append(out, *e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Fence < out[j].Fence })
	return out
}
