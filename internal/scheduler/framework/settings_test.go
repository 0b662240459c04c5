package framework

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestObjectiveScalesQueueLimits(t *testing.T) {
	for _, tt := range []struct {
		name      string
		objective Objective
		timeout   time.Duration
		limit     int
	}{
		{"none", Objective{}, 10 * time.Second, 8},
		{"even", Objective{1, 1, 1, 1}, 10 * time.Second, 8},
		{"refusals only", Objective{RefusalsWithinRate: 1}, 20 * time.Second, 16},
		{"no weight on refusals", Objective{ProgramLatency: 1}, 5 * time.Second, 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := Settings{Objective: tt.objective, MaxQueueWait: 10 * time.Second, MaxQueuedPerAccount: 8}
			is.Equal(s.QueueTimeout(), tt.timeout)
			is.Equal(s.QueueLimit(), tt.limit)
		})
	}
}
