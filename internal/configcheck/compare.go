package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/berylpond/berylpond/internal/routing"
)

// ChangeKind is the kind of a change.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Effect says when a change takes effect at an instance that has received it.
type Effect string

// Effects.
const (
	// AtOnce binds the requests that arrive afterwards.
	AtOnce Effect = "at once"
	// AtRestart binds the listeners that an instance opens when it starts.
	AtRestart Effect = "at the restart of each instance"
)

// Change is one difference from the version in force.
type Change struct {
	Kind     ChangeKind
	Location Location
	// Old and New are the values for display; a key is given by its digest.
	Old, New string
	Effect   Effect
	// Withdraws says what callers who are connected lose; empty if nothing.
	Withdraws string
}

// Compare returns the changes from the version in force, by part and name, and an error if the new version would be
// ignored because it is not newer.
func Compare(inForce, next *routing.Configuration) ([]Change, Findings) {
	var f Findings
	if next.Version <= inForce.Version {
		f.errorf(whole(Version), "%d is not newer than %d, which is in force", next.Version, inForce.Version)
	}
	d := &differ{}
	d.compareLimits(inForce.Limits, next.Limits)
	compareEntries(d, Route, routeValues(next), routesByName(inForce), routesByName(next), func(r routing.Route) string {
		return unreachable(next, r)
	})
	compareEntries(d, Service, serviceValues, inForce.Services, next.Services, nil)
	compareEntries(d, Account, accountValues, inForce.Accounts, next.Accounts, nil)
	d.compareKeys(inForce.Keys, next.Keys)
	if inForce.RequiresKeys() != next.RequiresKeys() {
		d.keysRequired(next.RequiresKeys())
	}
	return d.changes, f
}

type differ struct{ changes []Change }

func (d *differ) add(k ChangeKind, l Location, before, after, withdraws string) {
	effect := AtOnce
	if l.Part == Limits && l.Field != BodyBytes {
		effect = AtRestart
	}
	d.changes = append(d.changes, Change{k, l, before, after, effect, withdraws})
}

// value is a field for display, with what connected callers lose by a change to it.
type value[T any] struct {
	field     Field
	text      func(T) string
	withdraws func(before, after T) string
}

func show[T, V any](get func(T) V) func(T) string {
	return func(t T) string { return fmt.Sprint(get(t)) }
}

// routeValues returns the fields of routes; next tells where the requests of a route go whose host or prefix changed.
func routeValues(next *routing.Configuration) []value[routing.Route] {
	moved := func(before, _ routing.Route) string { return unreachable(next, before) }
	return append([]value[routing.Route]{
		{Host, show(func(r routing.Route) string { return r.Host }), moved},
		{PathPrefix, show(func(r routing.Route) string { return r.PathPrefix }), moved},
	}, otherRouteValues...)
}

var otherRouteValues = []value[routing.Route]{
	{Kind, show(func(r routing.Route) routing.Kind { return r.Kind }), nil},
	{Timeout, show(func(r routing.Route) any { return r.Timeout }), func(a, b routing.Route) string {
		return lowered(a.Timeout, b.Timeout, "requests that take longer end sooner")
	}},
	{LatencyObjective, show(func(r routing.Route) any { return r.LatencyObjective }), nil},
	{Priority, show(func(r routing.Route) int { return r.Priority }), nil},
	{Targets, showTargets, nil},
	{MaxAttempts, show(func(r routing.Route) int { return r.MaxAttempts }), nil},
	{StoresHistory, show(func(r routing.Route) bool { return r.StoresHistory }), func(a, _ routing.Route) string {
		return when(a.StoresHistory, "programs can't continue on this route")
	}},
	{HistoryTTL, show(func(r routing.Route) any { return r.HistoryTTL }), func(a, b routing.Route) string {
		return lowered(a.HistoryTTL, b.HistoryTTL, "programs that pause for longer lose their history")
	}},
	{Public, show(func(r routing.Route) bool { return r.Public }), func(a, _ routing.Route) string {
		return when(a.Public, "requests without a key get 401")
	}},
	{Affinity, show(func(r routing.Route) bool { return r.Affinity }), nil},
	{Resumable, show(func(r routing.Route) bool { return r.Resumable }), func(a, _ routing.Route) string {
		return when(a.Resumable, "streams that break off are not continued")
	}},
	{EventInterval, show(func(r routing.Route) any { return r.EventInterval }), nil},
	{HomeRegions, func(r routing.Route) string { return showRegions(r.HomeRegions) }, nil},
}

var serviceValues = []value[routing.Service]{
	{HealthPath, show(func(s routing.Service) string { return s.HealthPath }), nil},
	{MaxConns, show(func(s routing.Service) int { return s.MaxConns }), nil},
	{ColdRate, show(func(s routing.Service) float64 { return s.ColdRequestsPerSecond }), nil},
	{ColdPeriod, show(func(s routing.Service) any { return s.ColdPeriod }), nil},
	{Slots, show(func(s routing.Service) int { return engine(s).Slots }), nil},
	{KVCacheTokens, show(func(s routing.Service) int { return engine(s).KVCacheTokens }), nil},
	{EventTokens, show(func(s routing.Service) int { return engine(s).EventTokens }), nil},
	{PinDuration, show(func(s routing.Service) any { return engine(s).MaxPinDuration }), nil},
}

