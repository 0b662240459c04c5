package e2e

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// withdrawnWithin is the target for a withdrawn key: refused at every connected instance.
const withdrawnWithin = 5 * time.Second

// TestWholePath serves a program through separate processes in two data centres.
func TestWholePath(t *testing.T) {
	inParallel(t)
	is := is.New(t)
	s := startSite(t, []dcSpec{{"giza", 2, 2}, {"nasr", 1, 1}})
	c := s.caller("big")
	giza0, giza1, nasr := s.instance("giza-0"), s.instance("giza-1"), s.instance("nasr-0")

	p, a := c.create(giza0, map[string]int{"tokens": 50_000, "calls": 20})
	is.Equal(a.status, http.StatusCreated)

	// The conversation goes on through another instance and from another data centre, and is remembered.
	first := c.turn(giza1, &p, "one", true)
	is.True(first.whole)
	is.True(strings.Contains(first.text, "/1]")) // the engine saw one message
	second := c.turn(nasr, &p, "two", true)
	is.True(second.whole)
	is.True(strings.Contains(second.text, "/3]")) // two messages of the user and one answer
	third := c.turn(giza0, &p, "three", false)
	is.True(third.whole)
	is.True(strings.Contains(third.text, "/5]"))

	// A call on an old head is refused and loses nothing.
	old := programRef{id: p.id, head: second.head}
	stale := c.turn(giza0, &old, "other", false)
	is.Equal(stale.reason, "wrong_head")
	is.Equal(stale.verdict, "not-run")

	// A service that must not be repeated has one effect for two requests through two data centres.
	e1 := c.effect(giza0, "refund-1", "till-7")
	e2 := c.effect(nasr, "refund-1", "till-7")
	is.Equal(e1.status, http.StatusOK)
	is.Equal(e2.status, http.StatusOK)
	is.Equal(e2.header.Get("Berylpond-Replayed"), "true")
	is.Equal(s.effects("till-7"), 1)

	// No backend server saw a key.
	for _, f := range s.backendServers() {
		is.Equal(s.keysSeen(f), 0)
	}

	// A key withdrawn at one instance is refused at all within seconds.
	s.withdraw(giza0, "big")
	s.await("the key to be refused everywhere", withdrawnWithin, func() bool {
		for _, in := range s.instances {
			if c.do(in, http.MethodGet, "/v1/models", nil, nil).status != http.StatusUnauthorized {
				return false
			}
		}
		return true
	})
}
