package document

import (
	"github.com/berylpond/berylpond/internal/tomlfile"
)

// MaxDocumentBytes is the maximum size of a document.
const MaxDocumentBytes = 1 << 20

// Problem is one error in a document.
type Problem = tomlfile.Problem

// Problems holds every error of a document, ordered by line.
type Problems = tomlfile.Problems

// Parse parses and validates a document. The error is of type Problems and lists every error that was found.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, Problems{{Line: 1, Message: "the document is larger than 1 MiB"}}
	}
	r, err := tomlfile.NewReader(data)
	if err != nil {
		return nil, err
	}
	var d *Document
	r.Read(func(t tomlfile.Table) { d = readDocument(t) })
	validator{r}.validate(d)
	if err := r.Err(); err != nil {
		return nil, err
	}
	d.sort()
	return d, nil
}

// Validate validates a document that was not necessarily parsed from text. The error is of type Problems, without line
// numbers.
func Validate(d *Document) error {
	r := tomlfile.NewEmptyReader()
	validator{r}.validate(d)
	return r.Err()
}

func readDocument(t tomlfile.Table) *Document {
	d := &Document{Budget: defaultBudget()}
	d.Team = t.String("team", true)
	d.DataCentres = t.Strings("data_centres")
	t.EachTable("account", func(t tomlfile.Table) { d.Accounts = append(d.Accounts, readAccount(t)) })
	t.EachTable("model", func(t tomlfile.Table) { d.Models = append(d.Models, readModel(t)) })
	t.EachTable("service", func(t tomlfile.Table) {
		d.Services = append(d.Services, Service{Name: t.String("name", true), Pools: readPools(t)})
	})
	t.EachTable("route", func(t tomlfile.Table) { d.Routes = append(d.Routes, readRoute(t)) })
	t.Table("budget", func(t tomlfile.Table) {
		t.Table("default", func(t tomlfile.Table) { readLimits(t, &d.Budget.Default) })
		t.Table("maximum", func(t tomlfile.Table) { readLimits(t, &d.Budget.Maximum) })
	})
	d.Objective = Objective{ProgramLatency: 1, WastedCache: 1, RefusalsWithinRate: 1, WorstServedAccount: 1}
	t.Table("objective", func(t tomlfile.Table) { readObjective(t, &d.Objective) })
	return d
}

func readAccount(t tomlfile.Table) Account {
	a := Account{
		Name:   t.String("name", true),
		Rate:   t.Rate("rate"),
		Burst:  int(t.Int("burst", 1, 1)),
		Weight: t.Float("weight", 0, 1),
	}
	t.EachTable("keys", func(t tomlfile.Table) {
		a.Keys = append(a.Keys, Key{ID: t.String("id", true), Salt: t.String("salt", true), Hash: t.String("hash", true)})
	})
	return a
}

func readModel(t tomlfile.Table) Model {
	return Model{
		Name:           t.String("name", true),
		Pools:          readPools(t),
		ContextTokens:  int(t.Int("context_tokens", 1, DefaultContextTokens)),
		PromptCost:     t.Float("prompt_cost", 0, 1),
		CompletionCost: t.Float("completion_cost", 0, 1),
		Accounts:       t.Strings("accounts"),
	}
}

func readPools(t tomlfile.Table) []Pool {
	var pools []Pool
	t.EachTable("pool", func(t tomlfile.Table) {
		pools = append(pools, Pool{
			DataCentre: t.String("data_centre", true),
			Backends:   t.Strings("backends"),
			FromList:   t.Bool("from_list"),
			Name:       t.String("name", false),
			// Not all backend servers check the fencing token of an order.
			ChecksFencing: t.Bool("checks_fence"),
		})
	})
	return pools
}

func readRoute(t tomlfile.Table) Route {
	return Route{
		Path:       t.String("path", true),
		Method:     t.String("method", true),
		Service:    t.String("service", true),
		Repeatable: t.Bool("repeatable"),
		Open:       t.Bool("open"),
		Accounts:   t.Strings("accounts"),
		Timeout:    t.Duration("timeout", DefaultRouteTimeout),
		MaxBody:    t.Size("max_body", DefaultRouteMaxBody),
	}
}

func readLimits(t tomlfile.Table, l *Limits) {
	l.Tokens = t.Int("tokens", 1, l.Tokens)
	l.Calls = t.Int("calls", 1, l.Calls)
	l.Time = t.Duration("time", l.Time)
}

func readObjective(t tomlfile.Table, o *Objective) {
	o.ProgramLatency = t.Float("program_latency", 0, o.ProgramLatency)
	o.WastedCache = t.Float("wasted_cache", 0, o.WastedCache)
	o.RefusalsWithinRate = t.Float("refusals_within_rate", 0, o.RefusalsWithinRate)
	o.WorstServedAccount = t.Float("worst_served_account", 0, o.WorstServedAccount)
}
