// Package quota holds the state machines that split each client account's rate and burst over data centres and
// instances, so that all instances together never admit more than rate*t+burst in any time t.
//
// Every token, and every unit of rate and burst, belongs to exactly one place at a time. A unit that moves is taken
// off its lender first; a message that is lost loses it for the term of the loan and never doubles it.
package quota

import "time"

// Limit is what a client account may use across all instances together.
type Limit struct {
	Account string
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests.
	Burst float64
}

const (
	// slotFraction of what a data centre has above slotFreeRate and slotFreeBurst is kept by its slots.
	slotFraction = 0.02
	// slotBurstFraction is the same for burst; a slot needs a whole token to serve at all.
	slotBurstFraction = 0.1
	// slotFreeRate is the data centre's rate, in requests per second, of which slots keep nothing.
	slotFreeRate = 20
	// slotFreeBurst is the data centre's burst, in requests, of which slots keep nothing.
	slotFreeBurst = 10
	// floorFraction of a data centre's share is never lent.
	floorFraction = 0.05
	// minFloorBurst is the burst, in requests, below which a data centre lends none for a long term.
	minFloorBurst = 1
)

// Amount is a quantity of rate (requests per second) and burst (requests).
type Amount struct {
	Rate  float64
	Burst float64
}

// Share is one data centre's static part of a Limit.
type Share struct {
	// Holder belongs to the holder of the account's part.
	Holder Amount
	// Floor is the part of Holder that is never lent for a long term.
	Floor Amount
	// Slot belongs to the occupant of each slot.
	Slot Amount
}

// Split returns the share of each of dcs data centres with the given number of slots. Holder and Slot are
// nondecreasing in the limit, so that instances on two versions together stay within the larger one.
func Split(l Limit, dcs, slots int) Share {
	base := Amount{Rate: l.Rate / float64(dcs), Burst: l.Burst / float64(dcs)}
	kept := Amount{
		Rate:  slotFraction * max(0, base.Rate-slotFreeRate),
		Burst: slotBurstFraction * max(0, base.Burst-slotFreeBurst),
	}
	if slots == 0 {
		kept = Amount{}
	}
	s := Share{Holder: Amount{Rate: base.Rate - kept.Rate, Burst: base.Burst - kept.Burst}}
	if slots > 0 {
		s.Slot = Amount{Rate: kept.Rate / float64(slots), Burst: kept.Burst / float64(slots)}
	}
	s.Floor.Rate = floorFraction * s.Holder.Rate
	s.Floor.Burst = min(s.Holder.Burst, max(minFloorBurst, floorFraction*s.Holder.Burst))
	return s
}

// Bucket is a token bucket of fixed rate and burst. The zero value is empty.
type Bucket struct {
	level float64
	at    time.Time
}

// Fill adds what a accrued since the last call, up to a.Burst. Time never runs backwards.
func (b *Bucket) Fill(now time.Time, a Amount) {
	if b.at.IsZero() {
		b.at = now
	}
	if now.After(b.at) {
		b.level += a.Rate * now.Sub(b.at).Seconds()
		b.at = now
	}
	b.level = min(b.level, a.Burst)
}

// Spend takes n tokens and reports whether there were as many.
func (b *Bucket) Spend(n float64) bool {
	if b.level+tolerance < n {
		return false
	}
	b.level = max(0, b.level-n)
	return true
}

// tolerance, in requests, absorbs rounding of floating-point sums.
const tolerance = 1e-9
