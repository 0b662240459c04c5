package ledger

import (
	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
)

// heldPart holds, in order of arrival, the events of one part that were not yet read from the log.
type heldPart struct {
	// promised is the highest term that was promised.
	promised uint64
	order    []string
	byID     map[string][]byte
	bytes    int
}

// Hold serves another slot's event.
func (l *Ledger) Hold(req *peerv1.HoldRequest) error {
	return l.accept(int(req.Part), req.Term, req.Id, req.Event)
}

// accept keeps an event unless its term is stale.
func (l *Ledger) accept(part int, term uint64, id string, raw []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ready {
		return ErrNotReady
	}
	h := l.part(part)
	if term < h.promised {
		return ErrStaleTerm
	}
	h.promised = term
	if old, ok := h.byID[id]; ok {
		// The copy under the newer term stays: a later holder prefers events by their terms.
		h.byID[id] = raw
		h.bytes += len(raw) - len(old)
		return nil
	}
	if h.bytes+len(raw) > maxHeldBytes {
		return ErrFull
	}
	h.byID[id] = raw
	h.order = append(h.order, id)
	h.bytes += len(raw)
	return nil
}

// part returns the held part. l.mu is held.
func (l *Ledger) part(part int) *heldPart {
	h := l.held[part]
	if h == nil {
		h = &heldPart{byID: map[string][]byte{}}
		l.held[part] = h
	}
	return h
}

// SetReady lets the slot accept events. It is called once the log was read to its end and any promise of the slot's
// previous occupant has run out.
func (l *Ledger) SetReady() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready = true
}

// Ready reports whether SetReady was called.
func (l *Ledger) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ready
}

// Seen drops a held event that was read from the log.
func (l *Ledger) Seen(part int, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.held[part]
	if h == nil {
		return
	}
	raw, ok := h.byID[id]
	if !ok {
		return
	}
	delete(h.byID, id)
	h.bytes -= len(raw)
	h.compact()
}

// compact drops ids that are no longer held once they are the larger part of the order.
func (h *heldPart) compact() {
	if len(h.order) < 2*len(h.byID)+16 {
		return
	}
	keep := h.order[:0]
	for _, id := range h.order {
		if _, ok := h.byID[id]; ok {
			keep = append(keep, id)
		}
	}
	h.order = keep
}

// Promise returns the held events of a part in order of arrival and promises to accept no event of an older term.
func (l *Ledger) Promise(part int, term uint64) ([][]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ready {
		return nil, ErrNotReady
	}
	h := l.part(part)
	if term < h.promised {
		return nil, ErrStaleTerm
	}
	h.promised = term
	var out [][]byte
	for _, id := range h.order {
		if raw, ok := h.byID[id]; ok {
			out = append(out, raw)
		}
	}
	return out, nil
}

// HeldEvents returns the number and bytes of all held events.
func (l *Ledger) HeldEvents() (events, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.held {
		events += len(h.byID)
		bytes += h.bytes
	}
	return events, bytes
}
