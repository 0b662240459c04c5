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
	lossBudget      = 1000
	lossReservation = 100
)

// pendingRecord is a record that waits for the store. turn begins once it is durable; empty if none waits for it.
type pendingRecord struct {
	record *turnv1.Record
	turn   string
}

// lossyOwner is an owner whose records wait for the store. It goes on after it was replaced, until an append fails.
type lossyOwner struct {
	state   *state
	pending []pendingRecord
	running []string
	dead    bool
}

// lossyProgram is one program, the store's records of it and its owners, of which only the last may append.
type lossyProgram struct {
	advanceGrants bool
	// recordsUse has the turns that need no record for their tokens record that the program is in use, as late ones do.
	recordsUse bool
	records    []*turnv1.Record
	owners     []*lossyOwner
	ended      []endedTurn
	generated  int64
	turns      int
}

// endedTurn is a turn whose end may be reported to an owner again.
type endedTurn struct {
	id     string
	tokens int64
}

func newLossyProgram(advanceGrants bool) *lossyProgram {
	p := &lossyProgram{advanceGrants: advanceGrants}
	p.takeOver()
	return p
}

func (p *lossyProgram) current() *lossyOwner { return p.owners[len(p.owners)-1] }

func (p *lossyProgram) takeOver() {
	s := newState(time.Hour)
	for _, r := range p.records {
		s.apply(r)
	}
	s.recoverCharges()
	s.advanceGrants = p.advanceGrants
	p.owners = append(p.owners, &lossyOwner{state: s})
}

func (p *lossyProgram) begin(o *lossyOwner) {
	p.turns++
	id := fmt.Sprint("t", p.turns)
	a := o.state.admit(&turnv1.BeginRequest{Program: "p", Turn: id, Budget: lossBudget, Most: lossReservation}, time.Now())
	switch {
	case a.outcome != turnv1.Outcome_OUTCOME_OK:
	case a.grant == 0 && !p.recordsUse:
		o.running = append(o.running, id)
	default:
		o.pending = append(o.pending, pendingRecord{turn: id, record: a.record(&turnv1.BeginRequest{Program: "p", Most: lossReservation})})
	}
}

// end ends the turn that has run for longest. If the report to the owner is lost, its reservation stays.
func (p *lossyProgram) end(o *lossyOwner, tokens int64, reported bool) {
	if len(o.running) == 0 {
		return
	}
	id := o.running[0]
	o.running = o.running[1:]
	p.generated += tokens
	t := endedTurn{id, tokens}
	p.ended = append(p.ended, t)
	if reported {
		p.report(o, t)
	}
}

// report reports the end of a turn. That is repeated until an owner says that its record is durable.
func (p *lossyProgram) report(o *lossyOwner, t endedTurn) {
	ahead := o.state.grantAhead(&turnv1.EndRequest{
		Program: "p", Turn: t.id, Tokens: t.tokens, Budget: lossBudget, Most: lossReservation,
	}, time.Now())
	o.state.settle(programKey{id: "p"}, t.id, t.tokens, time.Now())
	if ahead == nil {
		return
	}
	o.pending = append(o.pending, pendingRecord{record: &turnv1.Record{Change: &turnv1.Record_Granted{Granted: ahead}}})
}

// commit makes one of the owner's waiting records durable. At a replaced owner that fails, and it ends.
func (p *lossyProgram) commit(o *lossyOwner, index int) {
	if index >= len(o.pending) {
		return
	}
	r := o.pending[index]
	o.pending = slices.Delete(o.pending, index, index+1)
	if o != p.current() {
		o.dead = true
		return
	}
	p.records = append(p.records, r.record)
	o.state.apply(r.record)
	if r.turn != "" {
		o.running = append(o.running, r.turn)
	}
}

// release has the owner give the program to another one, which finds the first of the records that it leaves. The turns in progress
// end there.
func (p *lossyProgram) release(o *lossyOwner, appended int) {
	for _, r := range o.state.unused() {
		o.pending = append(o.pending, pendingRecord{record: r})
	}
	for range min(appended, len(o.pending)) {
		p.commit(o, 0)
	}
	o.dead = true
	if o == p.current() {
		p.takeOver()
		p.current().running, o.running = o.running, nil
	}
}

