// Package program maintains the turn order, history and budget of programs.
//
// A program's state is the result of applying its events in log order. Store implements this as a deterministic state
// machine without I/O. Controller runs turns against it.
package program

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	programv1 "github.com/berylpond/berylpond/api/program/v1"
	"github.com/berylpond/berylpond/internal/invariant"
)

// headDigestBytes is the length to which the SHA-256 digest in a head is truncated.
const headDigestBytes = 16

// Outcome is the result of applying an event.
type Outcome int

const (
	// Accepted means that the event changed the state.
	Accepted Outcome = iota
	// Duplicate means that the event had been applied before.
	Duplicate
	// Rejected means that the event does not fit the state, for example a turn on a head that is not current.
	Rejected
)

// Turn is one committed turn of a program's history.
type Turn struct {
	// Request is the JSON array of the new messages.
	Request []byte
	// Response is the JSON of the assistant's message.
	Response         string
	FinishReason     string
	RequestDigest    string
	PrevHead         string
	Head             string
	PromptTokens     int64
	CachedTokens     int64
	CompletionTokens int64
	StartedID        string
	UnixMS           int64
}

// Program is the state of one program.
type Program struct {
	ID       string
	Team     string
	Account  string
	Parent   string
	Root     string
	Head     string
	Turns    []Turn
	Created  time.Time
	Deadline time.Time
	// BudgetTokens and BudgetCalls limit what the program may spend.
	BudgetTokens int64
	BudgetCalls  int64
	// SpentTokens and SpentCalls count settled turns, completed and abandoned.
	SpentTokens int64
	SpentCalls  int64
	Ended       bool
	EndCause    string
	EndedAt     time.Time

	// published is when all of the program's events were last appended to the log.
	published time.Time

	// reserved holds the reserved tokens of started turns that are not settled, by event id; reservedSum is their sum and
	// openTurns their number.
	reserved    map[string]int64
	reservedSum int64
	openTurns   int64
	// settled holds the event ids of started turns that were settled.
	settled map[string]struct{}
}

// Reserved returns the tokens reserved for turns that were started but not settled.
func (p *Program) Reserved() int64 { return p.reservedSum }

// Calls returns the calls counted against the budget: settled ones and those in progress.
func (p *Program) Calls() int64 { return p.SpentCalls + p.openTurns }

// RemainingTokens returns the remaining budget: tokens that are neither spent nor reserved.
func (p *Program) RemainingTokens() int64 { return p.BudgetTokens - p.SpentTokens - p.Reserved() }

// FirstHead returns the head of a program without turns.
func FirstHead(id string) string { return formatHead(0, id) }

// NextHead returns the head after a turn. It is a hash chain over the whole history.
func NextHead(prev string, request []byte, response string) string {
	return formatHead(turnNumber(prev)+1, prev, string(request), response)
}

func formatHead(turn int, parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		h.Write([]byte(strconv.Itoa(len(p)) + ":" + p))
	}
	return strconv.Itoa(turn) + "-" + hex.EncodeToString(h.Sum(nil)[:headDigestBytes])
}

func turnNumber(head string) int {
	n, _, _ := strings.Cut(head, "-")
	t, _ := strconv.Atoi(n)
	return t
}

// Digest returns the digest by which a repeated request body is recognized.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:headDigestBytes])
}

// Store holds the programs of one data centre's shards. It is not safe for concurrent use.
type Store struct {
	programs map[string]*Program
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{programs: map[string]*Program{}} }

// Get returns a program, or nil. The caller must not change it.
func (s *Store) Get(id string) *Program { return s.programs[id] }

// Len returns the number of programs, including ended ones.
func (s *Store) Len() int { return len(s.programs) }

// Each calls f for every program until f returns false.
func (s *Store) Each(f func(*Program) bool) {
	for _, p := range s.programs {
		if !f(p) {
			return
		}
	}
}

// DropEnded drops programs that ended before the given time and returns how many.
func (s *Store) DropEnded(before time.Time) int {
	n := 0
	for id, p := range s.programs {
		if p.Ended && p.EndedAt.Before(before) {
			delete(s.programs, id)
			n++
		}
	}
	return n
}

// Check returns the outcome that Apply would have, without applying the event.
func (s *Store) Check(ev *programv1.Event) Outcome {
	p := s.programs[ev.Program]
	if ev.GetCreated() != nil {
		if p != nil {
			return Duplicate
		}
		return Accepted
	}
	if p == nil {
		return Rejected
	}
	switch b := ev.Body.(type) {
	case *programv1.Event_TurnStarted:
		return p.checkStart(ev, b.TurnStarted)
	case *programv1.Event_TurnCommitted:
		return p.checkCommit(b.TurnCommitted)
	case *programv1.Event_TurnAbandoned:
		return p.checkAbandon(b.TurnAbandoned)
	case *programv1.Event_Ended:
		if p.Ended {
			return Duplicate
		}
		return Accepted
	}
	return Rejected
}

// Apply applies one event. Events must be applied in log order; a repeated event changes nothing.
func (s *Store) Apply(ev *programv1.Event) Outcome {
	if c := ev.GetCreated(); c != nil {
		return s.create(ev, c)
	}
	p := s.programs[ev.Program]
	if p == nil {
		return Rejected
	}
	switch b := ev.Body.(type) {
	case *programv1.Event_TurnStarted:
		return p.start(ev, b.TurnStarted)
	case *programv1.Event_TurnCommitted:
		return p.commit(ev, b.TurnCommitted)
	case *programv1.Event_TurnAbandoned:
		return p.abandon(b.TurnAbandoned)
	case *programv1.Event_Ended:
		return p.end(ev, b.Ended)
	}
	return Rejected
}

