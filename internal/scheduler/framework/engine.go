package framework

import "time"

// Load is one load report of an engine.
type Load struct {
	Running          int
	Waiting          int
	KVUsedTokens     int64
	KVCapacityTokens int64
	// Age is how old the report was when it arrived, as far as known.
	Age time.Duration
}

// CacheEventKind tells what happened to a cached prefix.
type CacheEventKind string

// Kinds of cache events, as the engines spell them.
const (
	Stored  CacheEventKind = "stored"
	Evicted CacheEventKind = "evicted"
)

// CacheEvent is one entry of an engine's late and gappy stream of cache events.
type CacheEvent struct {
	Seq    uint64
	Kind   CacheEventKind
	Key    string
	Tokens int64
}

// HeldKey is one entry of an engine's list of cached prefixes.
type HeldKey struct {
	Key    string
	Tokens int64
}

// Release asks that an engine frees prefixes.
type Release struct {
	Engine string
	Keys   []string
}

// EngineSpec names an engine of the group.
type EngineSpec struct {
	Address string
	// Drained engines finish what they have and get no new work.
	Drained bool
}

// Health is an engine's standing.
type Health string

// Standings of an engine.
const (
	Healthy   Health = "healthy"
	Suspect   Health = "suspect"
	Down      Health = "failed"
	Probation Health = "probation"
)

// EngineStatus is a snapshot for operators and metrics.
type EngineStatus struct {
	Address    string
	Health     Health
	Drained    bool
	InFlight   int
	Limit      int
	Reported   Load
	HeldTokens int64
	HeldKeys   int
}
