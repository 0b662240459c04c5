// Package quota implements the state machines that divide each client account's rate and burst among data centres and
// instances, so that all instances together never admit more than rate*t+burst requests in any interval t.
//
// In each data centre, the instance that has the lease of an account's shard (the holder) runs a token bucket over the
// data centre's share of the limit. Holders lend unused rate, burst and tokens to each other. A small reserve of the
// share belongs to the slots of the data centre's cell, one bucket for each.
//
// Every token, and every unit of rate and burst, has exactly one owner at a time. A transfer debits the lender before
// the message is sent. A lost message makes the amount unavailable until the loan expires, but never duplicates it.
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
	// slotFraction is the fraction of a data centre's rate above slotExemptRate that is reserved for its slots.
	slotFraction = 0.02
	// slotBurstFraction is the fraction of its burst above slotExemptBurst that is reserved. It is larger, since a slot
	// needs a whole token to admit anything.
	slotBurstFraction = 0.1
	// slotExemptRate is the part of a data centre's rate, in requests per second, of which nothing is reserved for
	// slots.
	slotExemptRate = 20
	// slotExemptBurst is the part of a data centre's burst, in requests, of which nothing is reserved for slots.
	slotExemptBurst = 10
	// floorFraction is the fraction of a data centre's share that is never lent long-term.
	floorFraction = 0.05
	// minFloorBurst is the least burst, in requests, that is never lent long-term.
	minFloorBurst = 1
)

// Amount is a quantity of rate (requests per second) and burst (requests).
type Amount struct {
	Rate  float64
	Burst float64
}

// Share is the static portion of a Limit that belongs to one data centre.
type Share struct {
	// Holder belongs to the holder of the account's shard.
	Holder Amount
	// Floor is the portion of Holder that is never lent long-term.
	Floor Amount
	// PerSlot belongs to the occupant of each slot.
	PerSlot Amount
}

// SplitLimit returns the share of each of dcs data centres with the given number of slots. Holder and PerSlot are
// nondecreasing in the limit, so that instances with different versions in force stay, together, within the larger
// limit.
func SplitLimit(l Limit, dcs, slots int) Share {
	base := Amount{Rate: l.Rate / float64(dcs), Burst: l.Burst / float64(dcs)}
	reserved := Amount{
		Rate:  slotFraction * max(0, base.Rate-slotExemptRate),
		Burst: slotBurstFraction * max(0, base.Burst-slotExemptBurst),
	}
	if slots == 0 {
		reserved = Amount{}
	}
	s := Share{Holder: Amount{Rate: base.Rate - reserved.Rate, Burst: base.Burst - reserved.Burst}}
	if slots > 0 {
		s.PerSlot = Amount{Rate: reserved.Rate / float64(slots), Burst: reserved.Burst / float64(slots)}
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

// Fill adds the tokens accrued at a's rate since the last call, up to a.Burst. A now before the last call's adds none.
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

// Spend removes n tokens if the bucket has that many, and reports whether it did.
func (b *Bucket) Spend(n float64) bool {
	if b.level+tolerance < n {
		return false
	}
	b.level = max(0, b.level-n)
	return true
}

// tolerance, in requests, absorbs rounding errors in floating-point sums.
const tolerance = 1e-9
