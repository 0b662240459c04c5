// Package keeper grants permits for calls to model engines. Each group of engines in a data centre has one keeper: the
// instance that holds the group's shard runs its scheduler, and the others request permits from it.
package keeper

import (
	"time"

	"google.golang.org/grpc"

	"github.com/berylpond/berylpond/internal/member"
	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// Config of a Controller.
type Config struct {
	// DataCentre is the data centre whose engines are scheduled.
	DataCentre string
	// Policy is the name of a scheduling policy, see framework.Policy. Empty means berylpond.
	Policy string
	// Settings, if set, replaces the default settings of Policy. Each group still uses its own objective.
	Settings *framework.Settings
	// LoadInterval is the time between two load polls of an engine, for up to enginesPerInterval engines.
	LoadInterval time.Duration
	// EventsInterval is the time between two polls of an engine's cache events.
	EventsInterval time.Duration
	// KeysInterval is the time between two polls of an engine's list of cached prefixes.
	KeysInterval time.Duration
	// PollTimeout bounds one poll of an engine.
	PollTimeout time.Duration
	// KeepaliveTimeout is how long a remote keeper may send nothing about a queued call before it is considered
	// unreachable. Keepers send a keepalive every queuedKeepalive.
	KeepaliveTimeout time.Duration
	// RetryDelay is the delay before a call is resubmitted after its group has moved to another keeper.
	RetryDelay time.Duration
}

const (
	defaultLoadInterval     = 200 * time.Millisecond
	defaultEventsInterval   = 500 * time.Millisecond
	defaultKeysInterval     = 5 * time.Second
	defaultPollTimeout      = 2 * time.Second
	defaultRetryDelay       = 20 * time.Millisecond
	defaultKeepaliveTimeout = 2 * time.Second
	// queuedKeepalive is the interval of keepalives sent to another instance for its queued call.
	queuedKeepalive = 500 * time.Millisecond
	// decideInterval is the maximum time between two scheduling decisions of a group.
	decideInterval = 50 * time.Millisecond
	// enginesPerInterval is the number of engines above which poll intervals are lengthened.
	enginesPerInterval = 16
	// maxKeeperMoves bounds how often a call is submitted while its group moves between keepers, before it is admitted
	// in degraded mode.
	maxKeeperMoves = 3
)

func (c Config) withDefaults() Config {
	setDefault(&c.LoadInterval, defaultLoadInterval)
	setDefault(&c.EventsInterval, defaultEventsInterval)
	setDefault(&c.KeysInterval, defaultKeysInterval)
	setDefault(&c.PollTimeout, defaultPollTimeout)
	setDefault(&c.RetryDelay, defaultRetryDelay)
	setDefault(&c.KeepaliveTimeout, defaultKeepaliveTimeout)
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// ShardLeases tells which instance holds which shard of the data centre's work.
type ShardLeases interface {
	// HeldTerm reports whether this instance holds the shard now, and under which term.
	HeldTerm(shard int) (term uint64, ok bool)
	// Holder returns the instance that is believed to hold the shard.
	Holder(shard int) (member.Instance, bool)
	// ShardCount returns the number of shards.
	ShardCount() int
}

// Dialer provides connections to the gRPC servers of other instances.
type Dialer interface {
	Conn(addr string) (grpc.ClientConnInterface, error)
}

// Group is a group of engines: one model of one team, with its engines in this data centre.
type Group struct {
	Team  string
	Model string
	// Engines are addresses in the form host:port.
	Engines []string
	// Drained holds the engines that receive no new calls.
	Drained map[string]bool
	// Objective is the team's objective.
	Objective framework.Objective
}

// Call is a call that requests a permit.
type Call struct {
	Team  string
	Model string
	framework.Call
}

// Outcome is the end of a granted call.
type Outcome = framework.Outcome

// EngineStatus is the state of one engine as seen by this instance.
type EngineStatus struct {
	Team  string
	Model string
	// IsKeeper is set if this instance is the keeper of the group; otherwise the values are those of its own degraded-mode
	// scheduler.
	IsKeeper bool
	framework.EngineStatus
}
