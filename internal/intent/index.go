// Package intent keeps the index of requests that must not be repeated, as read from the log.
//
// The cell arbitrates between attempts of one id while it remembers the id. The index remembers ids for longer: an
// executor looks here after it has the claim and before it sends anything.
package intent

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	journalv1 "github.com/berylpond/berylpond/api/journal/v1"
	"github.com/berylpond/berylpond/internal/journal"
)

// Kinds of records on the stream of intents. The record's key is the request id.
const (
	// KindIntent says that the request may be sent to a backend server from now on.
	KindIntent = "intent"
	// KindWithdrawn says that nothing was sent.
	KindWithdrawn = "intent-withdrawn"
	// KindOutcome carries the outcome.
	KindOutcome = "intent-outcome"
)

// maxIDs bounds the index. At 16 bytes of hash, an entry and its list node take about 200 bytes.
const maxIDs = 1 << 18

// State is what the log says of an id.
type State struct {
	// Known is set when the request may have run.
	Known bool
	// Outcome is what the request gave; empty when it is not known.
	Outcome []byte
}

// Index follows the stream of intents of one data centre. It is safe for concurrent use.
type Index struct {
	onIntent func(id string)

	mu  sync.Mutex
	ids *lru.Cache[string, State]
}

// NewIndex returns an empty index. onIntent is called for each intent that was read.
func NewIndex(onIntent func(id string)) *Index {
	ids, err := lru.New[string, State](maxIDs)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Index{onIntent: onIntent, ids: ids}
}

// Apply implements journal.Handler.
func (x *Index) Apply(_ journal.Position, rec *journalv1.Record) {
	x.apply(rec)
	if rec.Kind == KindIntent {
		x.onIntent(rec.Key)
	}
}

func (x *Index) apply(rec *journalv1.Record) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch rec.Kind {
	case KindIntent:
		if s, ok := x.ids.Get(rec.Key); !ok || !s.Known {
			x.ids.Add(rec.Key, State{Known: true})
		}
	case KindWithdrawn:
		x.ids.Remove(rec.Key)
	case KindOutcome:
		x.ids.Add(rec.Key, State{Known: true, Outcome: rec.Payload})
	}
}

// Gap implements journal.Handler. Expired intents are older than the time for which ids are remembered.
func (x *Index) Gap(journal.Gap) {}

// Lookup returns what was read of the id.
func (x *Index) Lookup(id string) State {
	x.mu.Lock()
	defer x.mu.Unlock()
	s, _ := x.ids.Get(id)
	return s
}
