package configcheck

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/berylpond/berylpond/internal/routing"
)

// Known is what the operator knows beside the configuration. Rules that need a missing part find nothing.
type Known struct {
	// Regions of the site, from a settings file. Without it a region counts as known if two entries name it.
	Regions []string
	// MemoryBytes is the memory limit of an instance, from a settings file.
	MemoryBytes int64
	// Servers counts the backend servers of each service that take requests.
	Servers map[string]int
	// RequestTimes is the time that most requests of a kind are known to exceed or reach.
	RequestTimes map[routing.Kind]RequestTime
}

// RequestTime is what a histogram of request times shows.
type RequestTime struct {
	// AtLeast is a lower bound of the share's quantile, Share the share of requests that took up to that quantile.
	AtLeast time.Duration
	Share   float64
}

const (
	// turnsOfProgram is the smallest number of turns that needs a stored history.
	turnsOfProgram = 2
	// requestsAtOnce is the number of requests that the smallest program sends at once.
	requestsAtOnce = 1
	// namedBy is the number of entries that name a region for it to count as one of the site.
	namedBy = 2
)

// Warnings returns entries that never match and limits that contradict each other.
func Warnings(c *routing.Configuration, k Known) Findings {
	var f Findings
	if c.Version == 0 {
		f.warnf(whole(Version), "is missing or zero, so that instances which have any version ignore it")
	}
	if len(c.Routes) == 0 {
		f.warnf(whole(Routes), "there is none, so that every request gets 404")
	}
	f.neverMatching(c)
	f.homeRegions(c, k.Regions)
	for i, r := range c.Routes {
		f.routeLimits(i, r, k)
	}
	f.serviceLimits(c)
	f.accountLimits(c)
	f.clientLimits(c, k)
	return f
}

func (f *Findings) neverMatching(c *routing.Configuration) {
	type match struct{ host, prefix string }
	first := map[match]int{}
	for i, r := range c.Routes {
		m := match{r.Host, r.PathPrefix}
		if j, ok := first[m]; ok {
			f.warnf(route(i, r.Name, Entry), "never matches: the route %q at position %d has the same host and prefix",
				c.Routes[j].Name, j)
		} else {
			first[m] = i
		}
		if r.Host == "" {
			f.warnf(route(i, r.Name, Host), "never matches: it is missing, and every request names one")
		}
		f.weights(i, r)
	}
	keys := map[string]int{}
	for _, holder := range c.Keys {
		keys[holder]++
	}
	for _, name := range slices.Sorted(maps.Keys(c.Accounts)) {
		if keys[name] == 0 {
			f.warnf(account(name, Keys), "the account %q holds no key, so that no request is its own", name)
		}
	}
}

func (f *Findings) weights(i int, r routing.Route) {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	switch {
	case total > 0:
		for _, t := range r.Targets {
			if t.Weight == 0 {
				f.warnf(route(i, r.Name, Targets), "the service %q has the weight zero and gets no request", t.Service)
			}
		}
	case len(r.Targets) == 1 && total == 0:
		f.warnf(route(i, r.Name, Targets), "the only service %q has the weight zero and gets every request nevertheless",
			r.Targets[0].Service)
	case len(r.Targets) > 1 && total == 0:
		f.warnf(route(i, r.Name, Targets), "all weights are zero, so that no service gets a request")
	}
}

func (f *Findings) homeRegions(c *routing.Configuration, site []string) {
	named := map[string]int{}
	for _, r := range c.Routes {
		countAll(named, r.HomeRegions)
	}
	for _, a := range c.Accounts {
		countAll(named, a.HomeRegions)
	}
	known := func(region string) bool { return slices.Contains(site, region) }
	reason := "it is not one of the settings file's: " + strings.Join(slices.Sorted(slices.Values(site)), ", ")
	if len(site) == 0 {
		if !slices.ContainsFunc(slices.Collect(maps.Values(named)), func(n int) bool { return n >= namedBy }) {
			return
		}
		known = func(region string) bool { return named[region] >= namedBy }
		reason = "no other route or account names it (no settings file was given)"
	}
	check := func(l Location, regions []string) {
		for _, region := range regions {
			if !known(region) {
				f.warnf(l, "the region %q is probably not in the site: %s", region, reason)
			}
		}
	}
	for i, r := range c.Routes {
		check(route(i, r.Name, HomeRegions), r.HomeRegions)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Accounts)) {
		check(account(name, HomeRegions), c.Accounts[name].HomeRegions)
	}
}

func countAll(counts map[string]int, names []string) {
	for _, n := range names {
		counts[n]++
	}
}