var accountValues = []value[routing.Account]{
	{Rate, func(a routing.Account) string { return showLimit(a.RequestsPerSecond) }, func(a, b routing.Account) string {
		return when(lowerLimit(a.RequestsPerSecond, b.RequestsPerSecond), "requests over the lower rate get 429")
	}},
	{Burst, show(func(a routing.Account) float64 { return a.Burst }), func(a, b routing.Account) string {
		return when(b.RequestsPerSecond > 0 && b.Burst < a.Burst, "requests over the lower burst get 429")
	}},
	{Priority, func(a routing.Account) string {
		if !a.HasPriority {
			return "that of the route"
		}
		return fmt.Sprint(a.Priority)
	}, nil},
	{HomeRegions, func(a routing.Account) string { return showRegions(a.HomeRegions) }, nil},
}

// unreachable says what the requests of a route get that the next version no longer has.
func unreachable(next *routing.Configuration, r routing.Route) string {
	return when(next.RouteFor(r.Host, r.PathPrefix) == nil, "requests to "+r.Host+r.PathPrefix+" get 404")
}

func when(condition bool, loss string) string {
	if condition {
		return loss
	}
	return ""
}

func lowered[T ~int64](before, after T, loss string) string {
	return when(after < before, loss)
}

// lowerLimit compares limits of which zero means none.
func lowerLimit(before, after float64) bool { return after > 0 && (before == 0 || after < before) }

func showLimit(v float64) string {
	if v == 0 {
		return "none"
	}
	return fmt.Sprintf("%v/s", v)
}

func showRegions(regions []string) string {
	if len(regions) == 0 {
		return "any"
	}
	return fmt.Sprintf("%q", regions)
}

func showTargets(r routing.Route) string {
	texts := make([]string, len(r.Targets))
	for i, t := range r.Targets {
		texts[i] = fmt.Sprintf("%s*%d", t.Service, t.Weight)
	}
	return strings.Join(texts, " ")
}

func engine(s routing.Service) routing.Engine {
	if s.Engine == nil {
		return routing.Engine{}
	}
	return *s.Engine
}

// routesByName keeps the first of routes with the same name, which is the one that Errors does not report.
func routesByName(c *routing.Configuration) map[string]routing.Route {
	out := make(map[string]routing.Route, len(c.Routes))
	for _, r := range c.Routes {
		if _, ok := out[r.Name]; !ok {
			out[r.Name] = r
		}
	}
	return out
}

func compareEntries[T any](d *differ, p Part, values []value[T], before, after map[string]T,
	loss func(T) string,
) {
	for _, name := range slices.Sorted(maps.Keys(before)) {
		l := Location{Part: p, Index: -1, Name: name}
		a := before[name]
		b, ok := after[name]
		if !ok {
			withdraws := ""
			if loss != nil {
				withdraws = loss(a)
			}
			d.add(Removed, l, "", "", withdraws)
			continue
		}
		for _, v := range values {
			l.Field = v.field
			if oldText, newText := v.text(a), v.text(b); oldText != newText {
				withdraws := ""
				if v.withdraws != nil {
					withdraws = v.withdraws(a, b)
				}
				d.add(Changed, l, oldText, newText, withdraws)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if _, ok := before[name]; !ok {
			d.add(Added, Location{Part: p, Index: -1, Name: name}, "", "", "")
		}
	}
}

func (d *differ) compareKeys(before, after map[string]string) {
	var removed, added, moved []Change
	for key, holder := range before {
		next, ok := after[key]
		switch {
		case !ok:
			removed = append(removed, Change{Location: account(holder, Keys), Old: KeyDigest(key)})
		case next != holder:
			moved = append(moved, Change{Location: account(holder, Keys), Old: KeyDigest(key),
				New: KeyDigest(key) + " of " + next})
		}
	}
	for key, holder := range after {
		if _, ok := before[key]; !ok {
			added = append(added, Change{Location: account(holder, Keys), New: KeyDigest(key)})
		}
	}
	d.addSorted(Removed, removed, "requests with this key get 401")
	d.addSorted(Changed, moved, "requests with this key count for another account, whose programs they can't continue")
	d.addSorted(Added, added, "")
}

func (d *differ) addSorted(k ChangeKind, changes []Change, loss string) {
	slices.SortFunc(changes, func(a, b Change) int {
		return strings.Compare(a.Location.Name+a.Old+a.New, b.Location.Name+b.Old+b.New)
	})
	for _, c := range changes {
		d.add(k, c.Location, c.Old, c.New, loss)
	}
}

func (d *differ) keysRequired(required bool) {
	d.add(Changed, whole(Keys), fmt.Sprintf("required: %v", !required), fmt.Sprintf("required: %v", required),
		when(required, "requests without a key get 401"))
}

func (d *differ) compareLimits(a, b routing.Limits) {
	for _, v := range []value[routing.Limits]{
		{HeaderBytes, show(func(l routing.Limits) int { return l.HeaderBytes }), nil},
		{BodyBytes, show(func(l routing.Limits) int64 { return l.BodyBytes }), func(a, b routing.Limits) string {
			return lowered(a.BodyBytes, b.BodyBytes, "requests with longer bodies get 413")
		}},
		{HeaderTimeout, show(func(l routing.Limits) any { return l.HeaderTimeout }), nil},
		{IdleTimeout, show(func(l routing.Limits) any { return l.IdleTimeout }), nil},
	} {
		if oldText, newText := v.text(a), v.text(b); oldText != newText {
			withdraws := ""
			if v.withdraws != nil {
				withdraws = v.withdraws(a, b)
			}
			d.add(Changed, limits(v.field), oldText, newText, withdraws)
		}
	}
}
