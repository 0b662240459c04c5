package scheduler

import (
	"flag"
	"testing"

	"github.com/berylpond/berylpond/internal/invariant"
)

var (
	ablation   = flag.Bool("ablation", false, "run the ablation of the policy")
	ablationKV = flag.Int64("ablation-kv", 0, "cache size of an engine in the ablation, in tokens; 0 means the default")
)

func TestMain(m *testing.M) {
	flag.Parse()
	invariant.PanicOnViolation(true)
	m.Run()
}
