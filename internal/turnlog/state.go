package turnlog

import (
	"time"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

// state is what the records of one partition add up to, with the reservations of turns under way. It has no lock and
// no clock of its own.
type state struct {
	programs map[string]*program
	turns    map[string]*turn
	// inlineAfter is the age of a turn's oldest record at which the next turn repeats the whole history, so that no
	// history depends on records that are about to expire.
	inlineAfter time.Duration
}

// program holds the budget of a program and the names of its turns.
type program struct {
	account string
	// granted is the durable bound on the tokens that the program's turns may generate; spent is what ended turns
	// generated, and reserved what each turn under way may.
	granted  int64
	spent    int64
	reserved map[string]int64
	// recorded is what the turns were charged with at the last record, and forgiven the grants that were taken back.
	recorded int64
	forgiven int64
	turns    []string
	lastUse  time.Time
	keep     time.Duration
}

// turn is a completed turn.
type turn struct {
	account string
	program string
	parent  *turn
	// inherited is the history before the turn where there is no parent.
	inherited     []byte
	input, output []byte
	backend       string
	// oldest is the time of the oldest record that the turn's history depends on.
	oldest time.Time
}

func newState(inlineAfter time.Duration) *state {
	return &state{programs: map[string]*program{}, turns: map[string]*turn{}, inlineAfter: inlineAfter}
}

// apply adds a durable record.
func (s *state) apply(r *turnv1.Record) {
	switch c := r.Change.(type) {
	case *turnv1.Record_Granted:
		g := c.Granted
		p := s.program(g.Program, g.Account)
		p.record(g.Granted, g.Charged, g.Forgiven)
		p.touch(g.AtUnixMs, g.KeepMs)
	case *turnv1.Record_Completed:
		s.complete(c.Completed)
	}
}

func (s *state) complete(c *turnv1.Completed) {
	p := s.program(c.Program, c.Account)
	p.record(c.Granted, c.Charged, c.Forgiven)
	p.touch(c.AtUnixMs, c.KeepMs)
	if s.turns[c.Turn] != nil {
		return
	}
	t := &turn{
		account: c.Account, program: c.Program, inherited: c.Inherited, input: c.Input, output: c.Output, backend: c.Backend,
		oldest: time.UnixMilli(c.AtUnixMs),
	}
	if c.Previous != "" && len(c.Inherited) == 0 {
		if t.parent = s.turns[c.Previous]; t.parent != nil && t.parent.oldest.Before(t.oldest) {
			t.oldest = t.parent.oldest
		}
	}
	s.turns[c.Turn] = t
	p.turns = append(p.turns, c.Turn)
}

func (s *state) program(id, account string) *program {
	p := s.programs[id]
	if p == nil {
		p = &program{account: account, reserved: map[string]int64{}}
		s.programs[id] = p
	}
	return p
}

// record takes over the sums of a durable record.
func (p *program) record(granted, charged, forgiven int64) {
	p.granted, p.recorded, p.forgiven = max(p.granted, granted), charged, max(p.forgiven, forgiven)
}

func (p *program) touch(atUnixMs, keepMs int64) {
	if at := time.UnixMilli(atUnixMs); at.After(p.lastUse) {
		p.lastUse = at
	}
	p.keep = max(p.keep, time.Duration(keepMs)*time.Millisecond)
}

// charged is the tokens that the program's turns have generated or may yet.
func (p *program) charged() int64 { return p.spent + p.outstanding() }

func (p *program) outstanding() int64 {
	var n int64
	for _, most := range p.reserved {
		n += most
	}
	return n
}

// adopt charges the programs of an owner that was lost. Turns under way at a program's last record count at their most.
// A turn that began since then had no record of its own: the grant that covered it is taken back, as it mostly was not
// used, but once in a program only. So the tokens of a program exceed its budget by those of one turn at most.
func (s *state) adopt() {
	for _, p := range s.programs {
		ahead := p.granted - p.recorded
		if p.forgiven == 0 && ahead > 0 {
			p.spent, p.granted, p.forgiven = p.recorded, p.recorded, ahead
			continue
		}
		p.spent = max(p.spent, p.granted)
	}
}

// admission is the decision on the begin of a turn.
type admission struct {
	outcome turnv1.Outcome
	// grant is the durable grant that is needed before the turn may start; zero if it is covered.
	grant    int64
	previous *turn
	// forgiven is what grant's record says of grants taken back.
	forgiven int64
	// foreign means that the previous turn is not in this partition.
	foreign              bool
	charged, outstanding int64
}

// admit decides on a turn and reserves its tokens if it may start.
func (s *state) admit(r *turnv1.BeginRequest, now time.Time) admission {
	p := s.program(r.Program, r.Account)
	if p.account != r.Account {
		return admission{outcome: turnv1.Outcome_OUTCOME_NO_SUCH_TURN}
	}
	a := admission{outcome: turnv1.Outcome_OUTCOME_OK}
	if r.Previous != "" {
		a.previous = s.turns[r.Previous]
		switch {
		case a.previous == nil:
			a.foreign = true
		case a.previous.account != r.Account:
			return admission{outcome: turnv1.Outcome_OUTCOME_NO_SUCH_TURN}
		}
	}
	if _, again := p.reserved[r.Turn]; !again && r.Budget >= 0 && p.charged()+r.Most > r.Budget {
		a.outcome = turnv1.Outcome_OUTCOME_BUDGET_SPENT
		a.charged, a.outstanding = p.charged(), p.outstanding()
		return a
	}
	p.reserved[r.Turn] = r.Most
	p.touch(now.UnixMilli(), r.KeepMs)
	a.charged, a.outstanding = p.charged(), p.outstanding()
	// One turn at most may be missing in the records: adopt forgives no more.
	if a.charged > p.granted || a.charged-p.recorded > r.Most {
		a.grant, a.forgiven = a.charged, p.forgiven
	}
	return a
}

// settle ends the reservation of a turn that generated so many tokens.
func (s *state) settle(programID, turnID string, tokens int64) {
	p := s.programs[programID]
	if p == nil {
		return
	}
	if _, ok := p.reserved[turnID]; !ok {
		// An earlier owner reserved it, and adopt has counted it.
		return
	}
	delete(p.reserved, turnID)
	p.spent += tokens
}

// sums are what a record says of a program's tokens.
type sums struct{ granted, charged, forgiven int64 }

// nextGrant is the grant to record with a completed turn: it covers the turns under way and one more of the same size,
// so that the next turn of the program needs no record before it starts.
func (s *state) nextGrant(programID, turnID string, tokens, most int64) sums {
	p := s.programs[programID]
	if p == nil {
		return sums{granted: tokens + most, charged: tokens}
	}
	charged := p.charged()
	if reserved, ok := p.reserved[turnID]; ok {
		charged += tokens - reserved
	}
	return sums{granted: max(p.granted, charged+most), charged: charged, forgiven: p.forgiven}
}

// history returns the inputs and outputs of the chain that ends with t, oldest first.
func (t *turn) history() []byte {
	var chain []*turn
	n := 0
	for at := t; at != nil; at = at.parent {
		chain = append(chain, at)
		n += len(at.inherited) + len(at.input) + len(at.output)
	}
	b := make([]byte, 0, n)
	for i := len(chain) - 1; i >= 0; i-- {
		b = append(b, chain[i].inherited...)
		b = append(b, chain[i].input...)
		b = append(b, chain[i].output...)
	}
	return b
}

// inherit returns the history to repeat in the record of a turn that continues from previous, or nil if the records that
// hold it are fresh enough.
func (s *state) inherit(previous string, now time.Time) []byte {
	t := s.turns[previous]
	if t == nil || now.Sub(t.oldest) < s.inlineAfter {
		return nil
	}
	return t.history()
}

// expire forgets programs that were not used for longer than their turns are kept, and slack on top.
func (s *state) expire(now time.Time, slack time.Duration) {
	for id, p := range s.programs {
		if now.Sub(p.lastUse) < p.keep+slack {
			continue
		}
		for _, t := range p.turns {
			delete(s.turns, t)
		}
		delete(s.programs, id)
	}
}
