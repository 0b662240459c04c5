package workload

import (
	"math"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testProfile = `
name = "test"
scale = 2.0
[[data_centre]]
name = "a"
instances = 1
engines = 3
services = 1
[[data_centre]]
name = "b"
instances = 1
engines = 1
services = 1
[engine]
prefill_rate = 1000
decode_rate = 100
max_batch = 4
capacity = 10000
[[shape]]
name = "s"
min_turns = 2
max_turns = 4
first_tokens = 100
fresh_tokens = 50
output_tokens = 20
pause = "200ms"
sub_agents = 0.3
effects = 0.2
deadline = "10s"
[[account]]
name = "big"
shape = "s"
share = 3
weight = 1
headroom = 2
burst = 10
[[account]]
name = "small"
shape = "s"
share = 1
weight = 1
headroom = 2
burst = 5
`

func parsed(t *testing.T) *Profile {
	t.Helper()
	p, err := ParseProfile([]byte(testProfile))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestGenerateIsDeterministic(t *testing.T) {
	is := is.New(t)
	p := parsed(t)
	o := Options{Seed: 7, Duration: 30 * time.Second, Load: 0.85, CachedFraction: 1}
	first, second := Generate(p, o), Generate(p, o)
	is.True(len(first.Programs) > 10)
	is.True(reflect.DeepEqual(first, second))
	o.Seed = 8
	other := Generate(p, o)
	is.True(!reflect.DeepEqual(first.Programs, other.Programs))
	is.Equal(first.Limits, other.Limits) // rates do not depend on the seed
}

func TestGenerateMeetsLoad(t *testing.T) {
	is := is.New(t)
	p := parsed(t)
	o := Options{Seed: 1, Duration: 20 * time.Minute, Load: 0.85, CachedFraction: 1}
	w := Generate(p, o)
	var cost, calls float64
	for _, x := range w.Programs {
		cost += x.EngineSeconds(p.Engine, 1)
		if x.Account == "small" {
			calls += float64(x.RequestCount())
		}
	}
	capacity := float64(p.EngineCount()) * p.TimeScale * o.Duration.Seconds()
	is.True(math.Abs(cost/capacity-o.Load) < 0.05)
	is.True(math.Abs(w.LoadCached-o.Load) < 1e-9)
	is.True(w.LoadUncached > w.LoadCached)
	is.True(math.Abs(calls/o.Duration.Seconds()-w.Limits[1].Rate/2) < w.Limits[1].Rate/10) // headroom is 2
}

func TestFloodIsMultipleOfRate(t *testing.T) {
	is := is.New(t)
	p := parsed(t)
	o := Options{Seed: 1, Duration: 10 * time.Minute, Load: 0.5, FloodFactors: map[string]float64{"small": 4}}
	w := Generate(p, o)
	var calls float64
	for _, x := range w.Programs {
		if x.Account == "small" {
			calls += float64(x.RequestCount())
		}
	}
	is.True(math.Abs(calls/o.Duration.Seconds()/w.Limits[1].Rate-4) < 0.4)
}

func TestContentMatchesTokenCount(t *testing.T) {
	is := is.New(t)
	w := Generate(parsed(t), Options{Seed: 3, Duration: time.Minute, Load: 0.5, CachedFraction: 1})
	seen := map[string]bool{}
	for _, x := range w.Programs {
		for i, turn := range x.Turns {
			text := x.Content(i)
			is.True(!seen[text])
			seen[text] = true
			is.True(MessageTokens(text) >= turn.NewPromptTokens)
			is.True(MessageTokens(text) <= turn.NewPromptTokens+minTokens)
		}
	}
}

func TestProfileRejectsUnknownAndMissingKeys(t *testing.T) {
	is := is.New(t)
	_, err := ParseProfile([]byte(testProfile + "\nspeed = 1\n"))
	is.True(err != nil)
	_, err = ParseProfile([]byte("name = \"x\"\nscale = 1.0\n"))
	is.True(err != nil)
}

func TestShippedProfiles(t *testing.T) {
	paths, err := filepath.Glob("../../../examples/profiles/*.toml")
	if err != nil || len(paths) != 2 {
		t.Fatalf("profiles: %v, %v", paths, err)
	}
	for _, path := range paths {
		p, err := LoadProfile(path)
		if err != nil {
			t.Fatal(err)
		}
		instances := 0
		for _, d := range p.DataCentres {
			instances += d.Instances
		}
		if instances < 9 || instances > 11 || p.EngineCount() != 10 || len(p.Accounts) != 8 {
			t.Errorf("%s: %d instances, %d engines, %d accounts", path, instances, p.EngineCount(), len(p.Accounts))
		}
	}
}
