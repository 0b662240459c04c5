// Package intent indexes the requests that must not be repeated, as read from the log.
//
// The cell grants at most one claim per id for as long as it remembers the id. The index remembers ids for longer, so
// an executor looks up the id here after it was granted the claim and before it sends anything.
package intent

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	journalv1 "github.com/berylpond/berylpond/api/journal/v1"
	"github.com/berylpond/berylpond/internal/journal"
)

// Kinds of records in the stream of intents. A record's key is the request id.
const (
	// KindIntent means that the request may be sent to a backend server at any time after this record.
	KindIntent = "intent"
	// KindWithdrawn means that the request was not sent.
	KindWithdrawn = "intent-withdrawn"
	// KindOutcome carries the outcome of the request.
	KindOutcome = "intent-outcome"
)

// maxIDs bounds the index. With an id of 16 bytes, an entry and its list node take about 200 bytes.
const maxIDs = 1 << 18

// State is what the log holds about an id.
type State struct {
	// MayHaveRun is set when the request may have run.
	MayHaveRun bool
	// Outcome is the recorded outcome; empty if it is unknown.
	Outcome []byte
}

// Index holds the state of the ids in one data centre's stream of intents. It is safe for concurrent use.
type Index struct {
	onIntent func(id string)

	mu  sync.Mutex
	ids *lru.Cache[string, State]
}

// NewIndex returns an empty index. onIntent is called for each intent that is read.
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
		if s, ok := x.ids.Get(rec.Key); !ok || !s.MayHaveRun {
			x.ids.Add(rec.Key, State{MayHaveRun: true})
		}
	case KindWithdrawn:
		x.ids.Remove(rec.Key)
	case KindOutcome:
		x.ids.Add(rec.Key, State{MayHaveRun: true, Outcome: rec.Payload})
	}
}

// Gap implements journal.Handler. It does nothing: intents that expired from the log are older than the time for which
// ids are remembered.
func (x *Index) Gap(journal.Gap) {}

// Lookup returns the state of an id.
func (x *Index) Lookup(id string) State {
	x.mu.Lock()
	defer x.mu.Unlock()
	s, _ := x.ids.Get(id)
	return s
}
