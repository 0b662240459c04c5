package quota

import "time"

// SlotFloor is the slot reserve: the small portion of each account's share that only the occupant of one slot spends,
// so that an instance isolated from all others can still admit requests. It isn't safe for concurrent use.
type SlotFloor struct {
	usableFrom time.Time
	maxPause   time.Duration
	lastAlive  time.Time
	stopped    bool
	buckets    map[string]*Bucket
}

// NewSlotFloor returns the reserve of an occupant that started at now. It becomes usable after wait, by which time the
// previous occupant has noticed that it was replaced. An occupant that was paused for longer than wait may itself have
// been replaced, and its reserve stops for good.
func NewSlotFloor(now time.Time, wait time.Duration) *SlotFloor {
	return &SlotFloor{usableFrom: now.Add(wait), maxPause: wait, lastAlive: now, buckets: map[string]*Bucket{}}
}

// Alive records that the process is running at now. It must be called several times within each wait.
func (s *SlotFloor) Alive(now time.Time) {
	if now.Sub(s.lastAlive) > s.maxPause {
		s.stopped = true
	}
	s.lastAlive = now
}

// Stop ends all use of the reserve, since the occupant leaves or was replaced.
func (s *SlotFloor) Stop() { s.stopped = true }

// Take spends n tokens of the reserve if it has that many, and reports whether it did.
func (s *SlotFloor) Take(now time.Time, account string, share Share, n float64) bool {
	s.Alive(now)
	if s.stopped || now.Before(s.usableFrom) || share.Slot.Burst < n {
		return false
	}
	b := s.buckets[account]
	if b == nil {
		b = &Bucket{at: s.usableFrom}
		s.buckets[account] = b
	}
	b.Fill(now, share.Slot)
	return b.Spend(n)
}
