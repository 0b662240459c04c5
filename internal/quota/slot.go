package quota

import "time"

// SlotFloor is the small part of each account that only the occupant of one slot uses, so that an instance cut off
// from all others still serves. It isn't safe for concurrent use.
type SlotFloor struct {
	start    time.Time
	maxPause time.Duration
	lastSeen time.Time
	stopped  bool
	buckets  map[string]*Bucket
}

// NewSlotFloor returns the floor of an occupant that started at now. It serves once wait has passed, when a
// predecessor has noticed that it was replaced. An occupant that was paused for longer than wait has been replaced.
func NewSlotFloor(now time.Time, wait time.Duration) *SlotFloor {
	return &SlotFloor{start: now.Add(wait), maxPause: wait, lastSeen: now, buckets: map[string]*Bucket{}}
}

// Alive records that the process ran at now. It must be called several times within the wait.
func (s *SlotFloor) Alive(now time.Time) {
	if now.Sub(s.lastSeen) > s.maxPause {
		s.stopped = true
	}
	s.lastSeen = now
}

// Stop ends all use of the floor: the occupant leaves or was replaced.
func (s *SlotFloor) Stop() { s.stopped = true }

// Take spends n tokens of the floor if they are there.
func (s *SlotFloor) Take(now time.Time, account string, share Share, n float64) bool {
	s.Alive(now)
	if s.stopped || now.Before(s.start) || share.Slot.Burst < n {
		return false
	}
	b := s.buckets[account]
	if b == nil {
		b = &Bucket{at: s.start}
		s.buckets[account] = b
	}
	b.Fill(now, share.Slot)
	return b.Spend(n)
}
