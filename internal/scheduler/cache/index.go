// Package cache tracks which engine caches the prefix of which program, and how long each prefix is worth keeping.
package cache

import (
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// Index records the programs of a group and the prefixes cached by its engines. It is not safe for concurrent use.
type Index struct {
	settings *framework.Settings
	engines  map[string]map[string]*entry
	programs map[string]*program
	// ended holds the programs that ended recently, with the time of their end.
	ended     map[string]time.Time
	lastSweep time.Time
}

// entry is a prefix that an engine is believed to cache.
type entry struct {
	tokens int64
	// updated is when a call of this scheduler last stored the prefix, or when the engine first reported it.
	updated time.Time
	// releaseOrdered is when the engine was last ordered to release the prefix. Zero means never.
	releaseOrdered time.Time
}

// program is the state of one conversation.
type program struct {
	root string
	// children are the sub-agents of a root program.
	children []string
	// activeCalls counts the queued and in-flight calls, including those of its sub-agents.
	activeCalls int
	// lastUse is when its last call ended.
	lastUse time.Time
	// thinkTime is a moving mean of the time between the end of a call and the next call, in seconds; 0 means unknown.
	thinkTime float64
	// firstSeen is when its first call arrived.
	firstSeen time.Time
	// attainedService is the cost of the service received. Sub-agents are accounted to the root program.
	attainedService float64
}

// New returns an empty index.
func New(s *framework.Settings) *Index {
	return &Index{
		settings: s,
		engines:  map[string]map[string]*entry{},
		programs: map[string]*program{},
		ended:    map[string]time.Time{},
	}
}

// SetEngines removes the engines that are not in the list.
func (x *Index) SetEngines(addresses map[string]bool) {
	for address := range x.engines {
		if !addresses[address] {
			delete(x.engines, address)
		}
	}
}

// CachedTokens estimates how many of a program's prefix tokens an engine has cached. The result does not exceed prefix.
func (x *Index) CachedTokens(engine, key string, prefix int64) int64 {
	e := x.engines[engine][key]
	if e == nil {
		return 0
	}
	return min(e.tokens, prefix)
}

// CacheSize returns the number of prefixes, and their tokens, that an engine is believed to cache.
func (x *Index) CacheSize(engine string) (keys int, tokens int64) {
	for _, e := range x.engines[engine] {
		tokens += e.tokens
	}
	return len(x.engines[engine]), tokens
}

// ProgramCount returns the number of programs tracked.
func (x *Index) ProgramCount() int { return len(x.programs) }

func (x *Index) upsert(engine, key string, tokens int64, now time.Time) *entry {
	keys := x.engines[engine]
	if keys == nil {
		keys = map[string]*entry{}
		x.engines[engine] = keys
	}
	e := keys[key]
	if e == nil {
		e = &entry{updated: now}
		keys[key] = e
	}
	e.tokens = tokens
	return e
}

// RecordStored records that a call left a prefix of the given length in an engine's cache.
func (x *Index) RecordStored(now time.Time, engine, key string, tokens int64) {
	e := x.upsert(engine, key, tokens, now)
	e.updated = now
	e.releaseOrdered = time.Time{}
}

// ApplyEvents applies the cache events of an engine. Events arrive late, so one that concerns a prefix updated within
// maxEventLag is ignored: it may describe an earlier state.
func (x *Index) ApplyEvents(now time.Time, engine string, events []framework.CacheEvent) {
	for _, ev := range events {
		e := x.engines[engine][ev.Key]
		recent := e != nil && now.Sub(e.updated) < maxEventLag
		switch {
		case ev.Kind == framework.Evicted && e != nil && !recent:
			delete(x.engines[engine], ev.Key)
		case ev.Kind == framework.Stored && !recent:
			x.upsert(engine, ev.Key, ev.Tokens, now)
		}
	}
}

// maxEventLag is the assumed upper bound on the delay of cache events.
const maxEventLag = time.Second

// Reconcile reconciles the index with the complete list of prefixes that an engine cached at the time requestedAt.
// Entries updated since then are left unchanged.
func (x *Index) Reconcile(now, requestedAt time.Time, engine string, cached []framework.CachedPrefix) {
	listed := make(map[string]struct{}, len(cached))
	for _, k := range cached {
		listed[k.Key] = struct{}{}
		e := x.engines[engine][k.Key]
		if e == nil || e.updated.Before(requestedAt) {
			x.upsert(engine, k.Key, k.Tokens, now)
		}
	}
	for key, e := range x.engines[engine] {
		if _, ok := listed[key]; !ok && e.updated.Before(requestedAt) {
			delete(x.engines[engine], key)
		}
	}
}
