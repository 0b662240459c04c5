package configcheck

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/berylpond/berylpond/internal/routing"
)

// Errors returns what is wrong with a decoded configuration. Instances refuse it if there is anything.
func Errors(c *routing.Configuration) Findings {
	var f Findings
	if c.Version < 0 {
		f.errorf(whole(Version), "must not be negative, not %d", c.Version)
	}
	f.duplicates(c)
	first := map[string]int{}
	for i, r := range c.Routes {
		if j, ok := first[r.Name]; ok {
			f.errorf(route(i, r.Name, Name), "%q is also the name of the route at position %d", r.Name, j)
		} else {
			first[r.Name] = i
		}
		f.route(i, r, c.Services)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		f.service(c.Services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(c.Accounts)) {
		a := c.Accounts[name]
		notNegative(&f, account(name, Rate), a.RequestsPerSecond)
		notNegative(&f, account(name, Burst), a.Burst)
	}
	if holder, ok := c.Keys[""]; ok {
		f.errorf(account(holder, Keys), "an empty key would admit requests without one")
	}
	notNegative(&f, limits(HeaderBytes), c.Limits.HeaderBytes)
	notNegative(&f, limits(BodyBytes), c.Limits.BodyBytes)
	notNegative(&f, limits(HeaderTimeout), c.Limits.HeaderTimeout)
	notNegative(&f, limits(IdleTimeout), c.Limits.IdleTimeout)
	return f
}

func (f *Findings) duplicates(c *routing.Configuration) {
	for _, r := range c.Duplicates {
		switch r.Kind {
		case routing.DuplicateService:
			f.errorf(Location{Service, r.Index, r.Name, Name}, "an earlier service has the name %q", r.Name)
		case routing.DuplicateAccount:
			f.errorf(Location{Account, r.Index, r.Name, Name}, "an earlier account has the name %q", r.Name)
		case routing.DuplicateKey:
			f.errorf(Location{Account, r.Index, r.Name, Keys}, "the accounts %q and %q both hold the key %s", r.Holder, r.Name,
				KeyDigest(r.Key))
		}
	}
}

func (f *Findings) route(i int, r routing.Route, services map[string]routing.Service) {
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		f.errorf(route(i, r.Name, PathPrefix), "must begin and end with a slash, not %q", r.PathPrefix)
	}
	if r.Timeout <= 0 {
		f.errorf(route(i, r.Name, Timeout), "must be above zero, not %v", r.Timeout)
	}
	notNegative(f, route(i, r.Name, LatencyObjective), r.LatencyObjective)
	notNegative(f, route(i, r.Name, HistoryTTL), r.HistoryTTL)
	notNegative(f, route(i, r.Name, EventInterval), r.EventInterval)
	if len(r.Targets) == 0 {
		f.errorf(route(i, r.Name, Targets), "the route leads to no service")
	}
	for _, t := range r.Targets {
		if _, ok := services[t.Service]; !ok {
			suggestion := ""
			if f.Total < MaxFindings {
				suggestion = suggestService(t.Service, services)
			}
			f.errorf(route(i, r.Name, Targets), "there is no service %q%s", t.Service, suggestion)
		}
		if t.Weight < 0 {
			f.errorf(route(i, r.Name, Targets), "the weight of %q must not be negative, not %d", t.Service, t.Weight)
		}
	}
}

func suggestService(name string, services map[string]routing.Service) string {
	if len(services) > maxNearestNames {
		return ""
	}
	if near := Nearest(name, slices.Sorted(maps.Keys(services))); near != "" {
		return "; the nearest name is \"" + near + "\""
	}
	return ""
}

func (f *Findings) service(s routing.Service) {
	notNegative(f, service(s.Name, MaxConns), s.MaxConns)
	notNegative(f, service(s.Name, ColdRate), s.ColdRequestsPerSecond)
	notNegative(f, service(s.Name, ColdPeriod), s.ColdPeriod)
	if e := s.Engine; e != nil {
		notNegative(f, service(s.Name, Slots), e.Slots)
		notNegative(f, service(s.Name, KVCacheTokens), e.KVCacheTokens)
		notNegative(f, service(s.Name, EventTokens), e.EventTokens)
		notNegative(f, service(s.Name, PinDuration), e.MaxPinDuration)
	}
}

func notNegative[T int | int64 | float64 | time.Duration](f *Findings, l Location, v T) {
	if v < 0 {
		f.errorf(l, "must not be negative, not %v", v)
	}
}
