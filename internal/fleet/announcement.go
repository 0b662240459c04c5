package fleet

import "time"

// announcementMemory is how long the announcements of a server without an entry are remembered: entries may expire with a
// store outage and come back, while a server that leaves exits within seconds of its announcement.
const announcementMemory = 5 * time.Minute

// announcement is what one incarnation of a server has announced in its responses. It outlives the server's entry, which
// may expire and come back.
type announcement struct {
	service, address string
	incarnation      int64
	leavingSince     time.Time
	limit            limitState
	at               time.Time
}

func (a announcement) appliesTo(e Entry) bool {
	return a.service == e.Service && a.address == e.Address && a.incarnation == e.Incarnation
}

// announcer returns the server that b's announcements apply to: the one with b's entry, even if the entry has expired and
// come back since b was picked. f.mu must be held.
func (f *Fleet) announcer(b *Backend) *server {
	s := f.byID[b.ID]
	if s != nil && s.Service == b.Service && s.Address == b.Address && s.Incarnation == b.Incarnation {
		return s
	}
	return b.server
}

// remember keeps what a server has announced, unless its id belongs to another incarnation by now. f.mu must be held.
func (f *Fleet) remember(s *server, now time.Time) {
	if current := f.byID[s.ID]; current != nil && current != s {
		return
	}
	if s.leavingSince.IsZero() && !s.limit.Announced {
		delete(f.announced, s.ID)
		return
	}
	for id, a := range f.announced {
		if f.byID[id] == nil && now.Sub(a.at) > announcementMemory {
			delete(f.announced, id)
		}
	}
	f.announced[s.ID] = announcement{
		service: s.Service, address: s.Address, incarnation: s.Incarnation, leavingSince: s.leavingSince, limit: s.limit,
		at: now,
	}
}

// MarkLeaving records that a server has announced in a response that it is leaving. It is avoided at once, and never
// picked after half of the drain period, whatever its entry says, until it restarts.
func (f *Fleet) MarkLeaving(b *Backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markLeaving(f.announcer(b))
}

// MarkLeavingID is MarkLeaving for an announcement that another instance has received. It reports whether the announcement
// is new.
func (f *Fleet) MarkLeavingID(id string, incarnation int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.byID[id]
	return s != nil && s.Incarnation == incarnation && f.markLeaving(s)
}

// markLeaving reports whether the announcement is new. f.mu must be held.
func (f *Fleet) markLeaving(s *server) bool {
	if !s.leavingSince.IsZero() {
		return false
	}
	now := f.now()
	s.leavingSince = now
	f.remember(s, now)
	return true
}

// InService reports whether an incarnation of a server is registered, does not drain and has not announced that it is
// leaving.
func (f *Fleet) InService(id string, incarnation int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.byID[id]
	return s != nil && s.Incarnation == incarnation && !s.Draining && s.leavingSince.IsZero()
}

// IsLeaving reports whether the server has announced that it is leaving.
func (f *Fleet) IsLeaving(b *Backend) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.announcer(b).leavingSince.IsZero()
}