func (f *Findings) routeLimits(i int, r routing.Route, k Known) {
	if r.Timeout > 0 && r.LatencyObjective > r.Timeout {
		f.warnf(route(i, r.Name, LatencyObjective), "%v is above the timeout of %v", r.LatencyObjective, r.Timeout)
	}
	if t, ok := k.RequestTimes[r.Kind]; ok && r.Timeout > 0 && r.Timeout < t.AtLeast {
		f.warnf(route(i, r.Name, Timeout), "%v is below the time of known calls: at least %.0f%% of the %s ones take over %v",
			r.Timeout, 100*(1-t.Share), r.Kind, t.AtLeast)
	}
	if r.StoresHistory && r.HistoryTTL == 0 {
		f.warnf(route(i, r.Name, HistoryTTL), "histories are stored but not kept for any time")
	}
	if r.EventInterval > 0 && r.Kind != routing.Streaming {
		f.warnf(route(i, r.Name, EventInterval), "a pause target has no effect on a route that does not stream")
	}
	if r.Resumable && r.Kind != routing.Streaming {
		f.warnf(route(i, r.Name, Resumable), "has no effect on a route that does not stream")
	}
	if k.Servers == nil {
		return
	}
	servers := 0
	for _, t := range r.Targets {
		servers += k.Servers[t.Service]
	}
	if r.MaxAttempts > servers {
		f.warnf(route(i, r.Name, MaxAttempts), "%d attempts at different servers, but the store lists %d for the route's services",
			r.MaxAttempts, servers)
	}
}

func (f *Findings) serviceLimits(c *routing.Configuration) {
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		s := c.Services[name]
		switch {
		case s.ColdRequestsPerSecond > 0 && s.ColdPeriod == 0:
			f.warnf(service(name, ColdRate), "has no effect without a cold period")
		case s.ColdPeriod > 0 && s.ColdRequestsPerSecond == 0:
			f.warnf(service(name, ColdPeriod), "has no effect without a cold rate")
		}
	}
}

// accountLimits compares rates and bursts with the smallest program: one request at once, and a second turn before its
// history expires.
func (f *Findings) accountLimits(c *routing.Configuration) {
	retention := shortestRetention(c)
	limited, sum := 0, 0.0
	for _, name := range slices.Sorted(maps.Keys(c.Accounts)) {
		a := c.Accounts[name]
		if a.RequestsPerSecond <= 0 {
			if a.Burst > 0 {
				f.warnf(account(name, Burst), "has no effect without a rate")
			}
			continue
		}
		limited++
		sum += a.RequestsPerSecond
		if a.Burst >= 0 && a.Burst < requestsAtOnce {
			f.warnf(account(name, Burst), "%v is below the %d request that a program sends at once", a.Burst, requestsAtOnce)
		}
		if retention > 0 && a.RequestsPerSecond*retention.Seconds() < turnsOfProgram-1 {
			f.warnf(account(name, Rate), "at %v requests/s the second turn of a program comes after its history expired (%v)",
				a.RequestsPerSecond, retention)
		}
	}
	if limited > 1 && limited == len(c.Accounts) && retention > 0 && sum*retention.Seconds() < turnsOfProgram {
		f.warnf(whole(Entry), "the rates of all accounts together, %v requests/s, are below one program of %d turns in the %v "+
			"for which histories are kept", sum, turnsOfProgram, retention)
	}
}

// shortestRetention returns the shortest time for which a route keeps histories; zero if none does.
func shortestRetention(c *routing.Configuration) time.Duration {
	var shortest time.Duration
	for _, r := range c.Routes {
		if r.StoresHistory && r.HistoryTTL > 0 && (shortest == 0 || r.HistoryTTL < shortest) {
			shortest = r.HistoryTTL
		}
	}
	return shortest
}

func (f *Findings) clientLimits(c *routing.Configuration, k Known) {
	const message = "is missing or zero, so that the daemon's default applies"
	l := c.Limits
	for _, v := range []struct {
		field  Field
		isZero bool
	}{
		{HeaderBytes, l.HeaderBytes == 0}, {BodyBytes, l.BodyBytes == 0}, {HeaderTimeout, l.HeaderTimeout == 0},
		{IdleTimeout, l.IdleTimeout == 0},
	} {
		if v.isZero {
			f.warnf(limits(v.field), message)
		}
	}
	if k.MemoryBytes > 0 && l.BodyBytes > k.MemoryBytes {
		f.warnf(limits(BodyBytes), "one body of %d bytes is over the memory of an instance, %d bytes", l.BodyBytes, k.MemoryBytes)
	}
}
