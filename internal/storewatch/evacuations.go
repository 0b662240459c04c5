package storewatch

import (
	"slices"
	"sync"

	"github.com/berylpond/berylpond/platform"
)

// Evacuations is the set of data centres whose backend servers must get nothing new, as of an offset in the operator's
// topic. It is safe for concurrent use.
//
// Load pattern: an operator empties a data centre and takes it back, within a second at times, while instances switch
// between the store and a peer that may lag behind it. Later offsets win, so that an evacuation is never taken back by
// older news.
type Evacuations struct {
	mu sync.Mutex
	// offset is that of the first record that is not included; zero before the first read.
	offset int64
	names  map[string]bool
	// onChange is called with the data centres after each change, in order.
	onChange func(dataCentres []string)
}

// NewEvacuations returns an empty set. onChange must not call back.
func NewEvacuations(onChange func(dataCentres []string)) *Evacuations {
	return &Evacuations{names: map[string]bool{}, onChange: onChange}
}

// Current returns the data centres in order and the offset up to which the set is current.
func (e *Evacuations) Current() (dataCentres []string, offset int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sorted(), e.offset
}

func (e *Evacuations) sorted() []string {
	out := make([]string, 0, len(e.names))
	for n := range e.names {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// Replace sets the data centres as of an offset. A set that is older than the known one, or of no known offset, is ignored.
func (e *Evacuations) Replace(dataCentres []string, offset int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if offset <= 0 || offset < e.offset {
		return
	}
	before := e.sorted()
	e.offset, e.names = offset, map[string]bool{}
	for _, n := range dataCentres {
		e.names[n] = true
	}
	e.report(before)
}

// replaceNewest sets the data centres to those of the newest record of each key.
func (e *Evacuations) replaceNewest(records []platform.KeyedRecord, end int64) {
	var names []string
	for _, r := range records {
		if name, ok := platform.EvacuatedDataCentre(r.Key); ok && len(r.Value) > 0 {
			names = append(names, name)
		}
	}
	e.Replace(names, end)
}

// apply updates the set with the record at an offset. Records before the known offset are ignored.
func (e *Evacuations) apply(r platform.KeyedRecord, offset int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if offset < e.offset {
		return
	}
	e.offset = offset + 1
	name, ok := platform.EvacuatedDataCentre(r.Key)
	if !ok {
		return
	}
	before := e.sorted()
	if len(r.Value) > 0 {
		e.names[name] = true
	} else {
		delete(e.names, name)
	}
	e.report(before)
}

// report calls onChange if the set is no longer the one before. e.mu must be held, so that changes are reported in order.
func (e *Evacuations) report(before []string) {
	if after := e.sorted(); !slices.Equal(before, after) {
		e.onChange(after)
	}
}
