package scheduler

import (
	"flag"
	"testing"

	"github.com/berylpond/berylpond/internal/invariant"
)

var (
	ablation   = flag.Bool("ablation", false, "run the ablations of the policy")
	ablationKV = flag.Int64("ablation-kv", 0, "tokens of cache of an engine in the ablations; 0 means the default")
)

func TestMain(m *testing.M) {
	flag.Parse()
	invariant.PanicOnViolation(true)
	m.Run()
}
