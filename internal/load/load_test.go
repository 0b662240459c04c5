package load

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/dev"
	"github.com/berylpond/berylpond/internal/load/workload"
)

// TestRunAgainst runs a workload against a development site in the same process.
func TestRunAgainst(t *testing.T) {
	is := is.New(t)
	site, err := dev.Start(t.Context(), dev.Options{CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0"})
	is.NoErr(err)
	defer site.Close()
	p, err := workload.LoadProfile("../../examples/profiles/nile-current.toml")
	is.NoErr(err)
	p.Accounts = p.Accounts[:1]
	target := Target{
		Callers: [][]string{{site.CallerAddress}}, Keys: map[string]string{"": site.Key}, Model: "small", EffectPath: "/effects/refund",
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	is.NoErr(Warm(ctx, target, []workload.Limit{{Account: p.Accounts[0].Name, Rate: 50, Burst: 20}}))
	r, err := RunOnTarget(ctx, target, p, Options{Options: workload.Options{Seed: 1, Duration: time.Second, Load: 0.2, CachedFraction: 1}})
	is.NoErr(err)
	is.True(r.All.Programs > 0)
	is.Equal(r.All.Failed, 0)
	is.Equal(len(r.Violations), 0)
	is.True(r.All.Calls > 3*r.All.Programs)
	is.True(r.Daemons.CPUCores > 0)
}

func TestParseFault(t *testing.T) {
	is := is.New(t)
	f, err := ParseFault("kill:2@5s+10s")
	is.NoErr(err)
	is.Equal(f, Fault{Kind: FaultKill, Target: 2, StartOffset: 5 * time.Second, Duration: 10 * time.Second})
	for _, bad := range []string{"", "kill", "kill:2", "kill:x@1s+1s", "melt:1@1s+1s", "kill:1@1+1s"} {
		_, err := ParseFault(bad)
		is.True(err != nil)
	}
}
