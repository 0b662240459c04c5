package lease

import "time"

// LogAcceptor uses a totally ordered log as the witness of a cell. The log has no clock, so each writer evaluates its
// own records. A record that requests a grant names a quiet offset: by the writer's clock, every grant of the shard
// requested before that offset has been released or was not renewed for a promise. The record counts if no other grant
// was requested between the quiet offset and the record's own offset. Of two concurrent writers the first in offset
// order wins, or neither.
type LogAcceptor struct {
	cfg        Config
	self       Owner
	nextOffset int64
	shards     []loggedShard
}

type loggedShard struct {
	// latest is the grant requested last, other the newest record of any other grant.
	latest, other loggedGrant
	// displacedReadAt is the readAt of the last entry of other that was overwritten while its grant might be supported.
	displacedReadAt time.Time
	// requested is the local grant whose quiet offset is fixed; supported tells whether its last record counts.
	requested   Grant
	quietOffset int64
	supported   bool
	maxTerm     uint64
}

type loggedGrant struct {
	grant    Grant
	offset   int64
	readAt   time.Time
	released bool
}

// NewLogAcceptor returns an acceptor that has read no records.
func NewLogAcceptor(cfg Config, self Owner) *LogAcceptor {
	a := &LogAcceptor{cfg: cfg, self: self, shards: make([]loggedShard, cfg.Slots)}
	for i := range a.shards {
		a.shards[i].latest.offset, a.shards[i].other.offset = -1, -1
	}
	return a
}

// AdvanceTo advances the read position: every record before nextOffset has been applied.
func (a *LogAcceptor) AdvanceTo(nextOffset int64) { a.nextOffset = max(a.nextOffset, nextOffset) }

// QuietOffset returns the quiet offset for the record that requests g. ok is false while another grant may be
// supported. The caller must have applied every record up to an end of the log that it determined after it began the
// request.
func (a *LogAcceptor) QuietOffset(now time.Time, g Grant) (quietOffset int64, ok bool) {
	if g.Shard < 0 || g.Shard >= len(a.shards) {
		return 0, false
	}
	p := &a.shards[g.Shard]
	if p.requested == g {
		return p.quietOffset, true
	}
	if now.Sub(p.displacedReadAt) < a.cfg.PromiseDuration() || !a.isQuiet(now, p.latest) || !a.isQuiet(now, p.other) ||
		g.Term <= p.maxTerm {
		return 0, false
	}
	p.requested, p.quietOffset, p.supported = g, a.nextOffset, false
	return p.quietOffset, true
}

func (a *LogAcceptor) isQuiet(now time.Time, l loggedGrant) bool {
	return l.offset < 0 || l.released || l.grant.Owner == a.self || now.Sub(l.readAt) >= a.cfg.PromiseDuration()
}

// ApplyAcquire applies a record that requests a grant, in offset order. For a local record it reports whether it
// counts.
func (a *LogAcceptor) ApplyAcquire(now time.Time, offset int64, g Grant) bool {
	if g.Shard < 0 || g.Shard >= len(a.shards) {
		return false
	}
	p := &a.shards[g.Shard]
	released := p.latest.grant == g && p.latest.released
	if p.latest.grant != g {
		if !a.isQuiet(now, p.other) && p.other.grant != g {
			p.displacedReadAt = p.other.readAt
		}
		p.other = p.latest
	}
	p.latest = loggedGrant{grant: g, offset: offset, readAt: now, released: released}
	p.maxTerm = max(p.maxTerm, g.Term)
	p.supported = g == p.requested && !released && p.other.offset < p.quietOffset
	return p.supported
}

// ApplyRelease applies a record that releases a grant.
func (a *LogAcceptor) ApplyRelease(g Grant) {
	if g.Shard < 0 || g.Shard >= len(a.shards) {
		return
	}
	if p := &a.shards[g.Shard]; p.latest.grant == g {
		p.latest.released = true
	}
}

// Requested reports whether the grant was requested from the log, so that its release must be written there.
func (a *LogAcceptor) Requested(g Grant) bool {
	return g.Shard >= 0 && g.Shard < len(a.shards) && a.shards[g.Shard].requested == g
}

// State returns the view of one shard; granted tells that the local request was read back and counts.
func (a *LogAcceptor) State(now time.Time, shard int, granted bool) State {
	p := &a.shards[shard]
	s := State{Shard: shard, Granted: granted, MaxTerm: p.maxTerm}
	if p.latest.offset >= 0 && !p.latest.released && now.Sub(p.latest.readAt) < a.cfg.PromiseDuration() {
		s.Held, s.Holder, s.Term = true, p.latest.grant.Owner, p.latest.grant.Term
	}
	return s
}
