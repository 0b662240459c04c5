// Package ledger makes the events of programs durable: first in the memory of a majority of the home cell, under the
// term of the shard's lease, then in the platform's log.
//
// An event is committed once a majority of the cell has accepted it under the holder's term. A slot rejects events with
// a term older than one it has promised. Before a new holder serves requests it collects the held events of a majority;
// by responding, these slots promise its term. So it finds every event that was committed under an older term, and no
// further one can be committed under such a term. The log keeps events for instances that start later. An event is
// appended to it only after a majority has accepted the event, so an event of a replaced holder cannot precede the
// committed ones in the log.
//
// While the log is unavailable, a majority alone makes an event durable, and events are queued for the log. A cell with
// one slot has no replicas, so there an event is durable only once it is in the log.
//
// In a cell of even size the log is the witness, an additional voter that is used when slots are missing. An event in
// the log has the witness's vote unless a marker with a newer term precedes it. A new holder appends such a marker
// before it reads the log to its end.
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
	// majorityTimeout bounds the wait for a majority of the cell.
	majorityTimeout = time.Second
	// logTimeout bounds the wait for the log, after which an event is durable by the majority alone.
	logTimeout = 300 * time.Millisecond
	// singleSlotLogTimeout bounds the wait for the log in a cell with one slot, where only the log stores events.
	singleSlotLogTimeout = 2 * time.Second
	// readTimeout bounds the wait until this instance has read the events that other slots have read and dropped.
	readTimeout = time.Second
	// maxReadEvents and maxReadBytes bound the events of one shard that are kept after they were read from the log. Slots
	// lag behind each other by a few reads.
	maxReadEvents = 256
	maxReadBytes  = 1 << 20
	// maxHeldBytes bounds the events held for one shard while the log is unavailable.
	maxHeldBytes = 64 << 20
)

var (
	// ErrNoMajority means that fewer than a majority of the cell accepted an event in time.
	ErrNoMajority = errors.New("no majority of the cell accepted the event")
	// ErrStaleTerm means that the event came from a holder that has been replaced.
	ErrStaleTerm = errors.New("the event's term is older than a promised one")
	// ErrNotReady means that this slot was restarted recently and may have lost events that it accepted before.
	ErrNotReady = errors.New("the slot has not caught up with the log since it started")
	// ErrFull means that no further events can be held until the log is available again.
	ErrFull = errors.New("the memory for events held while the log is away is full")
)

// Log is the data centre's event log.
type Log interface {
	// Append returns nil once the event is in the log. If the log is unavailable it returns an error and keeps retrying in
	// the background.
	Append(ctx context.Context, ev *programv1.Event) error
	// Enqueue appends the event without waiting.
	Enqueue(ev *programv1.Event) error
	// AppendAsWitness appends the event, reads it back, and fails if a marker with a newer term precedes it.
	AppendAsWitness(ctx context.Context, shard int, ev *programv1.Event) error
	// WaitRead waits until everything before the offset has been read from the log and applied.
	WaitRead(ctx context.Context, offset int64) error
	// AppendMarker appends a marker and returns after the log has been read up to it.
	AppendMarker(ctx context.Context, shard int, term uint64) error
}

// Dialer returns connections to other instances.
type Dialer interface {
	Conn(addr string) (grpc.ClientConnInterface, error)
}

// Config describes the position of a ledger in its cell.
type Config struct {
	DataCentre string
	Slot       int
	Slots      int
	// ShardOf returns the shard of a program.
	ShardOf func(program string) int
}

// Ledger is safe for concurrent use.
type Ledger struct {
	cfg   Config
	table *member.Table
	dial  Dialer
	log   Log

	mu    sync.Mutex
	ready bool
	held  map[int]*heldShard
}

// New returns an empty ledger.
func New(cfg Config, table *member.Table, dial Dialer, log Log) *Ledger {
	return &Ledger{cfg: cfg, table: table, dial: dial, log: log, held: map[int]*heldShard{}}
}

func (l *Ledger) majority() int { return l.cfg.Slots/2 + 1 }

