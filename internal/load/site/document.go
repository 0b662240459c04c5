package site

import (
	"fmt"
	"strings"

	"github.com/berylpond/berylpond/internal/document"
	"github.com/berylpond/berylpond/internal/load/workload"
)

// Model is the name of the model of a started site; EffectPath is the route of its non-idempotent service.
const (
	Model      = "small"
	EffectPath = "/effects/refund"
)

// renderDocument returns the team's document and generates a key for each account.
func (s *Site) renderDocument(p *workload.Profile, limits []workload.Limit) ([]byte, error) {
	var b strings.Builder
	var names []string
	for _, d := range p.DataCentres {
		names = append(names, fmt.Sprintf("%q", d.Name))
	}
	fmt.Fprintf(&b, "team = %q\ndata_centres = [%s]\n", p.Name, strings.Join(names, ", "))
	for _, l := range limits {
		key, k, err := document.NewKey()
		if err != nil {
			return nil, err
		}
		s.Keys[l.Account] = key
		fmt.Fprintf(&b, "[[account]]\nname = %q\nrate = %f\nburst = %d\nweight = %g\nkeys = [{ id = %q, salt = %q, hash = %q }]\n",
			l.Account, l.Rate, l.Burst, l.Weight, k.ID, k.Salt, k.Hash)
	}
	b.WriteString("[[model]]\nname = \"" + Model + "\"\ncontext_tokens = 1000000\n")
	writePools(&b, "model", p, s.Engines)
	b.WriteString("[[service]]\nname = \"effects\"\n")
	writePools(&b, "service", p, s.Services)
	b.WriteString("[[route]]\npath = \"/effects/{name}\"\nmethod = \"POST\"\nservice = \"effects\"\nrepeatable = false\ntimeout = \"5s\"\n")
	b.WriteString("[budget.default]\ntokens = 10000000\ncalls = 1000\ntime = \"1h\"\n")
	b.WriteString("[budget.maximum]\ntokens = 10000000\ncalls = 1000\ntime = \"1h\"\n")
	fmt.Fprintf(&b, "[objective]\nprogram_latency = %g\nwasted_cache = %g\nrefusals_within_rate = %g\nworst_served_account = %g\n",
		p.Objective.ProgramLatency, p.Objective.WastedCache, p.Objective.RefusalsWithinRate, p.Objective.WorstServedAccount)
	return []byte(b.String()), nil
}

func writePools(b *strings.Builder, kind string, p *workload.Profile, fakes []*Fake) {
	for _, d := range p.DataCentres {
		fmt.Fprintf(b, "[[%s.pool]]\ndata_centre = %q\nbackends = [", kind, d.Name)
		for _, f := range fakes {
			if f.DataCentre == d.Name {
				fmt.Fprintf(b, "%q, ", f.Address)
			}
		}
		b.WriteString("]\n")
	}
}
