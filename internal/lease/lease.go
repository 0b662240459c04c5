// Package lease decides who holds each part of a cell: an acceptor and a proposer of diskless majority leases.
//
// Both are pure state machines without locks: the caller passes the time, carries the messages and serialises the
// calls. Safety rests on three durations. A proposer counts a grant for L from the moment of sending; an acceptor
// supports a grant for L plus the margin from the moment of receipt; a new acceptor incarnation grants nothing for L
// plus the margin, because its predecessor may have promised.
package lease

import "time"

// MaxSlots is the largest number of slots, and of parts, of a cell.
const MaxSlots = 8

// maxVoters counts the extra voter as well.
const maxVoters = MaxSlots + 1

// Config holds the durations and the size of a cell.
type Config struct {
	// Slots is the number of slots and of parts.
	Slots int
	// ExtraVoter is set when one more voter, at the index Slots, counts for a cell of even size.
	ExtraVoter bool
	// Lease is L, the time for which a grant counts.
	Lease time.Duration
	// Margin covers the drift between two clocks over Lease.
	Margin time.Duration
	// Heartbeat is the time between two rounds.
	Heartbeat time.Duration
}

// Promise is the time for which an acceptor supports a grant.
func (c Config) Promise() time.Duration { return c.Lease + c.Margin }

// MaxOfferAge is the time for which the state that a holder hands over may be taken in by the next one.
func (c Config) MaxOfferAge() time.Duration { return c.Promise() }

// Voters is the number of voters: the slots, and the extra voter if there is one.
func (c Config) Voters() int {
	if c.ExtraVoter {
		return c.Slots + 1
	}
	return c.Slots
}

// Majority is the number of voters that decide.
func (c Config) Majority() int { return c.Voters()/2 + 1 }

// Owner is one process in one slot.
type Owner struct {
	Slot        int
	Incarnation uint64
}

// Grant identifies one holding of one part.
type Grant struct {
	Part    int
	Owner   Owner
	Term    uint64
	Attempt uint64
}

// State is an acceptor's view of one part, and its answer to a request for it.
type State struct {
	Part int
	// Granted is set when the grant that was asked for is supported.
	Granted bool
	// Held is set while the acceptor supports Holder.
	Held    bool
	Holder  Owner
	Term    uint64
	MaxTerm uint64
	// Previous is the term of the grant that the acceptor supported before the one that it grants now; 0 if none.
	// PreviousKnown is unset while an earlier incarnation of the acceptor may have supported another one.
	Previous      uint64
	PreviousKnown bool
}
