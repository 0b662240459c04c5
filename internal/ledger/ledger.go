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
	"context"
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
