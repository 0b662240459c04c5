// Package workload makes seeded workloads of whole programs: chains of dependent calls with pauses for tools, sub-agents
// and growing conversations.
package workload

import (
	"bytes"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Profile describes a deployment and what its callers do. Times and rates are in engine time; Scale turns them into
// clock time.
type Profile struct {
	Name string `toml:"name"`
	// Scale is the engine time that passes in one second of clock time, in seconds.
	Scale float64 `toml:"scale"`
	// Roaming is the share of calls that reach an instance outside their program's data centre.
	Roaming     float64      `toml:"roaming"`
	DataCentres []DataCentre `toml:"data_centre"`
	Engine      Engine       `toml:"engine"`
	Shapes      []Shape      `toml:"shape"`
	Accounts    []Account    `toml:"account"`
	Objective   Objective    `toml:"objective"`
}

// DataCentre holds the numbers of processes of one data centre.
type DataCentre struct {
	Name      string `toml:"name"`
	Instances int    `toml:"instances"`
	Engines   int    `toml:"engines"`
	Services  int    `toml:"services"`
}

// Engine describes the stand-ins of model engines, all alike.
type Engine struct {
	// PrefillRate and DecodeRate are in tokens per second of engine time.
	PrefillRate float64 `toml:"prefill_rate"`
	DecodeRate  float64 `toml:"decode_rate"`
	MaxBatch    int     `toml:"max_batch"`
	// Capacity is in tokens.
	Capacity int `toml:"capacity"`
}

// Shape describes programs of one kind. Numbers of tokens and pauses are means of exponential distributions.
type Shape struct {
	Name string `toml:"name"`
	// MinTurns and MaxTurns bound the number of turns, which is drawn evenly.
	MinTurns int `toml:"min_turns"`
	MaxTurns int `toml:"max_turns"`
	// FirstTokens are the prompt tokens of the first turn, FreshTokens those that each further turn adds.
	FirstTokens  float64  `toml:"first_tokens"`
	FreshTokens  float64  `toml:"fresh_tokens"`
	OutputTokens float64  `toml:"output_tokens"`
	Pause        Duration `toml:"pause"`
	// SubAgents is the share of turns that are followed by one or two sub-agents instead of a pause.
	SubAgents float64 `toml:"sub_agents"`
	// Effects is the share of turns that are followed by a service call that must not be repeated.
	Effects float64 `toml:"effects"`
	// Deadline is the time from a program's start after which its outcome is of no use.
	Deadline Duration `toml:"deadline"`
}

// Account is a client account and its part of the load.
type Account struct {
	Name  string `toml:"name"`
	Shape string `toml:"shape"`
	// Share is the account's part of the programs, relative to the others.
	Share  float64 `toml:"share"`
	Weight float64 `toml:"weight"`
	// Headroom is the account's rate over its mean calls per second.
	Headroom float64 `toml:"headroom"`
	// Burst is the depth of the account's bucket, in calls.
	Burst int `toml:"burst"`
}

// Objective is the team's weighing of aims, as in its document.
type Objective struct {
	ProgramLatency     float64 `toml:"program_latency"`
	WastedCache        float64 `toml:"wasted_cache"`
	RefusalsWithinRate float64 `toml:"refusals_within_rate"`
	WorstServedAccount float64 `toml:"worst_served_account"`
}

// LoadProfile reads and checks the profile at path. Unknown keys are errors.
func LoadProfile(path string) (*Profile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "profile")
	}
	p, err := ParseProfile(data)
	return p, errors.Wrapf(err, "%s", path)
}

// ParseProfile decodes and checks a profile.
func ParseProfile(data []byte) (*Profile, error) {
	p := &Profile{}
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(p); err != nil {
		return nil, err
	}
	return p, p.check()
}

func (p *Profile) check() error {
	switch {
	case p.Name == "" || p.Scale <= 0:
		return errors.New("name and scale must be set")
	case len(p.DataCentres) == 0 || len(p.Accounts) == 0:
		return errors.New("a profile needs data centres and accounts")
	case p.Engine.PrefillRate <= 0 || p.Engine.DecodeRate <= 0 || p.Engine.MaxBatch <= 0 || p.Engine.Capacity <= 0:
		return errors.New("engine: every value must be above 0")
	case p.Roaming < 0 || p.Roaming > 1:
		return errors.New("roaming must be from 0 to 1")
	}
	for _, d := range p.DataCentres {
		if d.Instances < 1 || d.Engines < 1 || d.Services < 1 {
			return errors.Newf("data centre %q needs instances, engines and services", d.Name)
		}
	}
	for _, a := range p.Accounts {
		if _, ok := p.shape(a.Shape); !ok {
			return errors.Newf("account %q: no shape %q", a.Name, a.Shape)
		}
		if a.Share <= 0 || a.Weight <= 0 || a.Headroom <= 0 || a.Burst < 1 {
			return errors.Newf("account %q: share, weight, headroom and burst must be above 0", a.Name)
		}
	}
	return nil
}

func (p *Profile) shape(name string) (Shape, bool) {
	for _, s := range p.Shapes {
		if s.Name == name && s.MinTurns >= 1 && s.MaxTurns >= s.MinTurns && s.Deadline > 0 {
			return s, true
		}
	}
	return Shape{}, false
}

// Engines returns the number of engines of all data centres.
func (p *Profile) Engines() int {
	n := 0
	for _, d := range p.DataCentres {
		n += d.Engines
	}
	return n
}

// clock turns engine time into clock time.
func (p *Profile) clock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / p.Scale)
}
