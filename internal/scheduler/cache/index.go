// Package cache tracks which engine holds the prefix of which program, and for how long it is worth holding.
package cache

import (
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// Index is not safe for concurrent use.
type Index struct {
	settings *framework.Settings
	engines  map[string]map[string]*entry
	programs map[string]*program
	// ended holds programs that ended lately, with the time of their end.
	ended map[string]time.Time
	swept time.Time
}

// entry is one prefix thought to be held by an engine.
type entry struct {
	tokens int64
	// touched is when the entry was last set from here, or first seen on the engine.
	touched time.Time
	// ordered is when its release was last ordered. Zero means never.
	ordered time.Time
}

// program is what is known of one conversation.
type program struct {
	root string
	// children are the sub-agents of a root program.
	children []string
	// active counts its calls that are queued or in flight, those of its sub-agents included.
	active int
	// lastUse is the end of its last call.
	lastUse time.Time
	// pause is a moving mean of its pauses between calls, in seconds; 0 means not known.
	pause float64
	// began is when its first call was seen.
	began time.Time
	// attained is the cost of the service received; that of sub-agents is counted at the root.
	attained float64
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

// SetEngines forgets engines that are not in the list.
func (x *Index) SetEngines(addresses map[string]bool) {
	for address := range x.engines {
		if !addresses[address] {
			delete(x.engines, address)
		}
	}
}

// Cached estimates how many tokens of a program's prefix an engine holds, at most the prefix's length.
func (x *Index) Cached(engine, key string, prefix int64) int64 {
	e := x.engines[engine][key]
	if e == nil {
		return 0
	}
	return min(e.tokens, prefix)
}

// Held returns the number of prefixes and tokens that an engine is thought to hold.
func (x *Index) Held(engine string) (keys int, tokens int64) {
	for _, e := range x.engines[engine] {
		tokens += e.tokens
	}
	return len(x.engines[engine]), tokens
}

// Programs returns the number of programs tracked.
func (x *Index) Programs() int { return len(x.programs) }

func (x *Index) set(engine, key string, tokens int64, now time.Time) *entry {
	keys := x.engines[engine]
	if keys == nil {
		keys = map[string]*entry{}
		x.engines[engine] = keys
	}
	e := keys[key]
	if e == nil {
		e = &entry{touched: now}
		keys[key] = e
	}
	e.tokens = tokens
	return e
}

// Stored notes that a call has left a prefix of that length on an engine.
func (x *Index) Stored(now time.Time, engine, key string, tokens int64) {
	e := x.set(engine, key, tokens, now)
	e.touched = now
	e.ordered = time.Time{}
}

// Events takes in cache events of an engine. They are late: an event never undoes a newer own observation of
// the same prefix, save that an eviction is believed once the prefix has been idle for longer than events lag.
func (x *Index) Events(now time.Time, engine string, events []framework.CacheEvent) {
	for _, ev := range events {
		e := x.engines[engine][ev.Key]
		fresh := e != nil && now.Sub(e.touched) < eventLag
		switch {
		case ev.Kind == framework.Evicted && e != nil && !fresh:
			delete(x.engines[engine], ev.Key)
		case ev.Kind == framework.Stored && !fresh:
			x.set(engine, ev.Key, ev.Tokens, now)
		}
	}
}

// eventLag is the longest time by which cache events are thought to lag.
const eventLag = time.Second

// Keys takes in the list of all prefixes that an engine held at the instant it was asked.
func (x *Index) Keys(now, asked time.Time, engine string, held []framework.HeldKey) {
	listed := make(map[string]struct{}, len(held))
	for _, k := range held {
		listed[k.Key] = struct{}{}
		e := x.engines[engine][k.Key]
		if e == nil || e.touched.Before(asked) {
			x.set(engine, k.Key, k.Tokens, now)
		}
	}
	for key, e := range x.engines[engine] {
		if _, ok := listed[key]; !ok && e.touched.Before(asked) {
			delete(x.engines[engine], key)
		}
	}
}
