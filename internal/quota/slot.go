package quota

import "time"

// SlotReserve is the slot reserve: the small portion of each account's share that only the occupant of one slot spends,
// so that an instance isolated from all others can still admit requests. It isn't safe for concurrent use.
type SlotReserve struct {
	usableFrom time.Time
	maxPause   time.Duration
	lastAlive  time.Time
	stopped    bool
	buckets    map[string]*Bucket
}

// NewSlotReserve returns the reserve of an occupant that started at now. It becomes usable after wait, by which time
// the previous occupant has noticed that it was replaced. An occupant that was paused for longer than wait may itself
// have been replaced, and its reserve stops for good.
func NewSlotReserve(now time.Time, wait time.Duration) *SlotReserve {
	return &SlotReserve{usableFrom: now.Add(wait), maxPause: wait, lastAlive: now, buckets: map[string]*Bucket{}}
}

// RecordAlive records that the process is running at now. It must be called several times within each wait.
func (s *SlotReserve) RecordAlive(now time.Time) {
	if now.Sub(s.lastAlive) > s.maxPause {
		s.stopped = true
	}
	s.lastAlive = now
}

// Stop ends all use of the reserve, since the occupant leaves or was replaced.
func (s *SlotReserve) Stop() { s.stopped = true }

// Take spends n tokens of the reserve if it has that many, and reports whether it did.
func (s *SlotReserve) Take(now time.Time, account string, share Share, n float64) bool {
	s.RecordAlive(now)
	if s.stopped || now.Before(s.usableFrom) || share.PerSlot.Burst < n {
		return false
	}
	b := s.buckets[account]
	if b == nil {
		b = &Bucket{at: s.usableFrom}
		s.buckets[account] = b
	}
	b.Fill(now, share.PerSlot)
	return b.Spend(n)
}
