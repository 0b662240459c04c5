// Package workload generates seeded workloads of whole programs: sequences of dependent calls with think times,
// sub-agents and growing conversations.
package workload

import (
	"bytes"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Profile describes a deployment and the load on it. Times and rates are in engine time; TimeScale converts them to
// clock time.
type Profile struct {
	Name string `toml:"name"`
	// TimeScale is the number of seconds of engine time per second of clock time.
	TimeScale float64 `toml:"scale"`
	// Roaming is the fraction of calls that are sent to an instance in a random data centre, instead of the program's.
	Roaming     float64        `toml:"roaming"`
	DataCentres []DataCentre   `toml:"data_centre"`
	Engine      Engine         `toml:"engine"`
	Shapes      []ProgramShape `toml:"shape"`
	Accounts    []Account      `toml:"account"`
	Objective   Objective      `toml:"objective"`
}

// DataCentre holds the number of processes of each kind in one data centre.
type DataCentre struct {
	Name      string `toml:"name"`
	Instances int    `toml:"instances"`
	Engines   int    `toml:"engines"`
	Services  int    `toml:"services"`
}

// Engine describes the fake model engines. All have the same parameters.
type Engine struct {
	// PrefillRate and DecodeRate are in tokens per second of engine time.
	PrefillRate float64 `toml:"prefill_rate"`
	DecodeRate  float64 `toml:"decode_rate"`
	MaxBatch    int     `toml:"max_batch"`
	// Capacity is the cache memory, in tokens.
	Capacity int `toml:"capacity"`
}

// ProgramShape describes a kind of program. Token counts and think times are means; values are drawn from exponential
// distributions, those of tokens shifted and truncated (see sampler.tokens).
type ProgramShape struct {
	Name string `toml:"name"`
	// MinTurns and MaxTurns bound the number of turns, which has a uniform distribution.
	MinTurns int `toml:"min_turns"`
	MaxTurns int `toml:"max_turns"`
	// FirstPromptTokens is the number of prompt tokens of the first turn, NewPromptTokens the number that each later
	// turn adds.
	FirstPromptTokens float64  `toml:"first_tokens"`
	NewPromptTokens   float64  `toml:"fresh_tokens"`
	OutputTokens      float64  `toml:"output_tokens"`
	ThinkTime         Duration `toml:"pause"`
	// SubAgentFraction is the fraction of turns that are followed by one or two sub-agents instead of a think time.
	SubAgentFraction float64 `toml:"sub_agents"`
	// ServiceCallFraction is the fraction of turns that are followed by a non-idempotent service call.
	ServiceCallFraction float64 `toml:"effects"`
	// Deadline is the time after a program's start by which it must have finished.
	Deadline Duration `toml:"deadline"`
}

// Account is a client account and its fraction of the load.
type Account struct {
	Name  string `toml:"name"`
	Shape string `toml:"shape"`
	// Share is the account's number of programs relative to those of the others.
	Share  float64 `toml:"share"`
	Weight float64 `toml:"weight"`
	// Headroom is the ratio of the account's rate limit to its mean calls per second.
	Headroom float64 `toml:"headroom"`
	// Burst is the capacity of the account's token bucket, in calls.
	Burst int `toml:"burst"`
}

// Objective holds the weights of the team's scheduling objectives, as in its document.
type Objective struct {
	ProgramLatency     float64 `toml:"program_latency"`
	WastedCache        float64 `toml:"wasted_cache"`
	RefusalsWithinRate float64 `toml:"refusals_within_rate"`
	WorstServedAccount float64 `toml:"worst_served_account"`
}

// LoadProfile reads and validates the profile at path. Unknown keys are errors.
func LoadProfile(path string) (*Profile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "profile")
	}
	p, err := ParseProfile(data)
	return p, errors.Wrapf(err, "%s", path)
}

// ParseProfile decodes and validates a profile.
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
	case p.Name == "" || p.TimeScale <= 0:
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

func (p *Profile) shape(name string) (ProgramShape, bool) {
	for _, s := range p.Shapes {
		if s.Name == name && s.MinTurns >= 1 && s.MaxTurns >= s.MinTurns && s.Deadline > 0 {
			return s, true
		}
	}
	return ProgramShape{}, false
}

// EngineCount returns the number of engines in all data centres.
func (p *Profile) EngineCount() int {
	n := 0
	for _, d := range p.DataCentres {
		n += d.Engines
	}
	return n
}

// clockTime converts engine time to clock time.
func (p *Profile) clockTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / p.TimeScale)
}
