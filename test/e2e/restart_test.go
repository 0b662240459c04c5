package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRollingRestart restarts the instances of a cell one after the other during a program's turns and calls of a
// service that must not be repeated. A graceful shutdown hands over shards, claims and turns, so no call may be refused
// and no outcome or turn lost.
func TestRollingRestart(t *testing.T) {
	runParallel(t)
	is := is.New(t)
	s := startSite(t, []dcSpec{{"giza", 3, 1}})
	s.await("the first granted claim", 2*testClaimWindow,
		func() bool { return s.caller("small").refund(s.instances[0], "first", "first").status == http.StatusOK })
	c := s.caller("big")
	p, res := c.createProgram(s.instances[0], map[string]int{"tokens": 50_000, "calls": 50})
	is.Equal(res.status, http.StatusCreated)
	for i, in := range s.instances {
		entry := s.instances[(i+1)%len(s.instances)]
		key := "effect-" + in.id
		is.Equal(c.refund(entry, key, key).status, http.StatusOK)
		in.stop(15 * time.Second)
		is.True(c.turn(entry, &p, "while "+in.id+" is down", true).complete)
		s.startInstance(in)
		s.awaitReady(in)
		is.True(c.turn(in, &p, "after "+in.id+" is back", true).complete)
		replayed := c.refund(in, key, key)
		is.Equal(replayed.status, http.StatusOK)
		is.Equal(replayed.header.Get("Berylpond-Replayed"), "true")
		is.Equal(s.effectCount(key), 1)
	}
	got := c.do(s.instances[0], http.MethodGet, "/v1/programs/"+p.id, nil, nil)
	is.Equal(got.status, http.StatusOK)
}
