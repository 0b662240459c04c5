package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRollingRestart restarts every instance of a cell, one after the other, under a program and a service that must
// not be repeated. A planned stop hands over parts, claims and turns, so that nothing is refused or forgotten.
func TestRollingRestart(t *testing.T) {
	inParallel(t)
	is := is.New(t)
	s := startSite(t, []dcSpec{{"giza", 3, 1}})
	s.await("claims to be granted", 2*testWindow, func() bool { return s.caller("small").effect(s.instances[0], "first", "first").status == http.StatusOK })
	c := s.caller("big")
	p, a := c.create(s.instances[0], map[string]int{"tokens": 50_000, "calls": 50})
	is.Equal(a.status, http.StatusCreated)
	for i, in := range s.instances {
		entry := s.instances[(i+1)%len(s.instances)]
		key := "effect-" + in.id
		is.Equal(c.effect(entry, key, key).status, http.StatusOK)
		in.stop(15 * time.Second)
		is.True(c.turn(entry, &p, "while "+in.id+" is down", true).whole)
		s.startInstance(in)
		s.awaitReady(in)
		is.True(c.turn(in, &p, "after "+in.id+" is back", true).whole)
		again := c.effect(in, key, key)
		is.Equal(again.status, http.StatusOK)
		is.Equal(again.header.Get("Berylpond-Replayed"), "true")
		is.Equal(s.effects(key), 1)
	}
	got := c.do(s.instances[0], http.MethodGet, "/v1/programs/"+p.id, nil, nil)
	is.Equal(got.status, http.StatusOK)
}
