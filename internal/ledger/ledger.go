// Package ledger makes the events of programs durable: first in the memory of a majority of the home cell, under the
// term of the part's lease, then on the platform's log.
//
// Order. An event counts once a majority of the cell accepted it under the holder's term. A slot refuses events of a
// term older than one it has promised, and a new holder gathers the held events of a majority, which promise its term by
// answering, before it serves: so each event that counted under an older term is found, and no further one can count. The log keeps events for instances that start later and is appended to only
// after the majority has the event, so no event of a deposed holder can come first on the log.
//
// While the log is away the majority alone makes an event durable, and the events are queued for the log. A cell of one
// slot has no other memory than the log, so there an event is durable only on the log.
//
// In a cell of even size the log is one more voter, which counts where slots are missing: an event that is on the log
// has its vote, unless a marker of a newer term comes before it; a new holder writes that marker before it reads the
// log to the end.
package ledger

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	programv1 "github.com/berylpond/berylpond/api/program/v1"
	"github.com/berylpond/berylpond/internal/failpoint"
	"github.com/berylpond/berylpond/internal/member"
)

const (
	// holdTimeout bounds the wait for a majority of the cell.
	holdTimeout = time.Second
	// logTimeout bounds the wait for the log before an event counts by the majority alone.
	logTimeout = 300 * time.Millisecond
	// soleLogTimeout bounds the wait for the log where nothing else can keep an event.
	soleLogTimeout = 2 * time.Second
	// maxHeldBytes bounds the events held for one part while the log is away.
	maxHeldBytes = 64 << 20
)

var (
	// ErrNoMajority means that fewer than a majority of the cell accepted an event in time.
	ErrNoMajority = errors.New("no majority of the cell accepted the event")
	// ErrStaleTerm means that the event came from a holder that has been replaced.
	ErrStaleTerm = errors.New("the event's term is older than a promised one")
	// ErrNotReady means that this slot started lately and may have forgotten events that it accepted before.
	ErrNotReady = errors.New("the slot has not caught up with the log since it started")
	// ErrFull means that no further events can be held until the log returns.
	ErrFull = errors.New("the memory for events held while the log is away is full")
)

// Log is the data centre's stream of events.
type Log interface {
	// Append returns after the event is on the log, or with an error when the log is away; it then goes on trying by
	// itself.
	Append(ctx context.Context, ev *programv1.Event) error
	// Enqueue appends the event without waiting.
	Enqueue(ev *programv1.Event) error
	// Vote appends the event, reads it back, and fails if a marker of a newer term comes before it.
	Vote(ctx context.Context, part int, ev *programv1.Event) error
	// Mark appends a marker and returns after everything before it was read.
	Mark(ctx context.Context, part int, term uint64) error
}

// Dialer gives connections to other instances.
type Dialer interface {
	Conn(addr string) (grpc.ClientConnInterface, error)
}

// Config places a ledger in its cell.
type Config struct {
	DataCentre string
	Slot       int
	Slots      int
	// PartOf returns the part of a program.
	PartOf func(program string) int
}

// Ledger is safe for concurrent use.
type Ledger struct {
	cfg   Config
	table *member.Table
	dial  Dialer
	log   Log

	mu    sync.Mutex
	ready bool
	held  map[int]*heldPart
}

// heldPart holds, in order of arrival, the events of one part that were not yet read from the log.
type heldPart struct {
	// promised is the highest term that was promised.
	promised uint64
	order    []string
	byID     map[string][]byte
	bytes    int
}

// New returns an empty ledger.
func New(cfg Config, table *member.Table, dial Dialer, log Log) *Ledger {
	return &Ledger{cfg: cfg, table: table, dial: dial, log: log, held: map[int]*heldPart{}}
}

func (l *Ledger) majority() int { return l.cfg.Slots/2 + 1 }

