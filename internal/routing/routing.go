// Package routing holds the configuration of a whole site in the product's own terms: which route a request takes, which
// services may serve it, and whose keys are good.
package routing

import (
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
type Kind int

const (
	// NonIdempotent requests run at most once. It is the zero value, so that an unknown kind is never repeated.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a series of events and run at most once.
	Streaming
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non-idempotent"
	}
}

// Target is a service that may serve a route, with its share of the traffic.
type Target struct {
	Service string
	Weight  int
}

// Route is one entry of the routing table.
type Route struct {
	Name string
	// Host is compared with the request's host without its port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Goal is the time within which an answer is on time.
	Goal time.Duration
	// Priority is the rank; 0 is the highest.
	Priority int
	Targets  []Target
	// MaxAttempts is the greatest number of backend servers that one request is sent to.
	MaxAttempts int
	// KeepsHistory makes requests turns of programs, whose history is kept for KeepFor after each.
	KeepsHistory bool
	KeepFor      time.Duration
	// Public routes need no key.
	Public bool
	// Affinity marks routes whose prompts profit from a backend server's cache.
	Affinity bool
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CapacityTokens is the memory of one engine.
	CapacityTokens int
	// EventTokens is the number of tokens of one stream event.
	EventTokens int
	// PinLimit is the longest time for which the memory of an ended request can be pinned.
	PinLimit time.Duration
}

// Service is a set of equal backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that a backend server accepts from all callers together.
	MaxConns int
	// Engine is nil for plain services.
	Engine *Engine
}

// Account is a client account.
type Account struct {
	Name string
	// Rate is the requests a second over all instances; zero means no limit.
	Rate float64
	// Burst is the requests beyond the rate that may come at once.
	Burst float64
	// Priority replaces the route's where HasPriority.
	Priority    int
	HasPriority bool
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of a site's configuration. It is immutable once built.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	// Accounts by name.
	Accounts map[string]Account
	// Keys maps each API key to the name of its account.
	Keys   map[string]string
	Limits Limits
	// Raw is the published document.
	Raw []byte

	byHost map[string][]*Route
}

// Index prepares the lookups. It is called once, before the configuration is shared.
func (c *Configuration) Index() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
}

// RouteFor returns the route of host with the longest prefix of path, or nil. The host may carry a port.
func (c *Configuration) RouteFor(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// AccountOf returns the account that holds the key.
func (c *Configuration) AccountOf(key string) (Account, bool) {
	name, ok := c.Keys[key]
	if !ok {
		return Account{}, false
	}
	a, ok := c.Accounts[name]
	return a, ok
}

// RequiresKeys reports whether requests must carry a key at all.
func (c *Configuration) RequiresKeys() bool { return len(c.Accounts) > 0 }
