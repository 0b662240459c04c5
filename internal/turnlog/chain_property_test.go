package turnlog

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

const (
	chainKeep   = 60 * time.Second
	chainBudget = 400
	chainMost   = 100
)

// rapid draws the first ones of a list more often than the others.
var (
	chainSteps  = []string{"begin", "end", "pause", "begin", "take over", "end", "pause", "trim", "release"}
	chainPauses = []time.Duration{31 * time.Second, 58 * time.Second, 10 * time.Second, 2 * time.Second}
	mostly      = rapid.SampledFrom([]bool{true, true, true, false})
)

// chainTurn is a turn as the instance that runs it and its client know it.
type chainTurn struct {
	program      programKey
	id, previous string
	// history is what was said before the turn, text what was said in it.
	history, text string
	foreign       bool
	until, ended  time.Time
}

// chains is a partition's programs, as seen from outside of its owners.
type chains struct {
	fixture *fixture
	clock   *clock
	owner   *Owner
	owners  int
	turns   int
	running []*chainTurn
	whole   []*chainTurn
	// generated is what the turns of a program have generated since it was last forgotten, lastUse when one last ended.
	generated map[programKey]int64
	lastUse   map[programKey]time.Time
	begun     map[programKey]bool
}

func (c *chains) takeOver() {
	c.owners++
	c.owner = c.fixture.ownerAt(fmt.Sprint("owner-", c.owners), c.clock)
}

func (c *chains) runningOf(k programKey) int64 {
	var n int64
	for _, t := range c.running {
		if t.program == k {
			n++
		}
	}
	return n
}

// begin begins a turn, possibly after a whole one of the account that is within its retention.
func (c *chains) begin(t *rapid.T) {
	now := c.clock.now()
	c.turns++
	turn := &chainTurn{
		program: programKey{rapid.SampledFrom(bothAccounts).Draw(t, "account"), rapid.SampledFrom([]string{"p", "q"}).Draw(t, "program")},
		// Each account numbers its turns.
		id: fmt.Sprint("t", c.turns/2),
	}
	var continued []*chainTurn
	for _, w := range c.whole {
		if w.program.account == turn.program.account && now.Sub(w.ended) < chainKeep {
			continued = append(continued, w)
		}
		if w.program.account == turn.program.account && w.id == turn.id {
			return
		}
	}
	for _, r := range c.running {
		if r.program.account == turn.program.account && r.id == turn.id {
			return
		}
	}
	if len(continued) > 0 && mostly.Draw(t, "continues") {
		previous := rapid.SampledFrom(continued).Draw(t, "previous")
		turn.previous, turn.history = previous.id, previous.history+previous.text
	}
	within := rapid.SampledFrom([]time.Duration{100 * time.Second, 7 * time.Second}).Draw(t, "within")
	turn.until = now.Add(within)
	cached := turn.previous != "" && rapid.Bool().Draw(t, "cached")
	resp, err := c.owner.Begin(c.fixture.ctx, &turnv1.BeginRequest{
		Program: turn.program.id, Account: turn.program.account, Turn: turn.id, Previous: turn.previous, Budget: chainBudget, Most: chainMost,
		KeepMs: chainKeep.Milliseconds(), WithinMs: within.Milliseconds(), HistoryKnown: cached,
	})
	switch {
	case err != nil:
		t.Fatal(err)
	case resp.Outcome == turnv1.Outcome_OUTCOME_NO_SUCH_TURN:
		t.Fatalf("turn %s of %v: there is no turn %s", turn.id, turn.program, turn.previous)
	case resp.Outcome == turnv1.Outcome_OUTCOME_BUDGET_SPENT && !c.begun[turn.program]:
		t.Fatalf("turn %s of %v: the budget is spent before its first turn", turn.id, turn.program)
	case resp.Outcome != turnv1.Outcome_OUTCOME_OK:
		return
	case (!cached || resp.Foreign) && string(resp.History) != turn.history:
		t.Fatalf("turn %s of %v: history %q where %q is due", turn.id, turn.program, resp.History, turn.history)
	}
	if k := turn.program; c.runningOf(k) == 0 && now.Sub(c.lastUse[k]) > chainKeep {
		c.generated[k] = 0
	}
	// An owner that follows a lost one may forgive the tokens of one turn.
	if due := c.generated[turn.program] + c.runningOf(turn.program)*chainMost; resp.Charged < due {
		t.Fatalf("turn %s of %v: %d tokens are charged, where the turns before it may have generated %d", turn.id, turn.program, resp.Charged, due)
	}
	c.begun[turn.program] = true
	turn.foreign = resp.Foreign
	c.running = append(c.running, turn)
}

