// Package routing holds the decoded configuration of a site, independent of the published format: routes, the services
// behind them, client accounts and their API keys.
package routing

import (
	"sort"
	"strings"
	"time"
)

// Kind says whether the requests of a route may be retried.
type Kind int

const (
	// NonIdempotent requests run at most once. It is the zero value, so that a request of unknown kind is never
	// repeated.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered with a stream of events and run at most once.
	Streaming
)

// String returns the kind's name for logs and metric labels.
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

// Target is a service of a route with its weight.
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
	// Timeout bounds the time until the client has its response.
	Timeout          time.Duration
	LatencyObjective time.Duration
	// Priority of the route's requests; 0 is the highest.
	Priority int
	Targets  []Target
	// MaxAttempts bounds the number of backend servers to which one request is sent.
	MaxAttempts int
	// StoresHistory makes the route's requests turns of programs. A program's history is kept for HistoryTTL after each
	// turn.
	StoresHistory bool
	HistoryTTL    time.Duration
	// Public routes need no key.
	Public bool
	// Affinity marks routes whose requests should go to the backend server that has their prompt cached.
	Affinity bool
	// Resumable streams may be continued at another backend server after the events that were relayed.
	Resumable bool
	// EventInterval is the longest pause between two events of a stream that is still on time; zero if not stated.
	EventInterval time.Duration
	// HomeRegions lists the regions in which the route's requests may be handled; empty for any region.
	HomeRegions []string
}

// Engine describes the model engines behind a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// KVCacheTokens is the KV cache capacity of one engine, in tokens.
	KVCacheTokens int
	// EventTokens is the number of tokens in one stream event.
	EventTokens int
	// MaxPinDuration bounds the time for which the cache of an ended request can be pinned.
	MaxPinDuration time.Duration
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the total number of connections that a backend server accepts.
	MaxConns int
	// Engine is nil for plain services.
	Engine *Engine
	// ColdRequestsPerSecond is the number of requests per second that a server accepts from all instances together while
	// it is cold; zero for no limit. ColdPeriod is how long a server is cold after its start.
	ColdRequestsPerSecond float64
	ColdPeriod            time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	// RequestsPerSecond is the limit in requests per second over all instances; zero means no limit.
	RequestsPerSecond float64
	// Burst is the number of requests that may exceed the rate at once.
	Burst float64
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// HomeRegions lists the regions in which the account's requests may be handled; empty for any region.
	HomeRegions []string
}

// Limits bounds client requests and connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DuplicateKind says what is duplicate.
type DuplicateKind int

// Kinds of duplicates.
const (
	DuplicateService DuplicateKind = iota
	DuplicateAccount
	// DuplicateKey is an API key that two accounts hold.
	DuplicateKey
)

// Duplicate is a name or key that the document holds more than once.
type Duplicate struct {
	Kind DuplicateKind
	// Name is the name of the service or account; for a key, that of the later account that holds it.
	Name string
	// Index is the position of that service or account in the document, from 0.
	Index int
	// Key is the key and Holder the account that held it before.
	Key, Holder string
}

// Configuration is one version of a site's configuration. It is immutable after BuildIndex.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	// Accounts by name.
	Accounts map[string]Account
	// Keys maps each API key to the name of its account.
	Keys   map[string]string
	Limits Limits
	// Duplicates lists what the document holds twice and the maps hold once: the last of each.
	Duplicates []Duplicate
	// Raw is the document as published.
	Raw []byte

	byHost   map[string][]*Route
	hasHomes bool
}

// BuildIndex builds the lookup tables. It must be called once, before the configuration is shared between goroutines.
func (c *Configuration) BuildIndex() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
		c.hasHomes = c.hasHomes || len(r.HomeRegions) > 0
	}
	for _, a := range c.Accounts {
		c.hasHomes = c.hasHomes || len(a.HomeRegions) > 0
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
}

// HasHomes reports whether any route or account names regions in which its requests may be handled.
func (c *Configuration) HasHomes() bool { return c.hasHomes }

// RouteFor returns the route of host with the longest matching path prefix, or nil. The host may include a port.
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

// AccountForKey returns the account to which the key belongs.
func (c *Configuration) AccountForKey(key string) (Account, bool) {
	name, ok := c.Keys[key]
	if !ok {
		return Account{}, false
	}
	a, ok := c.Accounts[name]
	return a, ok
}

// RequiresKeys reports whether requests to routes that are not public must carry a key.
func (c *Configuration) RequiresKeys() bool { return len(c.Accounts) > 0 }