// Record makes one event durable, on the log too unless the log is away. It implements program.Recorder.
func (l *Ledger) Record(ctx context.Context, part int, term uint64, ev *programv1.Event) error {
	voted, err := l.hold(ctx, part, term, ev)
	if err != nil || voted {
		return err
	}
	patience := logTimeout
	if l.cfg.Slots == 1 {
		patience = soleLogTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	err = l.log.Append(ctx, ev)
	if err != nil && l.cfg.Slots > 1 {
		klog.V(1).InfoS("Event counts by the cell's majority alone", "program", ev.Program, "err", err)
		return nil
	}
	return err
}

// RecordHeld makes one event durable by the cell's majority and queues it for the log.
func (l *Ledger) RecordHeld(ctx context.Context, part int, term uint64, ev *programv1.Event) error {
	if l.cfg.Slots == 1 {
		return l.Record(ctx, part, term, ev)
	}
	voted, err := l.hold(ctx, part, term, ev)
	if err != nil || voted {
		return err
	}
	return l.log.Enqueue(ev)
}

// hold gets the votes of a majority. voted is set when the log's vote was needed, so that the event is there already.
func (l *Ledger) hold(ctx context.Context, part int, term uint64, ev *programv1.Event) (voted bool, err error) {
	ev.Term = term
	raw, err := proto.Marshal(ev)
	if err != nil {
		return false, errors.Wrap(err, "encoding an event")
	}
	if err := failpoint.Hit("ledger.hold.before"); err != nil {
		return false, err
	}
	have, err := l.holdAtSlots(ctx, part, term, ev.Id, raw)
	if err != nil {
		return false, err
	}
	if have < l.majority() {
		if !l.logVotes(have) {
			return false, ErrNoMajority
		}
		if err := l.log.Vote(ctx, part, ev); err != nil {
			return false, err
		}
		voted = true
	}
	return voted, failpoint.Hit("ledger.hold.after")
}

// logVotes reports whether the log's vote makes a majority of the given number of slots' votes.
func (l *Ledger) logVotes(have int) bool { return l.cfg.Slots%2 == 0 && have+1 >= l.majority() }

// holdAtSlots returns the number of slots, this one included, that accepted the event; it stops at a majority.
func (l *Ledger) holdAtSlots(ctx context.Context, part int, term uint64, id string, raw []byte) (int, error) {
	if err := l.accept(part, term, id, raw); err != nil {
		return 0, err
	}
	if l.majority() <= 1 {
		return 1, nil
	}
	// The calls outlive the caller's wait for the majority, so that slower slots get the event too.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), holdTimeout)
	answers := make(chan error, l.cfg.Slots)
	asked := l.askAll(ctx, &peerv1.HoldRequest{Part: int32(part), Term: term, Id: id, Event: raw}, answers)
	defer time.AfterFunc(holdTimeout, cancel)
	return l.await(ctx, answers, asked)
}

// askAll sends the event to every other slot and returns how many were asked.
func (l *Ledger) askAll(ctx context.Context, req *peerv1.HoldRequest, answers chan<- error) int {
	n := 0
	for _, in := range l.others() {
		n++
		go func() { answers <- l.ask(ctx, in.PeerAddr, req) }()
	}
	return n
}

func (l *Ledger) ask(ctx context.Context, addr string, req *peerv1.HoldRequest) error {
	conn, err := l.dial.Conn(addr)
	if err != nil {
		return err
	}
	_, err = peerv1.NewPeerClient(conn).Hold(ctx, req)
	return err
}

// await counts the slots that accepted. A slot that promised a newer term ends the wait: this holder was replaced.
func (l *Ledger) await(ctx context.Context, answers <-chan error, asked int) (int, error) {
	have := 1
	for range asked {
		select {
		case err := <-answers:
			if status.Code(err) == codes.FailedPrecondition {
				return have, ErrStaleTerm
			}
			if err == nil {
				have++
			}
		case <-ctx.Done():
			return have, nil
		}
		if have >= l.majority() {
			return have, nil
		}
	}
	return have, nil
}

// others returns the occupants of the cell's other slots.
func (l *Ledger) others() []member.Instance {
	var out []member.Instance
	for slot := range l.cfg.Slots {
		if slot == l.cfg.Slot {
			continue
		}
		if in, ok := l.table.AtSlot(l.cfg.DataCentre, slot); ok {
			out = append(out, in)
		}
	}
	return out
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

// Gather collects the held events of a part from a majority of the cell, this instance included, and passes them to
// apply, which reports whether an event changed the state. Where two events exclude each other, the one with the newer
// term counts: an event that counted under an older term was recorded again under each later one, so the other one was
// never held by a majority. The gathered events that were applied here, now or before, are recorded again under the new
// term.
func (l *Ledger) Gather(ctx context.Context, part int, term uint64, apply func(*programv1.Event) Applied) error {
	own, err := l.Promise(part, term)
	if err != nil {
		return err
	}
	lists := l.fetchOthers(ctx, part, term)
	if len(lists)+1 < l.majority() {
		if !l.logVotes(len(lists) + 1) {
			return ErrNoMajority
		}
		if err := l.log.Mark(ctx, part, term); err != nil {
			return err
		}
	}
	var count []*programv1.Event
	for _, events := range decode(append([][][]byte{own}, lists...)) {
		count = append(count, applyNewestFirst(events, apply)...)
	}
	return l.recordAgain(ctx, part, term, count)
}

// Applied says what applying a gathered event did.
type Applied int

const (
	// Changed means that the event changed the state.
	Changed Applied = iota
	// Known means that the state has the event already.
	Known
	// Unfit means that the event does not fit the state, now or at all.
	Unfit
)

// applyNewestFirst applies the events of one program. After each change it starts again from the newest term, so that of
// two events that fit the one with the newer term is taken. It returns the events that the state has at the end, in the
// order in which they were found to be in it.
func applyNewestFirst(events []*programv1.Event, apply func(*programv1.Event) Applied) []*programv1.Event {
	slices.SortStableFunc(events, func(a, b *programv1.Event) int { return cmp.Compare(b.Term, a.Term) })
	var in []*programv1.Event
	for {
		i := slices.IndexFunc(events, func(ev *programv1.Event) bool { return apply(ev) != Unfit })
		if i < 0 {
			return in
		}
		in = append(in, events[i])
		events = slices.Delete(events, i, i+1)
	}
}

// recordAgain makes gathered events durable under the new term, so that a later holder finds them at any majority.
func (l *Ledger) recordAgain(ctx context.Context, part int, term uint64, events []*programv1.Event) error {
	for _, ev := range events {
		if err := l.Record(ctx, part, term, ev); err != nil {
			return err
		}
	}
	return nil
}

// decode returns the events of each program, of several copies the one with the newest term.
func decode(lists [][][]byte) map[string][]*programv1.Event {
	byID := map[string]*programv1.Event{}
	var order []string
	for _, list := range lists {
		for _, raw := range list {
			ev := &programv1.Event{}
			if err := proto.Unmarshal(raw, ev); err != nil {
				klog.ErrorS(err, "Held event cannot be decoded")
				continue
			}
			old, ok := byID[ev.Id]
			if !ok {
				order = append(order, ev.Id)
			}
			if !ok || ev.Term > old.Term {
				byID[ev.Id] = ev
			}
		}
	}
	out := map[string][]*programv1.Event{}
	for _, id := range order {
		ev := byID[id]
		out[ev.Program] = append(out[ev.Program], ev)
	}
	return out
}

// fetchOthers returns the held events of the other slots that answered and promised the term.
func (l *Ledger) fetchOthers(ctx context.Context, part int, term uint64) [][][]byte {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	others := l.others()
	answers := make(chan [][]byte, len(others))
	failures := make(chan error, len(others))
	for _, in := range others {
		go func() {
			events, err := l.fetch(ctx, in.PeerAddr, part, term)
			if err != nil {
				failures <- err
				return
			}
			answers <- events
		}()
	}
	var lists [][][]byte
	for range others {
		select {
		case events := <-answers:
			lists = append(lists, events)
		case <-failures:
		case <-ctx.Done():
		}
	}
	return lists
}

func (l *Ledger) fetch(ctx context.Context, addr string, part int, term uint64) ([][]byte, error) {
	conn, err := l.dial.Conn(addr)
	if err != nil {
		return nil, err
	}
	reply, err := peerv1.NewPeerClient(conn).FetchHeld(ctx, &peerv1.FetchHeldRequest{Part: int32(part), Term: term})
	if err != nil {
		return nil, err
	}
	return reply.Events, nil
}
