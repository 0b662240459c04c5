package scheduler

import (
	"flag"
	"testing"

	"github.com/berylpond/berylpond/internal/invariant"
)

var ablation = flag.Bool("ablation", false, "run the ablations of the policy")

func TestMain(m *testing.M) {
	flag.Parse()
	invariant.PanicOnViolation(true)
	m.Run()
}
