package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/backendlimit"
	"github.com/berylpond/berylpond/internal/ratelimit"
)

// Load pattern: the warm servers of a service are at the limits that they announce, and its cold ones have no token either.
func TestRequestWaitsForAWarmServerBehindAColdOne(t *testing.T) {
	is := is.New(t)
	limitOf := func(id string, cold bool) ratelimit.ServerLimit {
		return ratelimit.ServerLimit{Server: backendlimit.Server{ID: id}, RequestsPerSecond: 20, Cold: cold}
	}
	cold, warm := limitOf("x", true), limitOf("y", false)
	is.Equal(awaitedLimit([]ratelimit.ServerLimit{cold, warm}), warm)
	is.Equal(awaitedLimit([]ratelimit.ServerLimit{warm, cold}), warm)
	is.Equal(awaitedLimit([]ratelimit.ServerLimit{cold}), cold) // is refused
}
