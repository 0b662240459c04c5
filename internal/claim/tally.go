package claim

// Decision is the result of the votes of a cell.
type Decision int

const (
	// NoMajority means that there is no majority of grants, and that no other executor can have one.
	NoMajority Decision = iota
	// Won means that a majority granted the claim.
	Won
	// Duplicate means that the id has an outcome, or that another executor may have a majority.
	Duplicate
	// Expired means that the id is older than the claim window, so that only the log can tell whether it ran.
	Expired
)

// Tally counts the responses of the voters of one cell to one attempt.
type Tally struct {
	voters  int
	granted int
	unknown int
	other   map[Executor]int
	settled *Response
}

// NewTally returns a tally for the given number of voters.
func NewTally(voters int) *Tally { return &Tally{voters: voters, other: map[Executor]int{}} }

// Add counts the response of one voter. The caller adds each voter at most once, and none that did not respond.
func (t *Tally) Add(r Response) {
	switch r.Result {
	case Granted:
		t.granted++
	case Taken:
		t.other[r.Executor]++
	case Settled:
		t.settled = &r
	case Unknown:
		t.unknown++
	}
}

func (t *Tally) majority() int { return t.voters/2 + 1 }

// Won reports whether a majority granted the claim.
func (t *Tally) Won() bool { return t.granted >= t.majority() }

// Decide returns the decision for the responses so far, and the settled response if there is one.
func (t *Tally) Decide() (Decision, *Response) {
	switch {
	case t.settled != nil:
		return Duplicate, t.settled
	case t.Won():
		return Won, nil
	case t.unknown > 0:
		return Expired, nil
	}
	for _, n := range t.other {
		if t.mayHaveWon(n) {
			return Duplicate, nil
		}
	}
	return NoMajority, nil
}

// mayHaveWon reports whether another executor, which n voters named, may have a majority. Only the voters that granted
// this attempt or named a third executor certainly did not grant that one.
func (t *Tally) mayHaveWon(n int) bool {
	named := 0
	for _, m := range t.other {
		named += m
	}
	otherVotes := t.granted + named - n
	return t.voters-otherVotes >= t.majority()
}
