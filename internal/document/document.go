// Package document defines and parses the TOML document that configures a team: its client accounts with their keys,
// rates and permissions, and the models and services that its agents may call.
package document

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
	"time"
)

// Document is a parsed and validated document. It is immutable after Parse has returned it.
type Document struct {
	// Team is the name of the owner; each team has one document.
	Team string `json:"team"`
	// DataCentres lists the data centres that the team uses.
	DataCentres []string `json:"data_centres"`
	// Accounts lists the client accounts, ordered by name.
	Accounts []Account `json:"account"`
	// Models lists the models, ordered by name.
	Models []Model `json:"model"`
	// Services lists the plain services and tools, ordered by name.
	Services []Service `json:"service"`
	// Routes lists the HTTP routes to services, in the order of the document.
	Routes []Route `json:"route"`
	// Budget limits the work of programs.
	Budget Budget `json:"budget"`
	// Objective holds the weights of the scheduling objectives.
	Objective Objective `json:"objective"`
}

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// Rate is in requests per second, for the fleet as a whole.
	Rate float64 `json:"rate"`
	// Burst is the capacity of the account's token bucket, in requests.
	Burst int `json:"burst"`
	// Weight is the account's relative share (weighted fair sharing); the default is 1.
	Weight float64 `json:"weight"`
	// Keys are the account's keys, as hashes only.
	Keys []Key `json:"keys"`
}

// Key is a caller's key in hashed form.
type Key struct {
	// ID is the public part of the key, by which it is looked up and withdrawn.
	ID string `json:"id"`
	// Salt is in hex. It is prepended to the key before hashing (sha256) or is the HMAC key (hmac-sha256).
	Salt string `json:"salt"`
	// Hash is "sha256:" or "hmac-sha256:" followed by the hash in hex.
	Hash string `json:"hash"`
}

// Pool is the set of backend servers of a model or service in one data centre.
type Pool struct {
	DataCentre string `json:"data_centre"`
	// Backends are host:port addresses. Empty when FromList is set.
	Backends []string `json:"backends"`
	// FromList takes the backend servers from the platform's instance list, under the name in Name.
	FromList bool `json:"from_list"`
	// Name is the pool's name in the platform's instance list.
	Name string `json:"name"`
	// ChecksFencing is set when the pool's engines reject orders with a stale fencing token.
	ChecksFencing bool `json:"checks_fence"`
}

// Model is a model that the team's programs may call.
type Model struct {
	Name  string `json:"name"`
	Pools []Pool `json:"pool"`
	// ContextTokens is the context length: the maximum number of tokens of a prompt and its completion.
	ContextTokens int `json:"context_tokens"`
	// PromptCost and CompletionCost are the relative costs of one prompt token and one completion token; the default
	// is 1.
	PromptCost     float64 `json:"prompt_cost"`
	CompletionCost float64 `json:"completion_cost"`
	// Accounts are the accounts that may call the model; empty means all of the team.
	Accounts []string `json:"accounts"`
}

// Service is a plain service or tool.
type Service struct {
	Name  string `json:"name"`
	Pools []Pool `json:"pool"`
}

// Route maps matching requests to a service.
type Route struct {
	// Path is matched by segments: "{name}" matches one non-empty segment, and a final "*" all remaining segments.
	Path string `json:"path"`
	// Method is an HTTP method, or "*" for any.
	Method  string `json:"method"`
	Service string `json:"service"`
	// Repeatable is set when a request may run more than once, so that retries are safe.
	Repeatable bool `json:"repeatable"`
	// Open is set when callers need no key (public route).
	Open bool `json:"open"`
	// Accounts are the accounts allowed; empty means all of the team.
	Accounts []string `json:"accounts"`
	// Timeout is the timeout of one request.
	Timeout time.Duration `json:"timeout"`
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int64 `json:"max_body"`
}

// Limits limits the work of one program.
type Limits struct {
	Tokens int64         `json:"tokens"`
	Calls  int64         `json:"calls"`
	Time   time.Duration `json:"time"`
}

// Budget holds the default budget of a program and the largest that a program may request.
type Budget struct {
	Default Limits `json:"default"`
	Maximum Limits `json:"maximum"`
}

