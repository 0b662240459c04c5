package lease

import "time"

// LogAcceptor turns a totally ordered log into one more voter. The log has no clock, so each writer judges its own
// records: a record that asks for a grant names an offset before which, by the writer's clock, every grant of the part
// was released or has been silent for a promise; it counts if no other grant was asked for between that offset and its
// own. Of two writers that ask at once the first in offset order wins, or neither.
type LogAcceptor struct {
	cfg   Config
	self  Owner
	next  int64
	parts []loggedPart
}

type loggedPart struct {
	// top is the grant asked for last, other the newest record of any other grant.
	top, other loggedGrant
	// older is when a foreign grant that other has displaced was last read of.
	older time.Time
	// asked is the own grant whose quiet offset is fixed, and supported whether its last record counts.
	asked     Grant
	quietFrom int64
	supported bool
	maxTerm   uint64
}

type loggedGrant struct {
	grant    Grant
	offset   int64
	readAt   time.Time
	released bool
}

// NewLogAcceptor returns an acceptor that has read nothing.
func NewLogAcceptor(cfg Config, self Owner) *LogAcceptor {
	a := &LogAcceptor{cfg: cfg, self: self, parts: make([]loggedPart, cfg.Slots)}
	for i := range a.parts {
		a.parts[i].top.offset, a.parts[i].other.offset = -1, -1
	}
	return a
}

// Read notes that every record before the offset next was read.
func (a *LogAcceptor) Read(next int64) { a.next = max(a.next, next) }

// Ask returns the quiet offset of the record that asks for g. ok is false while another grant may be supported.
// Every record of the log has to have been read, up to an end taken after the call began.
func (a *LogAcceptor) Ask(now time.Time, g Grant) (quietFrom int64, ok bool) {
	if g.Part < 0 || g.Part >= len(a.parts) {
		return 0, false
	}
	p := &a.parts[g.Part]
	if p.asked == g {
		return p.quietFrom, true
	}
	if now.Sub(p.older) < a.cfg.Promise() || !a.quiet(now, p.top) || !a.quiet(now, p.other) || g.Term <= p.maxTerm {
		return 0, false
	}
	p.asked, p.quietFrom, p.supported = g, a.next, false
	return p.quietFrom, true
}

func (a *LogAcceptor) quiet(now time.Time, l loggedGrant) bool {
	return l.offset < 0 || l.released || l.grant.Owner == a.self || now.Sub(l.readAt) >= a.cfg.Promise()
}

// Acquire takes in a record that asks for a grant, in offset order. For an own record it reports whether it counts.
func (a *LogAcceptor) Acquire(now time.Time, offset int64, g Grant) bool {
	if g.Part < 0 || g.Part >= len(a.parts) {
		return false
	}
	p := &a.parts[g.Part]
	released := p.top.grant == g && p.top.released
	if p.top.grant != g {
		if !a.quiet(now, p.other) && p.other.grant != g {
			p.older = p.other.readAt
		}
		p.other = p.top
	}
	p.top = loggedGrant{grant: g, offset: offset, readAt: now, released: released}
	p.maxTerm = max(p.maxTerm, g.Term)
	p.supported = g == p.asked && !released && p.other.offset < p.quietFrom
	return p.supported
}

// Release takes in a record that releases a grant.
func (a *LogAcceptor) Release(g Grant) {
	if g.Part < 0 || g.Part >= len(a.parts) {
		return
	}
	if p := &a.parts[g.Part]; p.top.grant == g {
		p.top.released = true
	}
}

// Asked reports whether the log has been asked for the grant, so that its release has to be written.
func (a *LogAcceptor) Asked(g Grant) bool {
	return g.Part >= 0 && g.Part < len(a.parts) && a.parts[g.Part].asked == g
}

// State returns the view of one part; granted tells that a record asking for g was read back and counts.
func (a *LogAcceptor) State(now time.Time, part int, granted bool) State {
	p := &a.parts[part]
	s := State{Part: part, Granted: granted, MaxTerm: p.maxTerm}
	if p.top.offset >= 0 && !p.top.released && now.Sub(p.top.readAt) < a.cfg.Promise() {
		s.Held, s.Holder, s.Term = true, p.top.grant.Owner, p.top.grant.Term
	}
	return s
}
