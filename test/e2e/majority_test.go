package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCellWithoutQuorum kills two of the three instances of a data centre. The third one must serve calls that need no
// quorum and refuse the others with not-run without executing them.
func TestCellWithoutQuorum(t *testing.T) {
	runParallel(t)
	is := is.New(t)
	s := startSite(t, []dcSpec{{"giza", 3, 1}}, withAccounts(accountSpec{"big", 300, 600}, accountSpec{"small", 2, 5}))
	s.warmUp()
	last := s.instance("giza-0")
	big, small := s.caller("big"), s.caller("small")
	p, res := big.createProgram(last, map[string]int{"tokens": 50_000, "calls": 20})
	is.Equal(res.status, http.StatusCreated)
	is.True(big.turn(last, &p, "before", false).complete)

	s.instance("giza-1").kill()
	s.instance("giza-2").kill()
	s.await("the loss of quorum", 5*testLease, func() bool { return s.metric(last, "berylpond_standing") == 0 })
	time.Sleep(testLease)

	res = big.chat(last, "hello", 10, true)
	is.True(res.complete) // a call without a program runs on the instance's fallback share of the engines
	res = big.turn(last, &p, "after", false)
	is.Equal(res.reason, "owner_unavailable")
	is.Equal(res.verdict, "not-run")
	res = big.refund(last, "once-1", "till")
	is.Equal(res.reason, "claim_unavailable")
	is.Equal(res.verdict, "not-run")
	is.Equal(s.effectCount("till"), 0)
	res = small.chat(last, "hello", 10, true)
	is.Equal(res.reason, "owner_unavailable") // the account's burst is too small for a reserve at each slot
	is.Equal(res.verdict, "not-run")
}
