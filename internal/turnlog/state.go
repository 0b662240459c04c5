package turnlog

import (
	"time"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

// state is the result of replaying the records of one partition, plus the reservations of turns in progress. It is not
// safe for concurrent use and takes the time from its callers.
type state struct {
	programs map[programKey]*program
	turns    map[turnKey]*turn
	// inlineAfter is the age of a turn's oldest record from which the next turn's record contains the whole history, so
	// that no history depends on records that are about to expire.
	inlineAfter time.Duration
	// useLag is how far the use of a program may lie beyond what its records say.
	useLag time.Duration
	// advanceGrants has programs without stored history granted more than their next turn needs.
	advanceGrants bool
	// bytes is the size of all turns.
	bytes int64
}

// programKey and turnKey name a program and a turn. Clients choose their ids, which are unique within an account only.
type (
	programKey struct{ account, id string }
	turnKey    struct{ account, id string }
)

// keyOf returns the program of a message or a record.
func keyOf(m interface {
	GetAccount() string
	GetProgram() string
}) programKey {
	return programKey{account: m.GetAccount(), id: m.GetProgram()}
}

// program holds the token accounting of a program and the ids of its turns.
type program struct {
	// granted is the durable bound on the tokens that the program's turns may generate, spent the tokens that ended turns
	// generated, and reserved what the turns in progress may generate, by turn id.
	granted  int64
	spent    int64
	reserved map[string]reservation
	// recordedCharge is the charge as of the last durable record, and forgiven the granted tokens that were taken back
	// after a failover (see recoverCharges).
	recordedCharge int64
	forgiven       int64
	// handedOver holds the reservations of the turns in progress when an owner released the partition, if nothing was recorded
	// since.
	handedOver map[string]int64
	turns      []turnKey
	// sessions holds the backend server of the last turn of each session, lastBackend that of the last turn of any. They are
	// kept in memory only: without them a prompt is read again.
	sessions    map[string]string
	lastBackend string
	// lastUse is when a turn last began or ended, recordedUse the last use that the records tell.
	lastUse, recordedUse time.Time
	keep                 time.Duration
}

// reservation is what is reserved for a turn in progress.
type reservation struct {
	tokens int64
	// until is when the turn has ended at the latest.
	until time.Time
}

// turn is a completed turn.
type turn struct {
	program programKey
	parent  *turn
	// inherited is the inlined history before the turn if the turn has no parent.
	inherited     []byte
	input, output []byte
	backend       string
	// oldest is the timestamp of the oldest record that the turn's history depends on.
	oldest time.Time
	// incomplete is set if the history before the turn is not known, so that the turn can't be continued.
	incomplete bool
}

func newState(inlineAfter time.Duration) *state {
	return &state{programs: map[programKey]*program{}, turns: map[turnKey]*turn{}, inlineAfter: inlineAfter}
}

// apply applies a durable record.
func (s *state) apply(r *turnv1.Record) {
	switch c := r.Change.(type) {
	case *turnv1.Record_Granted:
		g := c.Granted
		p := s.program(keyOf(g))
		granted := g.Granted
		if g.Final {
			// Nothing has begun under the grants before that is not charged.
			p.granted, p.recordedCharge, granted = g.Charged, g.Charged, g.Charged
		}
		p.setTotals(granted, g.Charged, g.Forgiven)
		p.handedOver = g.Reserved
		p.recordUse(g.AtUnixMs, g.KeepMs)
	case *turnv1.Record_Completed:
		s.complete(c.Completed)
	}
}

func (s *state) complete(c *turnv1.Completed) {
	p := s.program(keyOf(c))
	p.setTotals(c.Granted, c.Charged, c.Forgiven)
	p.handedOver = nil
	p.recordUse(c.AtUnixMs, c.KeepMs)
	k := turnKey{c.Account, c.Turn}
	if s.turns[k] != nil {
		return
	}
	t := &turn{
		program: keyOf(c), inherited: c.Inherited, input: c.Input, output: c.Output, backend: c.Backend,
		oldest: time.UnixMilli(c.AtUnixMs),
	}
	if c.Previous != "" && len(c.Inherited) == 0 {
		t.parent = s.wholeTurn(turnKey{c.Account, c.Previous})
		t.incomplete = t.parent == nil
		if t.parent != nil && t.parent.oldest.Before(t.oldest) {
			t.oldest = t.parent.oldest
		}
	}
	s.turns[k] = t
	s.bytes += t.size()
	p.turns = append(p.turns, k)
}

// wholeTurn returns a turn that can be continued, or nil: its record and those of the turns before it are known.
func (s *state) wholeTurn(k turnKey) *turn {
	if t := s.turns[k]; t != nil && !t.incomplete {
		return t
	}
	return nil
}

// lacksHistory reports whether the history before a turn that has ended is neither in the request nor in its program. Turns of
// other programs don't count: a program keeps its own turns only.
func (s *state) lacksHistory(r *turnv1.EndRequest) bool {
	if r.Previous == "" || len(r.Inherited) > 0 {
		return false
	}
	previous := s.wholeTurn(turnKey{r.Account, r.Previous})
	return previous == nil || previous.program != keyOf(r)
}

// size is what the turn keeps by itself, in bytes.
func (t *turn) size() int64 { return int64(cap(t.inherited) + cap(t.input) + cap(t.output)) }

func (s *state) program(k programKey) *program {
	p := s.programs[k]
	if p == nil {
		p = &program{reserved: map[string]reservation{}}
		s.programs[k] = p
	}
	return p
}

// setTotals sets the totals from a durable record. granted and forgiven never decrease. A record with a smaller grant than one
// before was overtaken by that one on its way to the store, so it doesn't lower the charge.
func (p *program) setTotals(granted, charged, forgiven int64) {
	if granted < p.granted {
		charged = max(charged, p.recordedCharge)
	}
	p.granted, p.recordedCharge, p.forgiven = max(p.granted, granted), charged, max(p.forgiven, forgiven)
}

// recordUse applies the use that a durable record tells.
func (p *program) recordUse(atUnixMs, keepMs int64) {
	at := time.UnixMilli(atUnixMs)
	p.recordedUse = later(p.recordedUse, at)
	p.use(at, keepMs)
}

func (p *program) use(at time.Time, keepMs int64) {
	p.lastUse = later(p.lastUse, at)
	p.keep = max(p.keep, time.Duration(keepMs)*time.Millisecond)
}

// usedUntil returns the last use of the program, which lies ahead while turns are in progress.
func (p *program) usedUntil() time.Time {
	until := p.lastUse
	for _, r := range p.reserved {
		until = later(until, r.until)
	}
	return until
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// charged returns the tokens that the program's turns have generated or may still generate.
func (p *program) charged() int64 { return p.spent + p.outstanding() }

func (p *program) outstanding() int64 {
	var n int64
	for _, r := range p.reserved {
		n += r.tokens
	}
	return n
}

// recoverCharges computes what programs have spent after a takeover from a failed owner. Turns in progress at a
// program's last record are charged with their maximum. A turn that began after that record has no record of its own.
// The grant that covered it is taken back, since it was usually not used, but only once per program. So a program
// exceeds its budget by the tokens of at most one turn.
func (s *state) recoverCharges() {
	for _, p := range s.programs {
		unrecorded := p.granted - p.recordedCharge
		if p.forgiven == 0 && unrecorded > 0 {
			p.spent, p.granted, p.forgiven = p.recordedCharge, p.recordedCharge, unrecorded
			continue
		}
		p.spent = max(p.spent, p.granted)
		p.resumeReservations()
	}
}

// resumeReservations takes over the turns that were in progress when the previous owner released the partition, so that they are
// charged for what they generate. What they leave is not granted: the next owner may find the same reservations, and their ends
// may be reported to it again, so a turn that begins in their place needs a record.
func (p *program) resumeReservations() {
	for turn, tokens := range p.handedOver {
		p.reserved[turn] = reservation{tokens: tokens, until: p.recordedUse}
		p.spent -= tokens
	}
	if len(p.handedOver) > 0 {
		p.granted = p.spent
	}
	p.handedOver = nil
}

// admission is the decision on a request to begin a turn.
type admission struct {
	outcome turnv1.Outcome
	// grant is the total to grant durably before the turn may start; zero if an earlier grant covers the turn.
	grant    int64
	previous *turn
	// foreign means that the previous turn is another program's.
	foreign bool
	// forgiven is the value of that field in the record of the grant.
	forgiven int64
	// previousElsewhere means that this partition has no whole previous turn.
	previousElsewhere    bool
	charged, outstanding int64
	// staleUse means that the turn may last longer than the records tell that the program is in use, so that the next owner could
	// forget the program and its charge meanwhile. use is the use to record, recordedCharge the charge to repeat with it.
	staleUse       bool
	use            time.Time
	recordedCharge int64
}

// needsRecord reports whether something must be durable before the turn may begin.
func (a admission) needsRecord() bool { return a.grant > 0 || a.staleUse }

// record returns what must be durable before the turn may begin: a grant, or only that the program is in use. The latter repeats the
// charge that is durable already. As it grants no more than that, it lowers no charge that is recorded before it takes effect.
func (a admission) record(r *turnv1.BeginRequest) *turnv1.Record {
	granted, charged := a.grant, a.charged
	if a.grant == 0 {
		granted, charged = a.recordedCharge, a.recordedCharge
	}
	return &turnv1.Record{Change: &turnv1.Record_Granted{Granted: &turnv1.Granted{
		Program: r.Program, Account: r.Account, Budget: r.Budget, Granted: granted, KeepMs: r.KeepMs,
		AtUnixMs: a.use.UnixMilli(), Charged: charged, Forgiven: a.forgiven,
	}}}
}

// admit decides whether a turn may start, and reserves its tokens if so.
func (s *state) admit(r *turnv1.BeginRequest, now time.Time) admission {
	p := s.program(keyOf(r))
	a := admission{outcome: turnv1.Outcome_OUTCOME_OK}
	if r.Previous != "" {
		a.previous = s.wholeTurn(turnKey{r.Account, r.Previous})
		a.previousElsewhere = a.previous == nil
		a.foreign = a.previous != nil && a.previous.program != keyOf(r)
	}
	if _, reserved := p.reserved[r.Turn]; !reserved && r.Budget >= 0 && p.charged()+r.Most > r.Budget {
		a.outcome = turnv1.Outcome_OUTCOME_BUDGET_SPENT
		a.charged, a.outstanding = p.charged(), p.outstanding()
		return a
	}
	until := now.Add(time.Duration(r.WithinMs) * time.Millisecond)
	p.reserved[r.Turn] = reservation{tokens: r.Most, until: until}
	p.use(now, r.KeepMs)
	a.charged, a.outstanding = p.charged(), p.outstanding()
	a.staleUse = until.After(p.recordedUse.Add(s.useLag))
	a.recordedCharge, a.forgiven = p.recordedCharge, p.forgiven
	if a.use = now; until.After(now.Add(s.useLag)) {
		a.use = until
	}
	// At most one turn may be missing in the records, since recoverCharges takes back the grant of one turn only.
	if a.charged > p.granted || a.charged-p.recordedCharge > r.Most {
		a.grant = a.charged
	}
	return a
}

// adopt reserves the tokens of a turn that has ended if its program is unknown, as an owner of an older build may have begun it
// without a record. Without that they would be charged to nobody.
func (s *state) adopt(r *turnv1.EndRequest, now time.Time) {
	if r.Tokens == 0 || s.programs[keyOf(r)] != nil {
		return
	}
	p := s.program(keyOf(r))
	p.reserved[r.Turn] = reservation{tokens: r.Tokens}
	p.use(now, r.KeepMs)
}

// settle replaces the reservation of a turn that has ended by the tokens that it generated. Its program is kept from now on.
func (s *state) settle(k programKey, turnID string, tokens int64, now time.Time) {
	p := s.programs[k]
	if p == nil {
		return
	}
	if _, ok := p.reserved[turnID]; !ok {
		// The reservation was made at an earlier owner, and recoverCharges has charged it.
		return
	}
	delete(p.reserved, turnID)
	p.spent += tokens
	p.lastUse = later(p.lastUse, now)
}

// maxSessions bounds the sessions of one program whose backend servers are remembered.
const maxSessions = 32

// remember records the backend server that ran a turn of a session.
func (s *state) remember(k programKey, session, backend string) {
	p := s.programs[k]
	if p == nil || backend == "" {
		return
	}
	p.lastBackend = backend
	if session == "" {
		return
	}
	if p.sessions == nil {
		p.sessions = map[string]string{}
	}
	if _, known := p.sessions[session]; known || len(p.sessions) < maxSessions {
		p.sessions[session] = backend
	}
}

// backendOf returns the backend server of the session's last turn. A session that is new to the program is that of a
// sub-agent, whose prompt begins like those of the program's other turns.
func (s *state) backendOf(k programKey, session string) string {
	p := s.programs[k]
	if p == nil || session == "" {
		return ""
	}
	if b := p.sessions[session]; b != "" {
		return b
	}
	return p.lastBackend
}

// totals are the token totals of a program in a record.
type totals struct{ granted, charged, forgiven int64 }

// nextGrant returns the totals to record with a completed turn. The grant covers the turns in progress and one more of
// the same size, so that the program's next turn can start without an append.
//
// The charge is at most one turn below the grant. While the record waits for the store, other turns may begin under the grants
// before it, and recoverCharges takes back all that is granted but not charged.
func (s *state) nextGrant(k programKey, turnID string, tokens, reservation int64) totals {
	return s.totalsAfter(k, turnID, tokens, reservation, func(int64) int64 { return reservation })
}

// totalsAfter returns the totals to record with the end of a turn. ahead is how far the grant reaches beyond the charge.
func (s *state) totalsAfter(k programKey, turnID string, tokens, reservation int64, ahead func(charged int64) int64) totals {
	p := s.programs[k]
	if p == nil {
		return totals{granted: tokens + reservation, charged: tokens}
	}
	charged := p.charged()
	if r, ok := p.reserved[turnID]; ok {
		charged += tokens - r.tokens
	}
	granted := max(p.granted, charged+ahead(charged))
	return totals{granted: granted, charged: max(charged, granted-reservation), forgiven: p.forgiven}
}

// grantAhead returns the grant to record when a turn ends whose history is not stored, so that the program's next turn
// can start without an append, and with advance grants those after it. It returns nil if none is requested or the program is
// unknown.
func (s *state) grantAhead(r *turnv1.EndRequest, now time.Time) *turnv1.Granted {
	if r.Most <= 0 || s.programs[keyOf(r)] == nil {
		return nil
	}
	next := s.totalsAfter(keyOf(r), r.Turn, r.Tokens, r.Most, func(charged int64) int64 {
		if !s.advanceGrants {
			return r.Most
		}
		return advance(r.Budget, charged, r.Most)
	})
	return &turnv1.Granted{
		Program: r.Program, Account: r.Account, Budget: r.Budget, Granted: next.granted, Charged: next.charged,
		Forgiven: next.forgiven, KeepMs: r.KeepMs, AtUnixMs: now.UnixMilli(),
	}
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

// historyToInline returns the history to include in the record of a turn that continues from previous, or nil if the
// records that contain it are recent enough.
func (s *state) historyToInline(previous turnKey, now time.Time) []byte {
	t := s.wholeTurn(previous)
	if t == nil || now.Sub(t.oldest) < s.inlineAfter {
		return nil
	}
	return t.history()
}

// expire removes the turns of programs that were not used for longer than their retention time plus slack, and the programs
// themselves once no owner can have begun a turn of theirs since.
func (s *state) expire(now time.Time, slack time.Duration) {
	for k, p := range s.programs {
		kept := p.keep + slack
		if now.Sub(p.usedUntil()) < kept {
			continue
		}
		s.removeTurns(p)
		if now.Sub(p.recordedUse.Add(s.useLag)) >= kept {
			delete(s.programs, k)
		}
	}
}

func (s *state) removeTurns(p *program) {
	for _, k := range p.turns {
		if t := s.turns[k]; t != nil {
			s.bytes -= t.size()
		}
		delete(s.turns, k)
	}
	p.turns = nil
}
