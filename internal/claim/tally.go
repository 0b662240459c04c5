package claim

// Decision is what the votes of a cell amount to.
type Decision int

const (
	// Short means that too few voters granted and that no voter named another executor.
	Short Decision = iota
	// Won means that a majority granted.
	Won
	// Duplicate means that the id has an outcome, or that another executor may have a majority.
	Duplicate
	// TooOld means that only the log can tell.
	TooOld
)

// Tally collects the answers of the voters of one cell to one attempt.
type Tally struct {
	voters  int
	granted int
	unknown int
	other   map[Executor]int
	settled *Answer
}

// NewTally returns a tally over the given number of voters.
func NewTally(voters int) *Tally { return &Tally{voters: voters, other: map[Executor]int{}} }

// Add counts the answer of one voter. Each voter is added at most once; one that did not answer is not added.
func (t *Tally) Add(a Answer) {
	switch a.Result {
	case Granted:
		t.granted++
	case Taken:
		t.other[a.Executor]++
	case Settled:
		t.settled = &a
	case Unknown:
		t.unknown++
	}
}

func (t *Tally) majority() int { return t.voters/2 + 1 }

// Won reports whether a majority granted.
func (t *Tally) Won() bool { return t.granted >= t.majority() }

// Decide returns the decision on the answers so far, and the settled answer if there is one.
func (t *Tally) Decide() (Decision, *Answer) {
	switch {
	case t.settled != nil:
		return Duplicate, t.settled
	case t.Won():
		return Won, nil
	case t.unknown > 0:
		return TooOld, nil
	}
	for _, n := range t.other {
		if t.mayHaveWon(n) {
			return Duplicate, nil
		}
	}
	return Short, nil
}

// mayHaveWon reports whether an executor that n voters named may have the majority: only a voter that granted to this
// attempt, or named a third executor, is sure not to have granted to it.
func (t *Tally) mayHaveWon(n int) bool {
	named := 0
	for _, m := range t.other {
		named += m
	}
	notFor := t.granted + named - n
	return t.voters-notFor >= t.majority()
}