// Objective holds the relative weights of the scheduling objectives; only their ratios matter.
type Objective struct {
	ProgramLatency     float64 `json:"program_latency"`
	WastedCache        float64 `json:"wasted_cache"`
	RefusalsWithinRate float64 `json:"refusals_within_rate"`
	WorstServedAccount float64 `json:"worst_served_account"`
}

// Defaults of optional settings.
const (
	DefaultRouteTimeout  = 30 * time.Second
	DefaultRouteMaxBody  = 1 << 20
	DefaultContextTokens = 32 << 10
)

func defaultBudget() Budget {
	return Budget{
		Default: Limits{Tokens: 200_000, Calls: 100, Time: time.Hour},
		Maximum: Limits{Tokens: 2_000_000, Calls: 1000, Time: 24 * time.Hour},
	}
}

// CanonicalJSON returns a canonical encoding: documents that differ only in layout or in the order of lists where order
// has no meaning have the same encoding.
func (d *Document) CanonicalJSON() []byte {
	b, err := json.Marshal(d)
	if err != nil {
		panic(err) // Can't fail: all fields are plain values, and numbers are validated to be finite.
	}
	return b
}

// Digest returns the hex SHA-256 of CanonicalJSON.
func (d *Document) Digest() string {
	sum := sha256.Sum256(d.CanonicalJSON())
	return hex.EncodeToString(sum[:])
}

// Account returns the named client account.
func (d *Document) Account(name string) (Account, bool) {
	for _, a := range d.Accounts {
		if a.Name == name {
			return a, true
		}
	}
	return Account{}, false
}

// Model returns the named model.
func (d *Document) Model(name string) (Model, bool) {
	for _, m := range d.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service returns the named service.
func (d *Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Allows reports whether the named account may use the route. An open route allows every account.
func (r Route) Allows(account string) bool {
	return r.Open || len(r.Accounts) == 0 || slices.Contains(r.Accounts, account)
}

// Allows reports whether the named account may call the model.
func (m Model) Allows(account string) bool {
	return len(m.Accounts) == 0 || slices.Contains(m.Accounts, account)
}

// Matches reports whether the route matches a request with the method and path.
func (r Route) Matches(method, path string) bool {
	if r.Method != "*" && r.Method != method {
		return false
	}
	want, got := strings.Split(r.Path, "/"), strings.Split(path, "/")
	if slices.Contains(got, "..") || slices.Contains(got, ".") {
		return false // A backend server might resolve dot segments to a path of another route.
	}
	for i, seg := range want {
		if seg == "*" && i == len(want)-1 {
			return len(got) > i
		}
		if i >= len(got) || (!isParameter(seg) && seg != got[i]) || (isParameter(seg) && got[i] == "") {
			return false
		}
	}
	return len(want) == len(got)
}

func isParameter(seg string) bool {
	return len(seg) > 2 && seg[0] == '{' && seg[len(seg)-1] == '}'
}

// Specificity ranks the routes that match a request; the one with the highest value is used. A literal segment outranks
// a parameter, a parameter outranks "*", and a fixed method breaks ties.
func (r Route) Specificity() int {
	n := 0
	for _, seg := range strings.Split(r.Path, "/") {
		switch {
		case seg == "*":
		case isParameter(seg):
			n += 2
		default:
			n += 3
		}
	}
	n *= 2
	if r.Method != "*" {
		n++
	}
	return n
}

// sort sorts the lists whose order has no meaning.
func (d *Document) sort() {
	slices.Sort(d.DataCentres)
	slices.SortFunc(d.Accounts, func(a, b Account) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Models, func(a, b Model) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	for i := range d.Accounts {
		slices.SortFunc(d.Accounts[i].Keys, func(a, b Key) int { return strings.Compare(a.ID, b.ID) })
	}
	for i := range d.Models {
		sortPools(d.Models[i].Pools)
	}
	for i := range d.Services {
		sortPools(d.Services[i].Pools)
	}
}

func sortPools(ps []Pool) {
	slices.SortFunc(ps, func(a, b Pool) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	for _, p := range ps {
		slices.Sort(p.Backends)
	}
}
