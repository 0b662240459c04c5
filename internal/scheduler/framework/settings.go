package framework

import "time"

// Policy names a set of decisions.
type Policy string

// Policies: two baselines to measure against, and the scheduler's own.
const (
	FIFORoundRobin Policy = "fifo-round-robin"
	LeastLoaded    Policy = "least-loaded"
	Berylpond      Policy = "berylpond"
)

// Parse returns the policy of that name. An empty name is Berylpond.
func Parse(name string) (Policy, bool) {
	switch p := Policy(name); p {
	case FIFORoundRobin, LeastLoaded, Berylpond:
		return p, true
	case "":
		return Berylpond, true
	default:
		return "", false
	}
}

// Objective weighs the four figures that a team cares for. A zero Objective weighs them evenly.
type Objective struct {
	ProgramLatency     float64
	WastedCache        float64
	RefusalsWithinRate float64
	WorstServedAccount float64
}

// Share returns w as a ratio to the mean weight: 1 where all are even.
func (o Objective) Share(w float64) float64 {
	sum := o.ProgramLatency + o.WastedCache + o.RefusalsWithinRate + o.WorstServedAccount
	if sum <= 0 {
		return 1
	}
	return 4 * w / sum
}

// CostWeights are the costs of tokens, in units of one uncached prompt token.
type CostWeights struct {
	Prompt     float64
	Cached     float64
	Completion float64
}

// Settings of one group. Every part of the policy has a switch of its own, so that it can be left out of a measurement.
type Settings struct {
	// FairAccounts serves accounts by weighted service received; otherwise the queue is in order of arrival.
	FairAccounts bool
	// ProgramOrder serves the programs of an account by least attained service; otherwise in order of arrival.
	ProgramOrder bool
	// RefuseEarly refuses calls whose deadline can no longer be met.
	RefuseEarly bool
	// Affinity counts the prefix that an engine lacks as cost.
	Affinity bool
	// LeastWait sends a call where the expected wait is shortest; otherwise engines take turns.
	LeastWait bool
	// Retention gives prefixes leases and orders the release of those that expired.
	Retention bool
	// HoldBack keeps the engines' own queues short; otherwise a call goes out as it comes.
	HoldBack bool

	Objective Objective
	Cost      CostWeights
	// MaxQueuedPerAccount bounds the queue of one account.
	MaxQueuedPerAccount int
	// ReservedForBegun is the part of an account's queue that only programs already begun may use.
	ReservedForBegun float64
	// InitialConcurrency is an engine's limit before anything is learned about it.
	InitialConcurrency int
	// MaxConcurrency bounds the learned limit.
	MaxConcurrency int
	// ConcurrencyShare scales limits, for a scheduler that does not have the group to itself. Zero means 1.
	ConcurrencyShare float64
	// AgeingHalf is the age after which a program's attained service counts half.
	AgeingHalf time.Duration
	// MaxQueueWait is the longest that a call stays queued.
	MaxQueueWait time.Duration
	// LeaseTime is how long a prefix is kept without use before anything is known of the program's pauses.
	LeaseTime time.Duration
	// ReportDecay is the time constant with which a load report loses its weight.
	ReportDecay time.Duration
	// ProbationAfter is the first pause after an engine failed; it doubles with each further failure.
	ProbationAfter time.Duration
	// RetryRatio is the share of calls that may be retries.
	RetryRatio float64
}

// Defaults returns the settings of a policy.
func Defaults(p Policy) Settings {
	s := Settings{
		Cost:                CostWeights{Prompt: 1, Cached: 0.1, Completion: 4},
		MaxQueuedPerAccount: 512,
		ReservedForBegun:    0.25,
		InitialConcurrency:  8,
		MaxConcurrency:      256,
		AgeingHalf:          2 * time.Second,
		MaxQueueWait:        30 * time.Second,
		LeaseTime:           60 * time.Second,
		ReportDecay:         time.Second,
		ProbationAfter:      500 * time.Millisecond,
		RetryRatio:          0.1,
	}
	switch p {
	case FIFORoundRobin:
	case LeastLoaded:
		s.LeastWait = true
	default:
		s.FairAccounts, s.ProgramOrder, s.RefuseEarly = true, true, true
		s.Affinity, s.LeastWait, s.Retention, s.HoldBack = true, true, true, true
	}
	return s
}

// Of returns the cost of a call. Cached tokens are part of the prompt.
func (w CostWeights) Of(prompt, cached, completion int64) float64 {
	return w.Prompt*float64(prompt-cached) + w.Cached*float64(cached) + w.Completion*float64(completion)
}

// Bounds of the factor by which the objective moves a parameter.
const (
	minFactor = 0.5
	maxFactor = 2
)

// Patience is how long a call waits before it is refused: longer where refusals weigh more.
func (s *Settings) Patience() time.Duration {
	return time.Duration(s.refusalFactor() * float64(s.MaxQueueWait))
}

// QueueLimit is the number of calls that one account may queue: higher where refusals weigh more.
func (s *Settings) QueueLimit() int {
	return max(1, int(s.refusalFactor()*float64(s.MaxQueuedPerAccount)))
}

func (s *Settings) refusalFactor() float64 {
	return min(maxFactor, max(minFactor, s.Objective.Share(s.Objective.RefusalsWithinRate)))
}
