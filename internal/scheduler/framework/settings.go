package framework

import "time"

// Policy names a scheduling policy: a preset of Settings.
type Policy string

// Policies: two baselines for comparison, and the scheduler's own.
const (
	FIFORoundRobin Policy = "fifo-round-robin"
	LeastLoaded    Policy = "least-loaded"
	Berylpond      Policy = "berylpond"
)

// ParsePolicy returns the policy of that name. The empty name selects Berylpond.
func ParsePolicy(name string) (Policy, bool) {
	switch p := Policy(name); p {
	case FIFORoundRobin, LeastLoaded, Berylpond:
		return p, true
	case "":
		return Berylpond, true
	default:
		return "", false
	}
}

// Objective holds a team's weights for the four quantities to optimize. The zero value weights them equally.
type Objective struct {
	ProgramLatency     float64
	WastedCache        float64
	RefusalsWithinRate float64
	WorstServedAccount float64
}

// RelativeWeight returns the ratio of weight w to the mean of the four weights; 1 if all are equal.
func (o Objective) RelativeWeight(w float64) float64 {
	sum := o.ProgramLatency + o.WastedCache + o.RefusalsWithinRate + o.WorstServedAccount
	if sum <= 0 {
		return 1
	}
	return 4 * w / sum
}

// CostWeights are the costs of a token of each kind, in units of one uncached prompt token.
type CostWeights struct {
	Prompt     float64
	Cached     float64
	Completion float64
}

// Settings are the settings of one group. Each part of the policy has its own switch, so that its effect can be
// measured by leaving it out.
type Settings struct {
	// FairQueueing orders accounts by weighted service received; otherwise all calls share one queue.
	FairQueueing bool
	// LeastAttainedService orders the calls of an account by the attained service of their program, least first;
	// otherwise by arrival.
	LeastAttainedService bool
	// EarlyRefusal refuses calls whose deadline can no longer be met, and first turns whose expected wait exceeds
	// QueueTimeout.
	EarlyRefusal bool
	// PrefixAffinity adds the time to recompute the part of the prefix that an engine lacks to its cost.
	PrefixAffinity bool
	// CostBasedPlacement sends a call to the engine with the lowest expected cost; otherwise engines are used in
	// round-robin order.
	CostBasedPlacement bool
	// Retention gives cached prefixes leases and orders the release of those that expired.
	Retention bool
	// LimitConcurrency enforces the engines' concurrency limits, which keeps the engines' own queues short; otherwise
	// calls are sent as they arrive.
	LimitConcurrency bool

	Objective Objective
	Cost      CostWeights
	// MaxQueuedPerAccount bounds the number of queued calls of one account.
	MaxQueuedPerAccount int
	// ReservedForStarted is the fraction of an account's queue reserved for programs that have had a turn.
	ReservedForStarted float64
	// InitialConcurrency is the concurrency limit of an engine before its first load report.
	InitialConcurrency int
	// MaxConcurrency bounds the learned concurrency limit.
	MaxConcurrency int
	// ConcurrencyScale scales concurrency limits for a scheduler that shares the engines with others. Zero means 1.
	ConcurrencyScale float64
	// AgeingHalfLife is the half-life of attained service: the age of a program at which its service counts half.
	AgeingHalfLife time.Duration
	// MaxQueueWait is the maximum time that a call stays queued, before scaling by the objective.
	MaxQueueWait time.Duration
	// LeaseTime is the minimum time that an unused prefix is kept, and the lease while the program's think time is
	// unknown.
	LeaseTime time.Duration
	// ReportDecayTime is the time constant with which the weight of a load report decays.
	ReportDecayTime time.Duration
	// ProbationBackoff is the first backoff after an engine failed; it doubles with each further failure.
	ProbationBackoff time.Duration
	// RetryRatio is the number of retries allowed for each first attempt.
	RetryRatio float64
}

// DefaultSettings returns the default settings of a policy.
func DefaultSettings(p Policy) Settings {
	s := Settings{
		Cost:                CostWeights{Prompt: 1, Cached: 0.1, Completion: 4},
		MaxQueuedPerAccount: 512,
		ReservedForStarted:  0.25,
		InitialConcurrency:  8,
		MaxConcurrency:      256,
		AgeingHalfLife:      2 * time.Second,
		MaxQueueWait:        30 * time.Second,
		LeaseTime:           60 * time.Second,
		ReportDecayTime:     time.Second,
		ProbationBackoff:    500 * time.Millisecond,
		RetryRatio:          0.1,
	}
	switch p {
	case FIFORoundRobin:
	case LeastLoaded:
		s.CostBasedPlacement = true
	default:
		s.FairQueueing, s.LeastAttainedService, s.EarlyRefusal = true, true, true
		s.PrefixAffinity, s.CostBasedPlacement, s.Retention, s.LimitConcurrency = true, true, true, true
	}
	return s
}

// Cost returns the cost of a call. Cached tokens are included in the prompt tokens.
func (w CostWeights) Cost(prompt, cached, completion int64) float64 {
	return w.Prompt*float64(prompt-cached) + w.Cached*float64(cached) + w.Completion*float64(completion)
}

// Bounds of the factor by which the objective scales the queue limits.
const (
	minRefusalFactor = 0.5
	maxRefusalFactor = 2
)

// QueueTimeout returns how long a call waits before it is refused. It grows with the weight of refusals in the
// objective.
func (s *Settings) QueueTimeout() time.Duration {
	return time.Duration(s.refusalFactor() * float64(s.MaxQueueWait))
}

// QueueLimit returns the number of calls that one account may queue. It grows with the weight of refusals in the
// objective.
func (s *Settings) QueueLimit() int {
	return max(1, int(s.refusalFactor()*float64(s.MaxQueuedPerAccount)))
}

func (s *Settings) refusalFactor() float64 {
	return min(maxRefusalFactor, max(minRefusalFactor, s.Objective.RelativeWeight(s.Objective.RefusalsWithinRate)))
}
