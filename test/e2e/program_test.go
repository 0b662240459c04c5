package e2e

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// withdrawalTimeout is the target for the time until every connected instance rejects a withdrawn key.
const withdrawalTimeout = 5 * time.Second

// TestProgramAcrossDataCentres serves a program through separate processes in two data centres.
func TestProgramAcrossDataCentres(t *testing.T) {
	runParallel(t)
	is := is.New(t)
	s := startSite(t, []dcSpec{{"giza", 2, 2}, {"nasr", 1, 1}})
	c := s.caller("big")
	giza0, giza1, nasr := s.instance("giza-0"), s.instance("giza-1"), s.instance("nasr-0")

	p, res := c.createProgram(giza0, map[string]int{"tokens": 50_000, "calls": 20})
	is.Equal(res.status, http.StatusCreated)

	// Turns through another instance and another data centre continue the stored conversation.
	first := c.turn(giza1, &p, "one", true)
	is.True(first.complete)
	is.True(strings.Contains(first.text, "/1]")) // the engine received one message
	second := c.turn(nasr, &p, "two", true)
	is.True(second.complete)
	is.True(strings.Contains(second.text, "/3]")) // two user messages and one response
	third := c.turn(giza0, &p, "three", false)
	is.True(third.complete)
	is.True(strings.Contains(third.text, "/5]"))

	// A call on an old head is refused and does not run.
	old := programRef{id: p.id, head: second.head}
	stale := c.turn(giza0, &old, "other", false)
	is.Equal(stale.reason, "wrong_head")
	is.Equal(stale.verdict, "not-run")

	// Two equal requests through two data centres have one effect at a service that must not be repeated.
	e1 := c.refund(giza0, "refund-1", "till-7")
	e2 := c.refund(nasr, "refund-1", "till-7")
	is.Equal(e1.status, http.StatusOK)
	is.Equal(e2.status, http.StatusOK)
	is.Equal(e2.header.Get("Berylpond-Replayed"), "true")
	is.Equal(s.effectCount("till-7"), 1)

	// No backend server received a key.
	for _, f := range s.backendServers() {
		is.Equal(s.leakCount(f), 0)
	}

	// A key withdrawn at one instance is rejected by all within seconds.
	s.withdraw(giza0, "big")
	s.await("rejection of the key at every instance", withdrawalTimeout, func() bool {
		for _, in := range s.instances {
			if c.do(in, http.MethodGet, "/v1/models", nil, nil).status != http.StatusUnauthorized {
				return false
			}
		}
		return true
	})
}