// mayHaveGenerated is what clients got or may still get.
func (p *lossyProgram) mayHaveGenerated() int64 {
	n := p.generated
	for _, o := range p.owners {
		n += int64(len(o.running)) * lossReservation
	}
	return n
}

// Load pattern: the store is away for seconds, so that records wait, and owners are lost, cut off or replaced meanwhile.
func TestNoSequenceOfLossesExceedsTheBudgetByMoreThanOneTurn(t *testing.T) {
	checkSequencesOfLosses(t, false)
}

// Guards against a record that a program is in use, without a grant, that hides what others have charged.
func TestNoRecordOfUseExceedsTheBudgetByMoreThanOneTurn(t *testing.T) {
	checkSequencesOfLosses(t, true)
}

func checkSequencesOfLosses(t *testing.T, recordsUse bool) {
	rapid.Check(t, func(t *rapid.T) {
		p := newLossyProgram(rapid.Bool().Draw(t, "advance grants"))
		p.recordsUse = recordsUse && rapid.Bool().Draw(t, "records use")
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			o := p.current()
			if rapid.IntRange(0, 4).Draw(t, "at a replaced owner") == 0 {
				o = p.owners[rapid.IntRange(0, len(p.owners)-1).Draw(t, "owner")]
			}
			step := rapid.SampledFrom([]string{"begin", "begin", "end", "end", "commit", "commit", "take over", "release", "report again"}).Draw(t, "step")
			for range rapid.IntRange(1, 6).Draw(t, "times") {
				if o.dead {
					break
				}
				switch step {
				case "begin":
					p.begin(o)
				case "end":
					tokens := rapid.SampledFrom([]int64{0, lossReservation / 2, lossReservation}).Draw(t, "tokens")
					p.end(o, tokens, rapid.Bool().Draw(t, "reported"))
				case "commit":
					// Records of different calls may change places on their way to the queue.
					p.commit(o, rapid.IntRange(0, 1).Draw(t, "index"))
				case "report again":
					if len(p.ended) > 0 {
						p.report(o, rapid.SampledFrom(p.ended).Draw(t, "ended"))
					}
				case "take over":
					p.takeOver()
				case "release":
					p.release(o, rapid.IntRange(0, 20).Draw(t, "appended"))
				}
			}
			if n := p.mayHaveGenerated(); n > lossBudget+lossReservation {
				t.Fatalf("turns may have generated %d of %d tokens", n, lossBudget)
			}
		}
	})
}

// Turns that run in parallel end with few tokens while the store is away. Their records wait, and say that little is charged;
// meanwhile others begin under the grant that these have left. The owner is lost just after the records became durable.
func TestGrantsOfParallelTurnsAreNotUsedTwiceWhileRecordsWait(t *testing.T) {
	p := newLossyProgram(false)
	o := p.current()
	const parallel = 4
	for range parallel {
		p.begin(o)
		p.commit(o, 0)
	}
	for range parallel {
		p.end(o, 0, true)
	}
	for range parallel {
		p.begin(o)
	}
	for len(o.running) > 0 {
		p.end(o, lossReservation, false)
	}
	for len(o.pending) > 0 {
		p.commit(o, 0)
	}
	p.takeOver()
	for range 2 * lossBudget / lossReservation {
		p.begin(p.current())
		p.commit(p.current(), 0)
	}
	if n := p.mayHaveGenerated(); n > lossBudget+lossReservation {
		t.Fatalf("turns may have generated %d of %d tokens", n, lossBudget)
	}
}

// Load pattern: instances are added, drained and replaced one after the other, so that partitions are released again and again
// within the life of a program. No owner is lost, so no program may be ended for what was granted ahead.
func TestReleasesInSuccessionCostAProgramNothing(t *testing.T) {
	const turns = 2 * (lossBudget/lossReservation - 1)
	for _, releases := range []int{1, 2, 3, 6} {
		t.Run(fmt.Sprint(releases), func(t *testing.T) {
			p := newLossyProgram(true)
			for i := range turns {
				if i > 0 && i <= releases {
					p.release(p.current(), turns)
				}
				p.turn(p.current(), true, true)
			}
			if n := p.mayHaveGenerated(); n != turns*lossReservation/2 {
				t.Errorf("the program ended after %d of %d tokens", n, lossBudget)
			}
		})
	}
}