// pause moves the clock on. Turns whose time is over meanwhile have broken off.
func (c *chains) pause(t *rapid.T, d time.Duration) {
	c.clock.moveTo(time.Duration(c.clock.ahead.Load()) + d)
	for i := 0; i < len(c.running); {
		if c.clock.now().Before(c.running[i].until) {
			i++
			continue
		}
		c.end(t, i, false)
	}
}

// end ends a turn in progress.
func (c *chains) end(t *rapid.T, i int, complete bool) {
	turn := c.running[i]
	c.running = slices.Delete(c.running, i, i+1)
	tokens := rapid.SampledFrom([]int64{chainMost, chainMost / 2, 0}).Draw(t, "tokens")
	turn.ended = c.clock.now()
	if turn.until.Before(turn.ended) {
		turn.ended = turn.until
	}
	turn.text = fmt.Sprintf("%v-%s ", turn.program, turn.id)
	c.generated[turn.program] += tokens
	c.lastUse[turn.program] = turn.ended
	r := &turnv1.EndRequest{
		Program: turn.program.id, Account: turn.program.account, Turn: turn.id, Previous: turn.previous, Complete: complete, Tokens: tokens,
		Budget: chainBudget, KeepMs: chainKeep.Milliseconds(),
	}
	if complete {
		r.Input, r.Most = []byte(turn.text), chainMost
		if turn.foreign {
			r.Inherited = []byte(turn.history)
		}
	}
	resp, err := c.owner.End(c.fixture.ctx, r)
	if err == nil && resp.Outcome == turnv1.Outcome_OUTCOME_HISTORY_MISSING {
		r.Inherited = []byte(turn.history)
		resp, err = c.owner.End(c.fixture.ctx, r)
	}
	if err != nil || complete && resp.Outcome != turnv1.Outcome_OUTCOME_OK {
		t.Fatalf("end of turn %s of %v: %v %v", turn.id, turn.program, resp, err)
	}
	if complete {
		c.whole = append(c.whole, turn)
	}
}

// Guards against turns that are lost or cut, and budgets that are exceeded by more than a turn, while two accounts use the same ids,
// clients pause, turns last long, owners are lost, released and replaced, and old records are deleted.
func TestChainsStayWholeOverPausesAndTakeovers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, stop := openFixture(t)
		defer stop()
		c := &chains{fixture: f, clock: &clock{}, generated: map[programKey]int64{}, lastUse: map[programKey]time.Time{}, begun: map[programKey]bool{}}
		c.takeOver()
		for range rapid.IntRange(60, 120).Draw(rt, "steps") {
			switch rapid.SampledFrom(chainSteps).Draw(rt, "step") {
			case "begin":
				c.begin(rt)
			case "end":
				if n := len(c.running); n > 0 {
					c.end(rt, rapid.IntRange(0, n-1).Draw(rt, "turn"), mostly.Draw(rt, "complete"))
				}
			case "pause":
				c.pause(rt, rapid.SampledFrom(chainPauses).Draw(rt, "pause"))
			case "take over":
				c.takeOver()
			case "release":
				c.owner.Assign(nil)
				c.takeOver()
			case "trim":
				c.owner.partition(0).trim(c.fixture.ctx)
			}
			for k, generated := range c.generated {
				if n := generated + c.runningOf(k)*chainMost; n > chainBudget+chainMost {
					rt.Fatalf("turns of %v may have generated %d of %d tokens", k, n, chainBudget)
				}
			}
		}
	})
}
