package workload

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// bytesPerToken and messageOverhead are how the stand-in of the engine counts tokens.
	bytesPerToken   = 4
	messageOverhead = 4
	// minTokens holds the mark that tells messages apart.
	minTokens = 12
)

// Program is one program as its caller runs it. Times are clock time.
type Program struct {
	// Name is unique within a workload.
	Name    string
	Account string
	// DataCentre is the index of the data centre whose instances the caller is near to.
	DataCentre int
	// At is the start of the program after the start of the run.
	At       time.Duration
	Deadline time.Duration
	Turns    []Turn
}

// Turn is one call of a program and what its caller does with the answer.
type Turn struct {
	// Fresh are the prompt tokens that the turn adds, Output the tokens of the answer.
	Fresh  int
	Output int
	// Pause is the time until the next turn. Sub-agents run instead of it.
	Pause     time.Duration
	SubAgents []*Program
	// Effect is set when a service call that must not be repeated follows.
	Effect bool
}

// Content returns the text of turn i's message. It is unique in a workload.
func (p *Program) Content(i int) string {
	mark := fmt.Sprintf("%s turn %d. ", p.Name, i)
	want := p.Turns[i].Fresh*bytesPerToken - messageOverhead*bytesPerToken
	if len(mark) >= want {
		return mark
	}
	return mark + strings.Repeat("x", want-len(mark))
}

// MessageTokens returns what a message costs in a prompt.
func MessageTokens(content string) int {
	return (len(content)+bytesPerToken-1)/bytesPerToken + messageOverhead
}

// Calls returns the number of requests of the program and its sub-agents, creation and end included.
func (p *Program) Calls() int {
	n := 2
	for _, t := range p.Turns {
		n++
		if t.Effect {
			n++
		}
		for _, s := range t.SubAgents {
			n += s.Calls()
		}
	}
	return n
}

// Cost returns the engine seconds of the program with its sub-agents, where the given share of the history is cached.
func (p *Program) Cost(e Engine, cached float64) float64 {
	cost, history := 0.0, 0
	for _, t := range p.Turns {
		computed := float64(t.Fresh) + float64(history)*(1-cached)
		cost += computed/e.PrefillRate + float64(t.Output)/e.DecodeRate
		history += t.Fresh + t.Output + messageOverhead
		for _, s := range t.SubAgents {
			cost += s.Cost(e, cached)
		}
	}
	return cost
}

// Ideal returns the clock time of the program on idle engines that have every prefix cached.
func (p *Program) Ideal(e Engine, scale float64) time.Duration {
	var total time.Duration
	for _, t := range p.Turns {
		seconds := (float64(t.Fresh)/e.PrefillRate + float64(t.Output)/e.DecodeRate) / scale
		total += time.Duration(seconds * float64(time.Second))
		if len(t.SubAgents) == 0 {
			total += t.Pause
			continue
		}
		var longest time.Duration
		for _, s := range t.SubAgents {
			longest = max(longest, s.Ideal(e, scale))
		}
		total += longest
	}
	return total
}

// drawer draws programs of one account.
type drawer struct {
	p *Profile
	r *rand.Rand
}

func (d drawer) program(name string, a Account, s Shape, mayBranch bool) *Program {
	p := &Program{Name: name, Account: a.Name, DataCentre: d.dataCentre(), Deadline: d.p.clock(time.Duration(s.Deadline))}
	n := s.MinTurns + d.r.IntN(s.MaxTurns-s.MinTurns+1)
	if !mayBranch {
		n = 1 + d.r.IntN(s.MinTurns)
	}
	for i := range n {
		p.Turns = append(p.Turns, d.turn(p, i, a, s, mayBranch && i < n-1))
	}
	p.Turns[n-1].Pause = 0
	return p
}

func (d drawer) turn(p *Program, i int, a Account, s Shape, mayBranch bool) Turn {
	mean := s.FreshTokens
	if i == 0 {
		mean = s.FirstTokens
	}
	t := Turn{
		Fresh: d.tokens(mean), Output: d.tokens(s.OutputTokens),
		Pause:  d.p.clock(time.Duration(d.r.ExpFloat64() * float64(s.Pause))),
		Effect: d.r.Float64() < s.Effects,
	}
	if !mayBranch || d.r.Float64() >= s.SubAgents {
		return t
	}
	for j := range 1 + d.r.IntN(2) {
		sub := d.program(fmt.Sprintf("%s.%d.%d", p.Name, i, j), a, s, false)
		sub.DataCentre, sub.Deadline = p.DataCentre, p.Deadline
		t.SubAgents = append(t.SubAgents, sub)
	}
	return t
}

// tokens draws around the mean with a tail that stops at four times the mean.
func (d drawer) tokens(mean float64) int {
	return max(minTokens, int(mean*(0.5+min(d.r.ExpFloat64(), 7)/2)))
}

// dataCentre draws a data centre by its number of engines.
func (d drawer) dataCentre() int {
	n := d.r.IntN(d.p.Engines())
	for i, dc := range d.p.DataCentres {
		if n -= dc.Engines; n < 0 {
			return i
		}
	}
	return 0
}
