package workload

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// bytesPerToken and messageOverhead match how the fake engine counts tokens.
	bytesPerToken   = 4
	messageOverhead = 4
	// minTokens leaves room for the label that makes each message unique.
	minTokens = 12
)

// Program is the script of one program that a caller runs. Times are clock time.
type Program struct {
	// Name is unique within a workload.
	Name    string
	Account string
	// DataCentre is the index of the caller's own data centre.
	DataCentre int
	// StartOffset is the start of the program as an offset from the start of the run.
	StartOffset time.Duration
	Deadline    time.Duration
	Turns       []Turn
}

// Turn is one model call of a program and the caller's work after the response.
type Turn struct {
	// NewPromptTokens is the number of prompt tokens that the turn adds, OutputTokens the number of tokens in the
	// response.
	NewPromptTokens int
	OutputTokens    int
	// ThinkTime is the think time before the next turn. It is not used if there are sub-agents.
	ThinkTime time.Duration
	SubAgents []*Program
	// ServiceCall is set if a non-idempotent service call follows the turn.
	ServiceCall bool
}

// Content returns the text of turn i's message. It is unique within a workload.
func (p *Program) Content(i int) string {
	label := fmt.Sprintf("%s turn %d. ", p.Name, i)
	length := p.Turns[i].NewPromptTokens*bytesPerToken - messageOverhead*bytesPerToken
	if len(label) >= length {
		return label
	}
	return label + strings.Repeat("x", length-len(label))
}

// MessageTokens returns the number of prompt tokens of a message.
func MessageTokens(content string) int {
	return (len(content)+bytesPerToken-1)/bytesPerToken + messageOverhead
}

// RequestCount returns the number of requests of the program and its sub-agents, creation and end included.
func (p *Program) RequestCount() int {
	n := 2
	for _, t := range p.Turns {
		n++
		if t.ServiceCall {
			n++
		}
		for _, s := range t.SubAgents {
			n += s.RequestCount()
		}
	}
	return n
}

// EngineSeconds returns the engine time of the program and its sub-agents, in seconds, if the given fraction of the
// history is cached.
func (p *Program) EngineSeconds(e Engine, cached float64) float64 {
	cost, history := 0.0, 0
	for _, t := range p.Turns {
		computed := float64(t.NewPromptTokens) + float64(history)*(1-cached)
		cost += computed/e.PrefillRate + float64(t.OutputTokens)/e.DecodeRate
		history += t.NewPromptTokens + t.OutputTokens + messageOverhead
		for _, s := range t.SubAgents {
			cost += s.EngineSeconds(e, cached)
		}
	}
	return cost
}

// IdealLatency returns the latency of the program on idle engines with every prefix cached, in clock time.
func (p *Program) IdealLatency(e Engine, scale float64) time.Duration {
	var total time.Duration
	for _, t := range p.Turns {
		seconds := (float64(t.NewPromptTokens)/e.PrefillRate + float64(t.OutputTokens)/e.DecodeRate) / scale
		total += time.Duration(seconds * float64(time.Second))
		if len(t.SubAgents) == 0 {
			total += t.ThinkTime
			continue
		}
		var longest time.Duration
		for _, s := range t.SubAgents {
			longest = max(longest, s.IdealLatency(e, scale))
		}
		total += longest
	}
	return total
}

// sampler generates random programs of one account.
type sampler struct {
	profile *Profile
	rng     *rand.Rand
}

func (d sampler) program(name string, a Account, s ProgramShape, mayBranch bool) *Program {
	p := &Program{Name: name, Account: a.Name, DataCentre: d.dataCentre(), Deadline: d.profile.clockTime(time.Duration(s.Deadline))}
	n := s.MinTurns + d.rng.IntN(s.MaxTurns-s.MinTurns+1)
	if !mayBranch {
		n = 1 + d.rng.IntN(s.MinTurns)
	}
	for i := range n {
		p.Turns = append(p.Turns, d.turn(p, i, a, s, mayBranch && i < n-1))
	}
	p.Turns[n-1].ThinkTime = 0
	return p
}

func (d sampler) turn(p *Program, i int, a Account, s ProgramShape, mayBranch bool) Turn {
	mean := s.NewPromptTokens
	if i == 0 {
		mean = s.FirstPromptTokens
	}
	t := Turn{
		NewPromptTokens: d.tokens(mean), OutputTokens: d.tokens(s.OutputTokens),
		ThinkTime:   d.profile.clockTime(time.Duration(d.rng.ExpFloat64() * float64(s.ThinkTime))),
		ServiceCall: d.rng.Float64() < s.ServiceCallFraction,
	}
	if !mayBranch || d.rng.Float64() >= s.SubAgentFraction {
		return t
	}
	for j := range 1 + d.rng.IntN(2) {
		sub := d.program(fmt.Sprintf("%s.%d.%d", p.Name, i, j), a, s, false)
		sub.DataCentre, sub.Deadline = p.DataCentre, p.Deadline
		t.SubAgents = append(t.SubAgents, sub)
	}
	return t
}

// tokens samples a number of tokens: half the mean plus an exponential with half the mean, at most four times the mean
// in total and at least minTokens.
func (d sampler) tokens(mean float64) int {
	return max(minTokens, int(mean*(0.5+min(d.rng.ExpFloat64(), 7)/2)))
}

// dataCentre picks a random data centre, weighted by number of engines.
func (d sampler) dataCentre() int {
	n := d.rng.IntN(d.profile.EngineCount())
	for i, dc := range d.profile.DataCentres {
		if n -= dc.Engines; n < 0 {
			return i
		}
	}
	return 0
}
