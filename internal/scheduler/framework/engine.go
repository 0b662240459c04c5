package framework

import "time"

// LoadReport is a load report of an engine.
type LoadReport struct {
	Running          int
	Waiting          int
	KVUsedTokens     int64
	KVCapacityTokens int64
	// Age is how old the report was on arrival, where known.
	Age time.Duration
}

// CacheEventKind is what happened to a cached prefix.
type CacheEventKind string

// Kinds of cache events, as named in the engines' API.
const (
	Stored  CacheEventKind = "stored"
	Evicted CacheEventKind = "evicted"
)

// CacheEvent is an entry of an engine's stream of cache events. The stream is delayed and may have gaps.
type CacheEvent struct {
	Seq    uint64
	Kind   CacheEventKind
	Key    string
	Tokens int64
}

// CachedPrefix is an entry of an engine's list of cached prefixes.
type CachedPrefix struct {
	Key    string
	Tokens int64
}

// ReleaseOrder is an order to an engine to release cached prefixes.
type ReleaseOrder struct {
	Engine string
	Keys   []string
}

// EngineSpec is the configuration of an engine of the group.
type EngineSpec struct {
	Address string
	// Drained engines finish the calls that they have and receive no new ones.
	Drained bool
}

// Health is the health state of an engine.
type Health string

// Health states of an engine.
const (
	Healthy      Health = "healthy"
	Suspect      Health = "suspect"
	EngineFailed Health = "failed"
	Probation    Health = "probation"
)

// EngineStatus is a snapshot for operators and metrics.
type EngineStatus struct {
	Address        string
	Health         Health
	Drained        bool
	InFlight       int
	Limit          int
	Load           LoadReport
	CachedTokens   int64
	CachedPrefixes int
}
