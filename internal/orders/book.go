// Package orders gives orders to model engines: load a model or an adapter, or change role.
//
// An order is a record on the data centre's stream of orders, and its place there is its fencing number, so a later
// order always has a higher number. The holder of the engine's part sends it. An engine that refuses old numbers may be
// sent an order at any time. One that does not is sent orders only by a holder that has held the part for longer than
// an earlier holder's order could still be under way.
package orders

import (
	"sort"
	"time"

	ordersv1 "github.com/berylpond/berylpond/api/orders/v1"
	"github.com/berylpond/berylpond/internal/invariant"
)

// Kinds of orders.
const (
	KindLoadModel   = "load_model"
	KindLoadAdapter = "load_adapter"
	KindSetRole     = "set_role"
)

// Outcomes of orders.
const (
	Pending    = "pending"
	Done       = "done"
	Superseded = "superseded"
	Failed     = "failed"
)

// keepEnded is how many ended orders of one engine are remembered for lists.
const keepEnded = 16

// ValidKind reports whether the kind is one that engines know.
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
	// Fence is the order's fencing number; it rises along the stream.
	Fence   uint64
	At      time.Time
	Outcome string
	Detail  string
	// Attempts counts the times that the order was sent from here.
	Attempts int
	// NextAttempt is the time before which it is not sent again.
	NextAttempt time.Time
}

// Book is the fold of the stream of orders. It is not safe for concurrent use.
type Book struct {
	byID     map[string]*Entry
	byEngine map[string][]*Entry
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{byID: map[string]*Entry{}, byEngine: map[string][]*Entry{}} }

// Add takes in an order that was read with the given version. A repeat changes nothing. A later order of the same kind
// supersedes an earlier one for a role, which can be only one; loads add up.
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

// trim forgets the oldest ended orders of an engine beyond keepEnded.
func (b *Book) trim(list []*Entry) []*Entry {
	for len(list) > keepEnded && list[0].Outcome != Pending {
		delete(b.byID, list[0].ID)
		list = list[1:]
	}
	return list
}

// Report takes in the end of an order. The first report counts.
func (b *Book) Report(r *ordersv1.Report) {
	if e := b.byID[r.Id]; e != nil && e.Outcome == Pending {
		e.Outcome, e.Detail = r.Outcome, r.Detail
	}
}

// Next returns the engine's oldest pending order that may be sent now, or nil. Orders of one engine go one at a time.
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

// Engines lists the engines that have orders.
func (b *Book) Engines() []string {
	var out []string
	for a := range b.byEngine {
		out = append(out, a)
	}
	sort.Strings(out)
	return out
}

// List returns a copy of every remembered order, oldest first.
func (b *Book) List() []Entry {
	var out []Entry
	for _, e := range b.byID {
		out = append(out, *e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Fence < out[j].Fence })
	return out
}