// Load pattern: partitions are released while turns run. Those end at the next owner, after one release or two, and generate less
// than their maximum; what they did not use is still the program's.
func TestTurnsThatRunWhileTheirPartitionIsReleasedAreChargedForWhatTheyGenerate(t *testing.T) {
	const (
		parallel = 4
		tokens   = 10
	)
	for _, releases := range []int{1, 2} {
		t.Run(fmt.Sprint(releases), func(t *testing.T) {
			p := newLossyProgram(true)
			for range parallel {
				p.begin(p.current())
				p.commit(p.current(), 0)
			}
			for range releases {
				p.release(p.current(), parallel)
			}
			for range parallel {
				p.end(p.current(), tokens, true)
			}
			if n := p.current().state.programs[programKey{id: "p"}].charged(); n != parallel*tokens {
				t.Errorf("%d tokens are charged for %d", n, p.generated)
			}
		})
	}
}

// Turns end at the owner after a release, others begin in their place, and that owner is lost before anything is recorded. The ends
// are reported again to the next one, again and again.
func TestRepeatedReportsAfterAReleaseMakeNoRoomTwice(t *testing.T) {
	const parallel = lossBudget / lossReservation
	p := newLossyProgram(true)
	for range parallel {
		p.begin(p.current())
		p.commit(p.current(), 0)
	}
	p.release(p.current(), parallel)
	for range parallel {
		p.end(p.current(), 0, false)
	}
	for range parallel {
		for _, ended := range p.ended {
			p.report(p.current(), ended)
		}
		for range parallel {
			p.begin(p.current())
		}
		p.takeOver()
	}
	for range parallel {
		p.begin(p.current())
		p.commit(p.current(), 0)
	}
	if n := p.mayHaveGenerated(); n > lossBudget+lossReservation {
		t.Fatalf("turns may have generated %d of %d tokens", n, lossBudget)
	}
}

// turn runs a turn of half of its maximum. durable says whether the store takes the owner's records.
func (p *lossyProgram) turn(o *lossyOwner, durable, reported bool) {
	if o.dead {
		return
	}
	p.begin(o)
	for durable && len(o.pending) > 0 {
		p.commit(o, 0)
	}
	p.end(o, lossReservation/2, reported)
	for durable && len(o.pending) > 0 {
		p.commit(o, 0)
	}
}

// The rows of the table in docs/design/advance-grants.md. Whatever is lost, a program exceeds its budget by one turn at most, and
// is left with at least half of what it had.
func TestProgramsKeepTheirBudgetOverEachLoss(t *testing.T) {
	const many = 3 * lossBudget / lossReservation
	const before = 3
	for name, lose := range map[string]func(p *lossyProgram){
		"nothing":   func(*lossyProgram) {},
		"the owner": func(p *lossyProgram) { p.takeOver() },
		"the store": func(p *lossyProgram) {
			for range many {
				p.turn(p.current(), false, true)
			}
		},
		"the owner and the store": func(p *lossyProgram) {
			for range before {
				p.turn(p.current(), false, true)
			}
			p.takeOver()
		},
		"all instances, twice": func(p *lossyProgram) {
			p.takeOver()
			p.takeOver()
		},
		"the way between entry instance and owner": func(p *lossyProgram) {
			p.turn(p.current(), true, false)
		},
		"a partition is reassigned while the old owner lives": func(p *lossyProgram) {
			old := p.current()
			p.takeOver()
			for range many {
				p.turn(old, false, true)
			}
		},
		"a partition is released": func(p *lossyProgram) { p.release(p.current(), many) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newLossyProgram(true)
			for range before {
				p.turn(p.current(), true, true)
			}
			lose(p)
			for range many {
				p.turn(p.current(), true, true)
			}
			n := p.mayHaveGenerated()
			t.Logf("%d of %d tokens", n, lossBudget)
			if n > lossBudget+lossReservation {
				t.Errorf("turns may have generated %d of %d tokens", n, lossBudget)
			}
			if n < lossBudget/2 {
				t.Errorf("the program ended after %d of %d tokens", n, lossBudget)
			}
		})
	}
}