func (s *Store) create(ev *programv1.Event, c *programv1.Created) Outcome {
	if p := s.programs[ev.Program]; p != nil {
		p.published = maxTime(p.published, time.UnixMilli(ev.UnixMs))
		return Duplicate
	}
	p := &Program{
		ID:           ev.Program,
		Team:         c.Team,
		Account:      c.Account,
		Parent:       c.Parent,
		Root:         c.Root,
		Head:         FirstHead(ev.Program),
		Created:      time.UnixMilli(c.CreatedUnixMs),
		published:    time.UnixMilli(ev.UnixMs),
		BudgetTokens: c.BudgetTokens,
		BudgetCalls:  c.BudgetCalls,
		reserved:     map[string]int64{},
		settled:      map[string]struct{}{},
	}
	if c.CreatedUnixMs == 0 {
		p.Created = p.published
	}
	if c.DeadlineUnixMs > 0 {
		p.Deadline = time.UnixMilli(c.DeadlineUnixMs)
	}
	s.programs[p.ID] = p
	return Accepted
}

func (p *Program) checkStart(ev *programv1.Event, b *programv1.TurnStarted) Outcome {
	if _, ok := p.reserved[ev.Id]; ok {
		return Duplicate
	}
	if _, ok := p.settled[ev.Id]; ok {
		return Duplicate
	}
	if p.Ended || b.Head != p.Head || b.ReserveTokens > p.RemainingTokens() || p.Calls() >= p.BudgetCalls {
		return Rejected
	}
	return Accepted
}

func (p *Program) start(ev *programv1.Event, b *programv1.TurnStarted) Outcome {
	if out := p.checkStart(ev, b); out != Accepted {
		return out
	}
	p.reserved[ev.Id] = b.ReserveTokens
	p.reservedSum += b.ReserveTokens
	p.openTurns++
	return Accepted
}

func (p *Program) checkCommit(b *programv1.TurnCommitted) Outcome {
	if p.findTurn(b.NewHead) != nil {
		return Duplicate
	}
	_, reserved := p.reserved[b.StartedId]
	if p.Ended || b.Head != p.Head || !reserved {
		return Rejected
	}
	if !invariant.Check(b.NewHead == NextHead(b.Head, b.Request, b.Answer), "program_head_chain", "program", p.ID) {
		return Rejected
	}
	return Accepted
}

func (p *Program) commit(ev *programv1.Event, b *programv1.TurnCommitted) Outcome {
	if out := p.checkCommit(b); out != Accepted {
		return out
	}
	p.settle(b.StartedId, b.PromptTokens+b.CompletionTokens)
	p.Turns = append(p.Turns, Turn{
		Request:          b.Request,
		Response:         b.Answer,
		FinishReason:     b.FinishReason,
		RequestDigest:    b.RequestDigest,
		PrevHead:         b.Head,
		Head:             b.NewHead,
		PromptTokens:     b.PromptTokens,
		CachedTokens:     b.CachedTokens,
		CompletionTokens: b.CompletionTokens,
		StartedID:        b.StartedId,
		UnixMS:           ev.UnixMs,
	})
	p.Head = b.NewHead
	invariant.Check(turnNumber(p.Head) == len(p.Turns), "program_turn_number", "program", p.ID)
	return Accepted
}

func (p *Program) checkAbandon(b *programv1.TurnAbandoned) Outcome {
	if _, ok := p.settled[b.StartedId]; ok {
		return Duplicate
	}
	if _, ok := p.reserved[b.StartedId]; !ok {
		return Rejected
	}
	return Accepted
}

func (p *Program) abandon(b *programv1.TurnAbandoned) Outcome {
	if out := p.checkAbandon(b); out != Accepted {
		return out
	}
	p.settle(b.StartedId, b.SpentTokens)
	return Accepted
}

// settle replaces a reservation by what was spent. An engine that ignores max_tokens may spend more than was reserved;
// the excess counts in full against the budget.
func (p *Program) settle(startedID string, spent int64) {
	p.reservedSum -= p.reserved[startedID]
	p.openTurns--
	delete(p.reserved, startedID)
	p.settled[startedID] = struct{}{}
	p.SpentTokens += spent
	p.SpentCalls++
}

func (p *Program) end(ev *programv1.Event, b *programv1.Ended) Outcome {
	if p.Ended {
		return Duplicate
	}
	p.Ended = true
	p.EndCause = b.Cause
	p.EndedAt = time.UnixMilli(ev.UnixMs)
	return Accepted
}

func (p *Program) findTurn(head string) *Turn {
	for i := len(p.Turns) - 1; i >= 0; i-- {
		if p.Turns[i].Head == head {
			return &p.Turns[i]
		}
	}
	return nil
}

// successor returns the turn that followed the given head, or nil.
func (p *Program) successor(head string) *Turn {
	for i := len(p.Turns) - 1; i >= 0; i-- {
		if p.Turns[i].PrevHead == head {
			return &p.Turns[i]
		}
	}
	return nil
}
