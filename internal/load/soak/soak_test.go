package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/load/report"
	"github.com/berylpond/berylpond/internal/load/workload"
)

func TestWithinRate(t *testing.T) {
	t0 := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	call := func(sent, done time.Duration) report.Call {
		return report.Call{Account: "a", Complete: true, Sent: t0.Add(sent), Done: t0.Add(done)}
	}
	burst := []report.Call{call(0, 1), call(0, 1), call(0, 1)}
	refused := report.Call{Account: "a", Verdict: "not-run", Sent: t0, Done: t0.Add(1)}
	other := report.Call{Account: "b", Complete: true, Sent: t0, Done: t0.Add(1)}
	for name, c := range map[string]struct {
		calls []report.Call
		ok    bool
	}{
		"burst":                  {burst, true},
		"one above the burst":    {append(burst[:3:3], call(0, 1)), false},
		"refused does not count": {append(burst[:3:3], refused), true},
		"other account":          {append(burst[:3:3], other), true},
		"token refilled":         {append(burst[:3:3], call(0, time.Second)), true},
		"two later, one refill":  {append(burst[:3:3], call(time.Second, time.Second), call(time.Second, time.Second)), false},
		"long call began early":  {append(burst[:3:3], call(-time.Second, 1)), true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, ok := withinRate(c.calls, workload.Limit{Account: "a", Rate: 1, Burst: 3})
			is.Equal(ok, c.ok)
		})
	}
}
