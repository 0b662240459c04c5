package turnlog

import (
	"testing"
	"time"

	"github.com/matryer/is"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

var bothAccounts = []string{"a", "b"}

func beginOf(account, turn, previous string, budget int64) *turnv1.BeginRequest {
	r := begin(turn, previous, budget, 100)
	r.Account = account
	return r
}

func endOf(account, turn, previous, input string, tokens int64) *turnv1.EndRequest {
	r := end(turn, previous, input, account+"-out\n", tokens)
	r.Account = account
	return r
}

// Guards against the programs of two accounts being taken for one where both chose the same ids: at the owner that runs them, and at
// the next one, which reads the records of both.
func TestAccountsMayUseTheSameProgramIDs(t *testing.T) {
	for name, takeOver := range map[string]bool{"at once": false, "after a takeover": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFixture(t)
			o := s.owner("one", stubFinder{})
			for _, account := range bothAccounts {
				mustBegin(t, o, beginOf(account, account+"1", "", 1000))
				mustEnd(t, o, endOf(account, account+"1", "", account+"-in1 ", 10))
			}
			if takeOver {
				o = s.owner("two", stubFinder{})
			}
			for _, account := range bothAccounts {
				history := string(mustBegin(t, o, beginOf(account, account+"2", account+"1", 1000)).History)
				is.Equal(history, account+"-in1 "+account+"-out\n")
			}
		})
	}
}

// Guards against whole turns being lost behind a program of another account that had the same id and has expired: the running owner
// has forgotten that program, and the next one reads its records again.
func TestTurnsOutliveAnExpiredProgramOfAnotherAccount(t *testing.T) {
	is := is.New(t)
	s, c := newFixture(t), &clock{}
	one := s.ownerAt("one", c)
	mustBegin(t, one, beginOf("a", "t1", "", 1000))
	mustEnd(t, one, endOf("a", "t1", "", "in ", 10))
	c.moveTo(2 * time.Minute)
	one.partition(0).trim(t.Context())
	mustBegin(t, one, beginOf("b", "u1", "", 1000))
	mustEnd(t, one, endOf("b", "u1", "", "in ", 10))
	two := s.ownerAt("two", c)
	is.Equal(string(mustBegin(t, two, beginOf("b", "u2", "u1", 1000)).History), "in b-out\n")
}

// Guards against an account that spends the budget of another one's program, or gets its budget.
func TestBudgetsOfAccountsWithTheSameProgramIDAreApart(t *testing.T) {
	for name, next := range map[string]func(s *fixture, o *Owner) *Owner{
		"at once":          func(_ *fixture, o *Owner) *Owner { return o },
		"after a takeover": func(s *fixture, _ *Owner) *Owner { return s.owner("two", stubFinder{}) },
		"after a release": func(s *fixture, o *Owner) *Owner {
			o.Assign(nil)
			return s.owner("two", stubFinder{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFixture(t)
			o := s.owner("one", stubFinder{})
			o.partition(0).mu.Lock()
			o.partition(0).state.advanceGrants = true
			o.partition(0).mu.Unlock()
			const budget = 200
			for _, account := range bothAccounts {
				mustBegin(t, o, beginOf(account, account+"1", "", budget))
			}
			mustEnd(t, o, endOf("a", "a1", "", "in ", 100))
			mustEnd(t, o, endOf("b", "b1", "", "in ", 10))
			mustBegin(t, o, beginOf("a", "a2", "a1", budget))
			mustEnd(t, o, endOf("a", "a2", "a1", "in ", 100))
			o = next(s, o)
			resp, err := o.Begin(t.Context(), beginOf("a", "a3", "a2", budget))
			is.NoErr(err)
			is.Equal(resp.Outcome, turnv1.Outcome_OUTCOME_BUDGET_SPENT)
			is.Equal(mustBegin(t, o, beginOf("b", "b2", "b1", budget)).Charged, int64(110))
		})
	}
}

// Guards against turns of two accounts being taken for one where both chose the same ids for programs and turns: at the owner that
// runs them, and at the next one, which reads the records of both.
func TestAccountsMayUseTheSameTurnIDs(t *testing.T) {
	for name, takeOver := range map[string]bool{"at once": false, "after a takeover": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFixture(t)
			o := s.owner("one", stubFinder{})
			for _, turn := range []string{"t1", "t2"} {
				previous := map[string]string{"t2": "t1"}[turn]
				for _, account := range bothAccounts {
					mustBegin(t, o, beginOf(account, turn, previous, 1000))
					mustEnd(t, o, endOf(account, turn, previous, account+"-"+turn+" ", 10))
				}
			}
			if takeOver {
				o = s.owner("two", stubFinder{})
			}
			for _, account := range bothAccounts {
				history := account + "-t1 " + account + "-out\n" + account + "-t2 " + account + "-out\n"
				is.Equal(string(mustBegin(t, o, beginOf(account, "t3", "t2", 1000)).History), history)
				found, err := o.Find(t.Context(), &turnv1.FindRequest{Account: account, Turn: "t2"})
				is.NoErr(err)
				is.Equal(string(found.History), history)
			}
		})
	}
}

// Guards against a turn that is acknowledged and not recorded since another account has one of the same id.
func TestTurnIsRecordedThoughAnotherAccountHasOneOfItsID(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	o := s.owner("one", stubFinder{})
	for _, account := range bothAccounts {
		b, e := beginOf(account, "t1", "", 1000), endOf(account, "t1", "", account+" ", 10)
		b.Program, e.Program = "of "+account, "of "+account
		mustBegin(t, o, b)
		mustEnd(t, o, e)
	}
	next := s.owner("two", stubFinder{})
	for _, account := range bothAccounts {
		found, err := next.Find(t.Context(), &turnv1.FindRequest{Account: account, Turn: "t1"})
		is.NoErr(err)
		is.Equal(string(found.History), account+" "+account+"-out\n")
	}
}

// Guards against the sessions of two accounts with the same ids being taken for one.
func TestSessionsOfAccountsAreApart(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	o := s.owner("one", stubFinder{})
	for _, account := range bothAccounts {
		mustBegin(t, o, beginOf(account, account+"1", "", 1000))
		e := endOf(account, account+"1", "", "in ", 10)
		e.Session, e.Backend = "s", "server of "+account
		mustEnd(t, o, e)
	}
	for _, account := range bothAccounts {
		b := beginOf(account, account+"2", "", 1000)
		b.Session = "s"
		is.Equal(mustBegin(t, o, b).Backend, "server of "+account)
	}
}
