package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCellWithoutMajority kills two of three instances of a data centre. The third serves what needs no majority and
// refuses the rest with a true "not run".
func TestCellWithoutMajority(t *testing.T) {
	inParallel(t)
	is := is.New(t)
	s := startSite(t, []dcSpec{{"giza", 3, 1}}, withAccounts(accountDoc{"big", 300, 600}, accountDoc{"small", 2, 5}))
	s.warm()
	last := s.instance("giza-0")
	big, small := s.caller("big"), s.caller("small")
	p, a := big.create(last, map[string]int{"tokens": 50_000, "calls": 20})
	is.Equal(a.status, http.StatusCreated)
	is.True(big.turn(last, &p, "before", false).whole)

	s.instance("giza-1").kill()
	s.instance("giza-2").kill()
	s.await("the end of standing", 5*testLease, func() bool { return s.metric(last, "berylpond_standing") == 0 })
	time.Sleep(testLease)

	a = big.chat(last, "hello", 10, true)
	is.True(a.whole) // a call without a program, by the instance's own share of the engines
	a = big.turn(last, &p, "after", false)
	is.Equal(a.reason, "owner_unavailable")
	is.Equal(a.verdict, "not-run")
	a = big.effect(last, "once-1", "till")
	is.Equal(a.reason, "claim_unavailable")
	is.Equal(a.verdict, "not-run")
	is.Equal(s.effects("till"), 0)
	a = small.chat(last, "hello", 10, true)
	is.Equal(a.reason, "owner_unavailable") // the account's burst is too small for a floor at each slot
	is.Equal(a.verdict, "not-run")
}
