package document

import (
	"encoding/hex"
	"fmt"
	"net"
	"slices"
	"strings"

	"github.com/berylpond/berylpond/internal/tomlfile"
)

var methods = []string{"*", "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

// validator adds semantic problems of a document to the problems that the reader found.
type validator struct{ *tomlfile.Reader }

// validate checks everything beyond the syntax of single values: references, duplicates and contradictions.
func (v validator) validate(d *Document) {
	v.checkName("team", d.Team)
	if len(d.DataCentres) == 0 {
		v.AddProblem("data_centres", "at least one data centre is needed")
	}
	accounts := nameChecker{v: v, list: "account", seen: map[string]bool{}}
	keyIDs := map[string]bool{}
	for i, a := range d.Accounts {
		accounts.add(i, a.Name)
		v.checkKeys(fmt.Sprintf("account[%d]", i), a.Keys, keyIDs)
	}
	models := nameChecker{v: v, list: "model", seen: map[string]bool{}}
	for i, m := range d.Models {
		path := fmt.Sprintf("model[%d]", i)
		models.add(i, m.Name)
		v.checkPools(path, m.Pools, d.DataCentres)
		v.checkAccounts(path, m.Accounts, accounts)
	}
	services := nameChecker{v: v, list: "service", seen: map[string]bool{}}
	for i, s := range d.Services {
		services.add(i, s.Name)
		v.checkPools(fmt.Sprintf("service[%d]", i), s.Pools, d.DataCentres)
	}
	v.checkRoutes(d.Routes, services, accounts)
	v.checkBudget(d.Budget)
}

// nameChecker checks the names in a list of tables and detects duplicates.
type nameChecker struct {
	v    validator
	list string
	seen map[string]bool
}

func (n nameChecker) add(i int, name string) {
	path := fmt.Sprintf("%s[%d].name", n.list, i)
	n.v.checkName(path, name)
	if name != "" && n.seen[name] {
		n.v.AddProblem(path, "%q stands twice", name)
	}
	n.seen[name] = true
}

// checkName rejects characters that are not safe in metric labels, paths and identifiers. Empty names were already
// reported by the reader.
func (v validator) checkName(path, name string) {
	for _, c := range name {
		if c <= ' ' || c == 0x7f || strings.ContainsRune(`/"\,|`, c) {
			v.AddProblem(path, "%q must not hold spaces or any of / \" \\ , |", name)
			return
		}
	}
}

func (v validator) checkKeys(parentPath string, keys []Key, seen map[string]bool) {
	for i, k := range keys {
		path := fmt.Sprintf("%s.keys[%d]", parentPath, i)
		if seen[k.ID] {
			v.AddProblem(path+".id", "the key's id stands twice")
		}
		seen[k.ID] = true
		if strings.Contains(k.ID, "_") {
			v.AddProblem(path+".id", `must not hold "_"`)
		}
		if b, err := hex.DecodeString(k.Salt); err != nil || len(b) < saltBytes {
			v.AddProblem(path+".salt", "must hold at least %d hex digits", 2*saltBytes)
		}
		if text := checkHash(k.Hash); text != "" {
			v.AddProblem(path+".hash", "%s", text)
		}
	}
}

func (v validator) checkPools(parentPath string, pools []Pool, dcs []string) {
	if len(pools) == 0 {
		v.AddProblem(parentPath, "at least one [[pool]] is needed")
	}
	for i, p := range pools {
		path := fmt.Sprintf("%s.pool[%d]", parentPath, i)
		if p.DataCentre != "" && !slices.Contains(dcs, p.DataCentre) {
			v.AddProblem(path+".data_centre", "%q is not in data_centres", p.DataCentre)
		}
		if slices.ContainsFunc(pools[:i], func(o Pool) bool { return o.DataCentre == p.DataCentre }) {
			v.AddProblem(path+".data_centre", "%q has a pool already", p.DataCentre)
		}
		switch {
		case p.FromList && len(p.Backends) > 0:
			v.AddProblem(path, "backends and from_list exclude each other")
		case p.FromList && p.Name == "":
			v.AddProblem(path, "from_list needs the pool's name in the platform's instance list")
		case !p.FromList && len(p.Backends) == 0:
			v.AddProblem(path, "either backends or from_list is needed")
		}
		for j, b := range p.Backends {
			if host, port, err := net.SplitHostPort(b); err != nil || host == "" || port == "" {
				v.AddProblem(fmt.Sprintf("%s.backends[%d]", path, j), "%q must be host:port", b)
			}
		}
	}
}

func (v validator) checkAccounts(parentPath string, list []string, accounts nameChecker) {
	for i, a := range list {
		if !accounts.seen[a] {
			v.AddProblem(fmt.Sprintf("%s.accounts[%d]", parentPath, i), "there is no account %q", a)
		}
	}
}

func (v validator) checkRoutes(routes []Route, services, accounts nameChecker) {
	seen := map[string]bool{}
	for i, rt := range routes {
		path := fmt.Sprintf("route[%d]", i)
		if rt.Path != "" && !strings.HasPrefix(rt.Path, "/") {
			v.AddProblem(path+".path", "%q must start with /", rt.Path)
		}
		if strings.Contains(strings.TrimSuffix(rt.Path, "/*"), "*") {
			v.AddProblem(path+".path", "* may only stand as the last segment")
		}
		if rt.Method != "" && !slices.Contains(methods, rt.Method) {
			v.AddProblem(path+".method", "%q is not one of %s", rt.Method, strings.Join(methods, ", "))
		}
		if rt.Service != "" && !services.seen[rt.Service] {
			v.AddProblem(path+".service", "there is no service %q", rt.Service)
		}
		if rt.Open && len(rt.Accounts) > 0 {
			v.AddProblem(path+".accounts", "an open route lets all in; it has no list of accounts")
		}
		if id := rt.Method + " " + rt.Path; seen[id] {
			v.AddProblem(path+".path", "%s stands twice", id)
		} else {
			seen[id] = true
		}
		v.checkAccounts(path, rt.Accounts, accounts)
	}
}

func (v validator) checkBudget(b Budget) {
	if b.Default.Tokens > b.Maximum.Tokens {
		v.AddProblem("budget.default.tokens", "is above the maximum, %d", b.Maximum.Tokens)
	}
	if b.Default.Calls > b.Maximum.Calls {
		v.AddProblem("budget.default.calls", "is above the maximum, %d", b.Maximum.Calls)
	}
	if b.Default.Time > b.Maximum.Time {
		v.AddProblem("budget.default.time", "is above the maximum, %v", b.Maximum.Time)
	}
}
