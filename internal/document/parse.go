package document

import (
	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// MaxBytes is the size of the largest document.
const MaxBytes = 1 << 20

// Parse reads and validates a document. The error is Problems and holds every error that was found.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxBytes {
		return nil, Problems{{Line: 1, Text: "the document is larger than 1 MiB"}}
	}
	var values map[string]any
	if err := toml.Unmarshal(data, &values); err != nil {
		return nil, Problems{syntaxProblem(err)}
	}
	r := &reader{data: data}
	d := readDocument(r.table("", values))
	r.validate(d)
	if err := r.err(); err != nil {
		return nil, err
	}
	d.sort()
	return d, nil
}

// Validate returns Problems if a document breaks a rule, however it was made. Problems have no lines.
func Validate(d *Document) error {
	r := &reader{}
	r.validate(d)
	return r.err()
}

func syntaxProblem(err error) Problem {
	var de *toml.DecodeError
	if !errors.As(err, &de) {
		return Problem{Line: 1, Text: err.Error()}
	}
	line, _ := de.Position()
	path := ""
	for _, k := range de.Key() {
		path = join(path, k)
	}
	return Problem{Line: line, Path: path, Text: de.Error()}
}

func readDocument(t table) *Document {
	d := &Document{Budget: defaultBudget()}
	d.Team = t.text("team", true)
	d.DataCentres = t.texts("data_centres")
	t.tables("account", func(t table) { d.Accounts = append(d.Accounts, readAccount(t)) })
	t.tables("model", func(t table) { d.Models = append(d.Models, readModel(t)) })
	t.tables("service", func(t table) {
		d.Services = append(d.Services, Service{Name: t.text("name", true), Pools: readPools(t)})
	})
	t.tables("route", func(t table) { d.Routes = append(d.Routes, readRoute(t)) })
	t.table("budget", func(t table) {
		t.table("default", func(t table) { readLimits(t, &d.Budget.Default) })
		t.table("maximum", func(t table) { readLimits(t, &d.Budget.Maximum) })
	})
	d.Objective = Objective{ProgramLatency: 1, WastedCache: 1, RefusalsWithinRate: 1, WorstServedAccount: 1}
	t.table("objective", func(t table) { readObjective(t, &d.Objective) })
	t.finish()
	return d
}

func readAccount(t table) Account {
	a := Account{
		Name:   t.text("name", true),
		Rate:   t.rate("rate"),
		Burst:  int(t.count("burst", 1, 1)),
		Weight: t.number("weight", 0, 1),
	}
	t.tables("keys", func(t table) {
		a.Keys = append(a.Keys, Key{ID: t.text("id", true), Salt: t.text("salt", true), Hash: t.text("hash", true)})
	})
	return a
}

func readModel(t table) Model {
	return Model{
		Name:           t.text("name", true),
		Pools:          readPools(t),
		ContextTokens:  int(t.count("context_tokens", 1, DefaultContextTokens)),
		PromptCost:     t.number("prompt_cost", 0, 1),
		CompletionCost: t.number("completion_cost", 0, 1),
		Accounts:       t.texts("accounts"),
	}
}

func readPools(t table) []Pool {
	var pools []Pool
	t.tables("pool", func(t table) {
		pools = append(pools, Pool{
			DataCentre: t.text("data_centre", true),
			Backends:   t.texts("backends"),
			FromList:   t.flag("from_list"),
			Name:       t.text("name", false),
		})
	})
	return pools
}

func readRoute(t table) Route {
	return Route{
		Path:       t.text("path", true),
		Method:     t.text("method", true),
		Service:    t.text("service", true),
		Repeatable: t.flag("repeatable"),
		Open:       t.flag("open"),
		Accounts:   t.texts("accounts"),
		Timeout:    t.duration("timeout", DefaultTimeout),
		MaxBody:    t.size("max_body", DefaultMaxBody),
	}
}

func readLimits(t table, l *Limits) {
	l.Tokens = t.count("tokens", 1, l.Tokens)
	l.Calls = t.count("calls", 1, l.Calls)
	l.Time = t.duration("time", l.Time)
}

func readObjective(t table, o *Objective) {
	o.ProgramLatency = t.number("program_latency", 0, o.ProgramLatency)
	o.WastedCache = t.number("wasted_cache", 0, o.WastedCache)
	o.RefusalsWithinRate = t.number("refusals_within_rate", 0, o.RefusalsWithinRate)
	o.WorstServedAccount = t.number("worst_served_account", 0, o.WorstServedAccount)
}
