package document

import (
	"encoding/hex"
	"fmt"
	"net"
	"slices"
	"strings"
)

var methods = []string{"*", "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

// validate reports what the shape of single values does not show: references, duplicates and contradictions.
func (r *reader) validate(d *Document) {
	r.checkName("team", d.Team)
	if len(d.DataCentres) == 0 {
		r.fail("data_centres", "at least one data centre is needed")
	}
	accounts := names{r: r, list: "account", seen: map[string]bool{}}
	keyIDs := map[string]bool{}
	for i, a := range d.Accounts {
		accounts.add(i, a.Name)
		r.checkKeys(fmt.Sprintf("account[%d]", i), a.Keys, keyIDs)
	}
	models := names{r: r, list: "model", seen: map[string]bool{}}
	for i, m := range d.Models {
		at := fmt.Sprintf("model[%d]", i)
		models.add(i, m.Name)
		r.checkPools(at, m.Pools, d.DataCentres)
		r.checkAccounts(at, m.Accounts, accounts)
	}
	services := names{r: r, list: "service", seen: map[string]bool{}}
	for i, s := range d.Services {
		services.add(i, s.Name)
		r.checkPools(fmt.Sprintf("service[%d]", i), s.Pools, d.DataCentres)
	}
	r.checkRoutes(d.Routes, services, accounts)
	r.checkBudget(d.Budget)
}

// names finds duplicates in a list of named tables.
type names struct {
	r    *reader
	list string
	seen map[string]bool
}

func (n names) add(i int, name string) {
	at := fmt.Sprintf("%s[%d].name", n.list, i)
	n.r.checkName(at, name)
	if name != "" && n.seen[name] {
		n.r.fail(at, "%q stands twice", name)
	}
	n.seen[name] = true
}

// checkName keeps names usable in metric labels, paths and identifiers. Empty ones were reported when read.
func (r *reader) checkName(path, name string) {
	for _, c := range name {
		if c <= ' ' || c == 0x7f || strings.ContainsRune(`/"\,|`, c) {
			r.fail(path, "%q must not hold spaces or any of / \" \\ , |", name)
			return
		}
	}
}

func (r *reader) checkKeys(at string, keys []Key, seen map[string]bool) {
	for i, k := range keys {
		path := fmt.Sprintf("%s.keys[%d]", at, i)
		if seen[k.ID] {
			r.fail(path+".id", "key %q stands twice", k.ID)
		}
		seen[k.ID] = true
		if strings.Contains(k.ID, "_") {
			r.fail(path+".id", `must not hold "_"`)
		}
		if b, err := hex.DecodeString(k.Salt); err != nil || len(b) < saltBytes {
			r.fail(path+".salt", "must hold at least %d hex digits", 2*saltBytes)
		}
		if text := checkHash(k.Hash); text != "" {
			r.fail(path+".hash", "%s", text)
		}
	}
}

func (r *reader) checkPools(at string, pools []Pool, dcs []string) {
	if len(pools) == 0 {
		r.fail(at, "at least one [[pool]] is needed")
	}
	for i, p := range pools {
		path := fmt.Sprintf("%s.pool[%d]", at, i)
		if p.DataCentre != "" && !slices.Contains(dcs, p.DataCentre) {
			r.fail(path+".data_centre", "%q is not in data_centres", p.DataCentre)
		}
		if slices.ContainsFunc(pools[:i], func(o Pool) bool { return o.DataCentre == p.DataCentre }) {
			r.fail(path+".data_centre", "%q has a pool already", p.DataCentre)
		}
		switch {
		case p.FromList && len(p.Backends) > 0:
			r.fail(path, "backends and from_list exclude each other")
		case p.FromList && p.Name == "":
			r.fail(path, "from_list needs the pool's name in the platform's instance list")
		case !p.FromList && len(p.Backends) == 0:
			r.fail(path, "either backends or from_list is needed")
		}
		for j, b := range p.Backends {
			if host, port, err := net.SplitHostPort(b); err != nil || host == "" || port == "" {
				r.fail(fmt.Sprintf("%s.backends[%d]", path, j), "%q must be host:port", b)
			}
		}
	}
}

func (r *reader) checkAccounts(at string, list []string, accounts names) {
	for i, a := range list {
		if !accounts.seen[a] {
			r.fail(fmt.Sprintf("%s.accounts[%d]", at, i), "there is no account %q", a)
		}
	}
}

func (r *reader) checkRoutes(routes []Route, services, accounts names) {
	seen := map[string]bool{}
	for i, rt := range routes {
		at := fmt.Sprintf("route[%d]", i)
		if rt.Path != "" && !strings.HasPrefix(rt.Path, "/") {
			r.fail(at+".path", "%q must start with /", rt.Path)
		}
		if strings.Contains(strings.TrimSuffix(rt.Path, "/*"), "*") {
			r.fail(at+".path", "* may only stand as the last segment")
		}
		if rt.Method != "" && !slices.Contains(methods, rt.Method) {
			r.fail(at+".method", "%q is not one of %s", rt.Method, strings.Join(methods, ", "))
		}
		if rt.Service != "" && !services.seen[rt.Service] {
			r.fail(at+".service", "there is no service %q", rt.Service)
		}
		if rt.Open && len(rt.Accounts) > 0 {
			r.fail(at+".accounts", "an open route lets all in; it has no list of accounts")
		}
		if id := rt.Method + " " + rt.Path; seen[id] {
			r.fail(at+".path", "%s stands twice", id)
		} else {
			seen[id] = true
		}
		r.checkAccounts(at, rt.Accounts, accounts)
	}
}

func (r *reader) checkBudget(b Budget) {
	if b.Default.Tokens > b.Maximum.Tokens {
		r.fail("budget.default.tokens", "is above the maximum, %d", b.Maximum.Tokens)
	}
	if b.Default.Calls > b.Maximum.Calls {
		r.fail("budget.default.calls", "is above the maximum, %d", b.Maximum.Calls)
	}
	if b.Default.Time > b.Maximum.Time {
		r.fail("budget.default.time", "is above the maximum, %v", b.Maximum.Time)
	}
}
