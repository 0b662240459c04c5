// Package homes decides in which regions a request may be handled.
//
// Load pattern: a site spans several regions, and the law or a contract keeps some requests in some of them. Clients connect
// anywhere, and instances pass requests and their contents on to one another all the time.
package homes

import (
	"context"
	"fmt"
	"slices"
)

// Set is a set of regions. The zero value allows every region.
type Set struct {
	restricted bool
	regions    []string
}

// Of returns the regions in which a request may be handled, given those that its route and its account name. An empty list
// allows any region; where both name some, both bind.
func Of(route, account []string) Set {
	switch {
	case len(route) == 0 && len(account) == 0:
		return Set{}
	case len(route) == 0:
		return Set{restricted: true, regions: account}
	case len(account) == 0:
		return Set{restricted: true, regions: route}
	}
	return Set{restricted: true, regions: slices.DeleteFunc(slices.Clone(route), func(r string) bool {
		return !slices.Contains(account, r)
	})}
}

// IsRestricted reports whether the set does not allow every region.
func (s Set) IsRestricted() bool { return s.restricted }

// String returns the regions in order; "any" stands for all of them.
func (s Set) String() string {
	if !s.restricted {
		return "any"
	}
	return fmt.Sprintf("%q", slices.Sorted(slices.Values(s.regions)))
}

// Allows reports whether the set allows the region. An unknown region has no name and is allowed only if every region is.
func (s Set) Allows(region string) bool {
	return !s.restricted || region != "" && slices.Contains(s.regions, region)
}

// AllowsAny reports whether the set allows any region of a site, given the region of each data centre.
func (s Set) AllowsAny(regionOf map[string]string) bool {
	if !s.restricted {
		return true
	}
	for _, r := range regionOf {
		if s.Allows(r) {
			return true
		}
	}
	return false
}

type contextKey struct{}

// NewContext returns a context for the work on a request that may be handled in the regions of s.
func NewContext(ctx context.Context, s Set) context.Context {
	if !s.restricted && !FromContext(ctx).restricted {
		return ctx
	}
	return context.WithValue(ctx, contextKey{}, s)
}

// FromContext returns the regions in which the request of the context may be handled.
func FromContext(ctx context.Context) Set {
	s, _ := ctx.Value(contextKey{}).(Set)
	return s
}
