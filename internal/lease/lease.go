// Package lease implements diskless majority leases that decide which slot of a cell holds each shard.
//
// Acceptor and Proposer are pure state machines without locks: the caller passes the time, transports the messages and
// serialises the calls. Safety depends on three durations. A proposer counts a grant for L from the time of sending. An
// acceptor supports a grant for L plus the margin from the time of receipt. A new incarnation of an acceptor grants
// nothing for L plus the margin, because its predecessor may have granted a lease.
package lease

import "time"

// MaxSlots is the largest number of slots, and of shards, of a cell.
const MaxSlots = 8

// maxVoters includes the witness.
const maxVoters = MaxSlots + 1

// Config holds the durations and the size of a cell.
type Config struct {
	// Slots is the number of slots, and of shards.
	Slots int
	// Witness adds a witness, the voter with the index Slots, to a cell of even size.
	Witness bool
	// Lease is L, the time for which a proposer counts a grant.
	Lease time.Duration
	// Margin covers the drift between two clocks during Lease.
	Margin time.Duration
	// Heartbeat is the interval between two rounds.
	Heartbeat time.Duration
}

// PromiseDuration is the time for which an acceptor supports a grant.
func (c Config) PromiseDuration() time.Duration { return c.Lease + c.Margin }

// MaxHandOverAge is the time for which the next holder may use the state that a holder hands over.
func (c Config) MaxHandOverAge() time.Duration { return c.PromiseDuration() }

// Voters is the number of voters: the slots, and the witness if there is one.
func (c Config) Voters() int {
	if c.Witness {
		return c.Slots + 1
	}
	return c.Slots
}

// Majority is the number of votes that form a quorum.
func (c Config) Majority() int { return c.Voters()/2 + 1 }

// Owner identifies one process that occupies a slot.
type Owner struct {
	Slot        int
	Incarnation uint64
}

// Grant identifies one lease of one shard.
type Grant struct {
	Shard   int
	Owner   Owner
	Term    uint64
	Attempt uint64
}

// State is an acceptor's view of one shard, and its response to a request for it.
type State struct {
	Shard int
	// Granted is set when the acceptor supports the requested grant.
	Granted bool
	// Held is set while the acceptor supports Holder.
	Held    bool
	Holder  Owner
	Term    uint64
	MaxTerm uint64
	// Previous is the term of the grant that the acceptor supported before the current one, 0 if there was none.
	// PreviousKnown is unset while an earlier incarnation of the acceptor may have supported a grant in between.
	Previous      uint64
	PreviousKnown bool
}
