package ledger

import (
	"slices"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	programv1 "github.com/berylpond/berylpond/api/program/v1"
)

// heldShard holds, in order of arrival, the events of one shard that have not been read back from the log yet.
type heldShard struct {
	// promised is the highest promised term.
	promised uint64
	order    []string
	byID     map[string][]byte
	bytes    int
	read     readEvents
}

// readEvents holds the newest events of a shard that were read from the log. A new holder may not have read them yet:
// slots read the log at different times, and an event is no longer held once it was read.
type readEvents struct {
	events  [][]byte
	offsets []int64
	bytes   int
	// from is the offset after the newest event that was dropped.
	from int64
}

func (r *readEvents) add(offset int64, raw []byte) {
	r.events, r.offsets, r.bytes = append(r.events, raw), append(r.offsets, offset), r.bytes+len(raw)
	drop := 0
	for ; len(r.events)-drop > maxReadEvents || r.bytes > maxReadBytes; drop++ {
		r.bytes -= len(r.events[drop])
		r.from = r.offsets[drop] + 1
	}
	if drop > 0 {
		r.events, r.offsets = slices.Delete(r.events, 0, drop), slices.Delete(r.offsets, 0, drop)
	}
}

// HandleHold handles an event sent by another slot.
func (l *Ledger) HandleHold(req *peerv1.HoldRequest) error {
	return l.accept(int(req.Part), req.Term, req.Id, req.Event)
}

// accept stores an event unless its term is stale.
func (l *Ledger) accept(shard int, term uint64, id string, raw []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ready {
		return ErrNotReady
	}
	h := l.shard(shard)
	if term < h.promised {
		return ErrStaleTerm
	}
	h.promised = term
	if old, ok := h.byID[id]; ok {
		// Keep the copy with the newer term, since later holders prefer the event with the newest term.
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

// shard returns the held events of a shard. l.mu must be held.
func (l *Ledger) shard(shard int) *heldShard {
	h := l.held[shard]
	if h == nil {
		h = &heldShard{byID: map[string][]byte{}}
		l.held[shard] = h
	}
	return h
}

// SetReady lets the slot accept events. It must be called only after the log has been read to its end and the promises
// of the slot's previous occupant have expired.
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

// MarkRead records that an event was read from the log at the given offset. It is no longer held, but kept for a while
// for new holders that have not read it.
func (l *Ledger) MarkRead(shard int, offset int64, ev *programv1.Event) {
	raw, err := proto.Marshal(ev)
	if err != nil {
		klog.ErrorS(err, "Event read from the log cannot be encoded; it stays held", "program", ev.Program)
		return
	}
	l.mu.Lock()
	l.shard(shard).read.add(offset, raw)
	l.mu.Unlock()
	l.DropHeld(shard, ev.Id)
}

// DropHeld drops a held event that has been read back from the log.
func (l *Ledger) DropHeld(shard int, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.held[shard]
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

// compact removes ids that are no longer held from the order once they make up more than half of it.
func (h *heldShard) compact() {
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

// Promise returns the events of a shard that the slot knows and promises not to accept events with an older term.
func (l *Ledger) Promise(shard int, term uint64) (*peerv1.FetchHeldReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ready {
		return nil, ErrNotReady
	}
	h := l.shard(shard)
	if term < h.promised {
		return nil, ErrStaleTerm
	}
	h.promised = term
	out := &peerv1.FetchHeldReply{Read: slices.Clone(h.read.events), ReadFrom: h.read.from}
	for _, id := range h.order {
		if raw, ok := h.byID[id]; ok {
			out.Events = append(out.Events, raw)
		}
	}
	return out, nil
}

// HeldEvents returns the number and total size of all held events.
func (l *Ledger) HeldEvents() (events, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.held {
		events += len(h.byID)
		bytes += h.bytes
	}
	return events, bytes
}