// Record makes one event durable on a majority of the cell, and in the log unless the log is unavailable. It implements
// program.Recorder.
func (l *Ledger) Record(ctx context.Context, shard int, term uint64, ev *programv1.Event) error {
	logged, err := l.replicate(ctx, shard, term, ev)
	if err != nil || logged {
		return err
	}
	timeout := logTimeout
	if l.cfg.Slots == 1 {
		timeout = singleSlotLogTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = l.log.Append(ctx, ev)
	if err != nil && l.cfg.Slots > 1 {
		klog.V(1).InfoS("Log did not confirm the event; it is durable by the majority alone", "program", ev.Program,
			"err", err)
		return nil
	}
	return err
}

// RecordOnMajority makes one event durable on a majority of the cell and queues it for the log.
func (l *Ledger) RecordOnMajority(ctx context.Context, shard int, term uint64, ev *programv1.Event) error {
	if l.cfg.Slots == 1 {
		return l.Record(ctx, shard, term, ev)
	}
	logged, err := l.replicate(ctx, shard, term, ev)
	if err != nil || logged {
		return err
	}
	return l.log.Enqueue(ev)
}

// replicate stores the event at a majority. logged is true if the witness's vote was needed, so that the event is
// already in the log.
func (l *Ledger) replicate(ctx context.Context, shard int, term uint64, ev *programv1.Event) (logged bool, err error) {
	ev.Term = term
	raw, err := proto.Marshal(ev)
	if err != nil {
		return false, errors.Wrap(err, "encoding an event")
	}
	if err := failpoint.Hit("ledger.hold.before"); err != nil {
		return false, err
	}
	votes, err := l.replicateToSlots(ctx, shard, term, ev.Id, raw)
	if err != nil {
		return false, err
	}
	if votes < l.majority() {
		if !l.witnessSuffices(votes) {
			return false, ErrNoMajority
		}
		if err := l.log.AppendAsWitness(ctx, shard, ev); err != nil {
			return false, err
		}
		logged = true
	}
	return logged, failpoint.Hit("ledger.hold.after")
}

// witnessSuffices reports whether n slots and the witness are a majority.
func (l *Ledger) witnessSuffices(n int) bool { return l.cfg.Slots%2 == 0 && n+1 >= l.majority() }

// replicateToSlots sends the event to the slots and returns how many accepted it, including this one. It stops waiting
// once they are a majority.
func (l *Ledger) replicateToSlots(ctx context.Context, shard int, term uint64, id string, raw []byte) (int, error) {
	if err := l.accept(shard, term, id, raw); err != nil {
		return 0, err
	}
	if l.majority() <= 1 {
		return 1, nil
	}
	// The calls continue after a majority has accepted, so that slower slots get the event too.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), majorityTimeout)
	responses := make(chan error, l.cfg.Slots)
	sent := l.sendToOthers(ctx, &peerv1.HoldRequest{Part: int32(shard), Term: term, Id: id, Event: raw}, responses)
	defer time.AfterFunc(majorityTimeout, cancel)
	return l.awaitMajority(ctx, responses, sent)
}

// sendToOthers sends the event to every other slot and returns how many there are.
func (l *Ledger) sendToOthers(ctx context.Context, req *peerv1.HoldRequest, responses chan<- error) int {
	n := 0
	for _, in := range l.otherSlots() {
		n++
		go func() { responses <- l.send(ctx, in.PeerAddr, req) }()
	}
	return n
}

func (l *Ledger) send(ctx context.Context, addr string, req *peerv1.HoldRequest) error {
	conn, err := l.dial.Conn(addr)
	if err != nil {
		return err
	}
	_, err = peerv1.NewPeerClient(conn).Hold(ctx, req)
	return err
}

// awaitMajority counts the slots that accepted. It stops with ErrStaleTerm if a slot has promised a newer term, since
// this holder has then been replaced.
func (l *Ledger) awaitMajority(ctx context.Context, responses <-chan error, sent int) (int, error) {
	votes := 1
	for range sent {
		select {
		case err := <-responses:
			if status.Code(err) == codes.FailedPrecondition {
				return votes, ErrStaleTerm
			}
			if err == nil {
				votes++
			}
		case <-ctx.Done():
			return votes, nil
		}
		if votes >= l.majority() {
			return votes, nil
		}
	}
	return votes, nil
}

// otherSlots returns the occupants of the cell's other slots.
func (l *Ledger) otherSlots() []member.Instance {
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
