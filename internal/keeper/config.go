// Package keeper runs the scheduler for the engine groups of a data centre that this instance keeps, and asks the
// keepers of the others for permits.
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
	// Policy is one of the names in scheduler/framework. Empty means berylpond.
	Policy string
	// Settings, if set, replace the settings of Policy. Each group's objective is still its own.
	Settings *framework.Settings
	// LoadInterval is the pause between two load reports of one engine, for up to enginesPerInterval engines.
	LoadInterval time.Duration
	// EventsInterval is the pause between two reads of one engine's cache events.
	EventsInterval time.Duration
	// KeysInterval is the pause between two lists of one engine's held prefixes.
	KeysInterval time.Duration
	// PollTimeout bounds one poll of an engine.
	PollTimeout time.Duration
	// AdmitTimeout bounds how long a remote keeper may be silent about a call in its queue before it is taken
	// for unreachable. Keepers speak every queuedInterval.
	AdmitTimeout time.Duration
	// RetryPause is the pause before a call that lost its keeper is offered again.
	RetryPause time.Duration
}

const (
	defaultLoadInterval   = 200 * time.Millisecond
	defaultEventsInterval = 500 * time.Millisecond
	defaultKeysInterval   = 5 * time.Second
	defaultPollTimeout    = 2 * time.Second
	defaultRetryPause     = 20 * time.Millisecond
	defaultAdmitTimeout   = 2 * time.Second
	// queuedInterval is the pause between two signs of life to a remote call in the queue.
	queuedInterval = 500 * time.Millisecond
	// decideInterval is the longest pause between two decisions of a group.
	decideInterval = 50 * time.Millisecond
	// enginesPerInterval is the number of engines above which polls grow rarer.
	enginesPerInterval = 16
	// maxMoves bounds how often one call follows its group to another keeper before it is served degraded.
	maxMoves = 3
)

func (c Config) withDefaults() Config {
	setDefault(&c.LoadInterval, defaultLoadInterval)
	setDefault(&c.EventsInterval, defaultEventsInterval)
	setDefault(&c.KeysInterval, defaultKeysInterval)
	setDefault(&c.PollTimeout, defaultPollTimeout)
	setDefault(&c.RetryPause, defaultRetryPause)
	setDefault(&c.AdmitTimeout, defaultAdmitTimeout)
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Parts tells who holds which part of the data centre's work.
type Parts interface {
	// Holds reports whether this instance holds the part now, and under which term.
	Holds(part int) (term uint64, ok bool)
	// Holder returns the instance that is thought to hold the part.
	Holder(part int) (member.Instance, bool)
	// Parts returns the number of parts.
	Parts() int
}

// Dialer gives connections to the gRPC servers of other instances.
type Dialer interface {
	Conn(addr string) (grpc.ClientConnInterface, error)
}

// Group is one model of one team, with its engines in this data centre.
type Group struct {
	Team  string
	Model string
	// Engines are addresses, host:port.
	Engines []string
	// Drained holds the engines that get no new work.
	Drained map[string]bool
	// Objective is the team's weighing.
	Objective framework.Objective
}

// Call is a call that asks for a permit.
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
	// Kept is true where this instance holds the group's part; otherwise the figures are those of its own
	// degraded share.
	Kept bool
	framework.EngineStatus
}
