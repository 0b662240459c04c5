package config

import (
	"cmp"
	"net/http"
	"slices"
	"strings"

	"github.com/berylpond/berylpond/internal/document"
	"github.com/berylpond/berylpond/internal/verdict"
)

// Account is a client account together with the key with which a caller authenticated.
type Account struct {
	Team string
	Name string
	// KeyID is the public part of the caller's key; empty in lists of accounts.
	KeyID string
	// Rate is in requests per second and Burst in requests. Both apply to the fleet as a whole.
	Rate   float64
	Burst  int
	Weight float64
}

// Snapshot is the configuration in force at one point in time. It is immutable and safe for concurrent use.
type Snapshot struct {
	teams   map[string]*teamView
	names   []string
	drained map[string]bool
}

// teamView is the configuration of one team in a snapshot. Consecutive snapshots share it while the team doesn't
// change.
type teamView struct {
	version   uint64
	doc       *document.Document
	keys      map[string]keyOwner
	withdrawn map[string]bool
	// routes are ordered by decreasing specificity, so that the first match wins.
	routes []document.Route
}

type keyOwner struct {
	account *document.Account
	key     document.Key
}

func newTeamView(version uint64, doc *document.Document, withdrawn map[string]bool) *teamView {
	v := &teamView{version: version, doc: doc, keys: map[string]keyOwner{}, withdrawn: withdrawn}
	for i := range doc.Accounts {
		for _, k := range doc.Accounts[i].Keys {
			v.keys[k.ID] = keyOwner{account: &doc.Accounts[i], key: k}
		}
	}
	v.routes = slices.Clone(doc.Routes)
	slices.SortStableFunc(v.routes, func(a, b document.Route) int { return cmp.Compare(b.Specificity(), a.Specificity()) })
	return v
}

// withWithdrawn returns a copy of the view with another set of withdrawn keys.
func (v *teamView) withWithdrawn(withdrawn map[string]bool) *teamView {
	c := *v
	c.withdrawn = withdrawn
	return &c
}

// Authenticate returns the client account to which the key belongs. bearer is the key itself or the value of an
// Authorization header.
func (s *Snapshot) Authenticate(bearer string) (Account, *verdict.Error) {
	key := bearerKey(bearer)
	id, ok := document.KeyID(key)
	if !ok {
		return Account{}, badKey()
	}
	withdrawn := false
	for _, name := range s.names {
		v := s.teams[name]
		if v.withdrawn[id] {
			withdrawn = true
			continue
		}
		owner, ok := v.keys[id]
		if ok && document.VerifyKey(key, owner.key) {
			return accountOf(name, owner.account, id), nil
		}
	}
	if withdrawn {
		return Account{}, verdict.Refuse(http.StatusUnauthorized, verdict.ReasonKeyWithdrawn, 0, "the key was withdrawn")
	}
	return Account{}, badKey()
}

const bearerScheme = "bearer "

func bearerKey(bearer string) string {
	if len(bearer) >= len(bearerScheme) && strings.EqualFold(bearer[:len(bearerScheme)], bearerScheme) {
		bearer = bearer[len(bearerScheme):]
	}
	return strings.TrimSpace(bearer)
}

func badKey() *verdict.Error {
	return verdict.Refuse(http.StatusUnauthorized, verdict.ReasonBadKey, 0, "the key is not known")
}

func accountOf(team string, a *document.Account, keyID string) Account {
	return Account{Team: team, Name: a.Name, KeyID: keyID, Rate: a.Rate, Burst: a.Burst, Weight: a.Weight}
}

// IsKeyValid reports whether the key is in the team's document and not withdrawn. It is checked for each turn and for
// running streams.
func (s *Snapshot) IsKeyValid(team, keyID string) bool {
	v := s.teams[team]
	if v == nil || v.withdrawn[keyID] {
		return false
	}
	_, ok := v.keys[keyID]
	return ok
}

// Model returns a model of a team.
func (s *Snapshot) Model(team, name string) (document.Model, bool) {
	v := s.teams[team]
	if v == nil {
		return document.Model{}, false
	}
	return v.doc.Model(name)
}

// Models returns the models of a team, ordered by name. The caller must not change the slice.
func (s *Snapshot) Models(team string) []document.Model {
	v := s.teams[team]
	if v == nil {
		return nil
	}
	return v.doc.Models
}

// Route returns the most specific route of any team that matches the method and path. Ties go to the team whose name
// sorts first.
func (s *Snapshot) Route(method, path string) (team string, r document.Route, ok bool) {
	for _, name := range s.names {
		for _, candidate := range s.teams[name].routes {
			if ok && candidate.Specificity() <= r.Specificity() {
				break
			}
			if candidate.Matches(method, path) {
				team, r, ok = name, candidate, true
				break
			}
		}
	}
	return team, r, ok
}

// TeamRoute returns the most specific route of one team that matches the method and path.
func (s *Snapshot) TeamRoute(team, method, path string) (document.Route, bool) {
	v := s.teams[team]
	if v == nil {
		return document.Route{}, false
	}
	for _, r := range v.routes {
		if r.Matches(method, path) {
			return r, true
		}
	}
	return document.Route{}, false
}

// IsDrained reports whether an operator has drained the backend server.
func (s *Snapshot) IsDrained(addr string) bool { return s.drained[addr] }

// Version returns the version of a team's document; 0 if there is none.
func (s *Snapshot) Version(team string) uint64 {
	if v := s.teams[team]; v != nil {
		return v.version
	}
	return 0
}

// Teams returns the names of all teams, in order. The caller must not change the slice.
func (s *Snapshot) Teams() []string { return s.names }

// Document returns a team's document; nil if there is none.
func (s *Snapshot) Document(team string) *document.Document {
	if v := s.teams[team]; v != nil {
		return v.doc
	}
	return nil
}

// Accounts returns the client accounts of all teams, ordered by team and name, without keys.
func (s *Snapshot) Accounts() []Account {
	var out []Account
	for _, name := range s.names {
		doc := s.teams[name].doc
		for i := range doc.Accounts {
			out = append(out, accountOf(name, &doc.Accounts[i], ""))
		}
	}
	return out
}
