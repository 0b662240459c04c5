package cell

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	cellv1 "github.com/berylpond/berylpond/api/cell/v1"
	"github.com/berylpond/berylpond/internal/claim"
	"github.com/berylpond/berylpond/internal/lease"
)

const (
	// logReadMax is the maximum number of records of one read.
	logReadMax = 1000
	// logReadWait is the time for which a read waits for the record that was just appended.
	logReadWait = 100 * time.Millisecond
)

// Record is one record of a stream of the log.
type Record struct {
	Offset int64
	Data   []byte
}

// Log is an append-only log service. It must retain the records of a cell for the claim window.
type Log interface {
	// Append appends records and returns the offset of the first one.
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	// Read returns the oldest retained offset, the offset after the newest record, and the records that start at from.
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (first, end int64, recs []Record, err error)
}

// LogWitness is the Witness that uses the stream "cell/<data centre>" of a log. It appends only to request or release
// a grant, and to cast or withdraw a vote; grants and votes are requested only while slots do not respond in time.
type LogWitness struct {
	log    Log
	stream string
	self   lease.Owner
	slots  int
	token  chan struct{} // a lock that can be awaited with a context: the receiver of its token owns the fields below

	sequence uint64
	// nextOffset is the offset of the next record to read.
	nextOffset int64
	acceptor   *lease.LogAcceptor
	witness    *claim.LogWitness
	// local is the result of the record that this slot appended last; it is nil until that record was read back.
	local *localResult
}

type localResult struct {
	granted [lease.MaxSlots]bool
	vote    claim.Response
}

// NewLogWitness returns the witness of the slot in cfg.
func NewLogWitness(cfg Config, log Log) *LogWitness {
	cfg = cfg.withDefaults()
	lc := cfg.leaseConfig()
	lc.Witness = true
	self := lease.Owner{Slot: cfg.Slot, Incarnation: cfg.Incarnation}
	v := &LogWitness{
		log: log, stream: "cell/" + cfg.DataCentre, self: self, slots: cfg.Slots, token: make(chan struct{}, 1),
		acceptor: lease.NewLogAcceptor(lc, self), witness: claim.NewLogWitness(time.Now(), cfg.ClaimWindow),
	}
	v.token <- struct{}{}
	return v
}

// lock acquires the lock unless ctx ends first.
func (v *LogWitness) lock(ctx context.Context) error {
	select {
	case <-v.token:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (v *LogWitness) unlock() { v.token <- struct{}{} }

// Exchange implements Witness.
func (v *LogWitness) Exchange(ctx context.Context, acquire, release []lease.Grant) ([]lease.State, error) {
	if err := v.lock(ctx); err != nil {
		return nil, err
	}
	defer v.unlock()
	if err := v.catchUp(ctx); err != nil {
		return nil, err
	}
	rec := &cellv1.LogRecord{}
	for _, g := range acquire {
		if from, ok := v.acceptor.QuietOffset(time.Now(), g); ok {
			rec.Acquire = append(rec.Acquire, &cellv1.LogAcquire{Grant: grantProto(g), QuietFrom: from})
		}
	}
	for _, g := range release {
		if v.acceptor.Requested(g) {
			rec.Release = append(rec.Release, grantProto(g))
		}
	}
	var granted [lease.MaxSlots]bool
	if len(rec.Acquire)+len(rec.Release) > 0 {
		local, err := v.appendAndReadBack(ctx, rec)
		if err != nil {
			return nil, err
		}
		granted = local.granted
	}
	states := make([]lease.State, 0, v.slots)
	for shard := range v.slots {
		states = append(states, v.acceptor.State(time.Now(), shard, granted[shard]))
	}
	return states, nil
}

// Vote implements Witness.
func (v *LogWitness) Vote(ctx context.Context, id string, issued time.Time, ex claim.Executor) (claim.Response, error) {
	if err := v.lock(ctx); err != nil {
		return claim.Response{}, err
	}
	defer v.unlock()
	if err := v.catchUp(ctx); err != nil {
		return claim.Response{}, err
	}
	if response, ok := v.witness.Lookup(time.Now(), id, issued); ok {
		return response, nil
	}
	vote := &cellv1.LogVote{Id: id, Attempt: ex.Attempt, IssuedUnixMs: issued.UnixMilli()}
	local, err := v.appendAndReadBack(ctx, &cellv1.LogRecord{Vote: []*cellv1.LogVote{vote}})
	if err != nil {
		return claim.Response{}, err
	}
	return local.vote, nil
}

// Withdraw implements Witness.
func (v *LogWitness) Withdraw(ctx context.Context, id string, ex claim.Executor) error {
	if err := v.lock(ctx); err != nil {
		return err
	}
	defer v.unlock()
	_, err := v.appendAndReadBack(ctx, &cellv1.LogRecord{Withdraw: []*cellv1.LogVote{{Id: id, Attempt: ex.Attempt}}})
	return err
}

// appendAndReadBack appends a record and reads the log until that record was applied. The lock must be held.
func (v *LogWitness) appendAndReadBack(ctx context.Context, rec *cellv1.LogRecord) (*localResult, error) {
	v.sequence++
	v.local = nil
	rec.Sender, rec.Sequence = ownerProto(v.self), v.sequence
	data, err := proto.Marshal(rec)
	if err != nil {
		return nil, errors.Wrap(err, "marshal log record")
	}
	if _, err := v.log.Append(ctx, v.stream, [][]byte{data}); err != nil {
		return nil, errors.Wrap(err, "append to the cell's stream")
	}
	for v.local == nil {
		if _, err := v.read(ctx, logReadWait); err != nil {
			return nil, err
		}
	}
	return v.local, nil
}

// catchUp reads to the end of the log. The lock must be held.
func (v *LogWitness) catchUp(ctx context.Context) error {
	v.witness.Sweep(time.Now())
	for {
		if end, err := v.read(ctx, 0); err != nil || v.nextOffset >= end {
			return err
		}
	}
}

// read applies the next records and returns the end of the log. The lock must be held.
func (v *LogWitness) read(ctx context.Context, wait time.Duration) (end int64, err error) {
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	first, end, recs, err := v.log.Read(ctx, v.stream, v.nextOffset, logReadMax, wait)
	if err != nil {
		return 0, errors.Wrap(err, "read the cell's stream")
	}
	v.nextOffset = max(v.nextOffset, first)
	now := time.Now()
	for _, r := range recs {
		if r.Offset < v.nextOffset {
			continue
		}
		v.nextOffset = r.Offset + 1
		v.apply(now, r)
	}
	v.acceptor.AdvanceTo(v.nextOffset)
	return end, nil
}

// apply applies one record to the state machines and ignores one that can't be decoded. The lock must be held.
func (v *LogWitness) apply(now time.Time, r Record) {
	var rec cellv1.LogRecord
	if proto.Unmarshal(r.Data, &rec) != nil {
		return
	}
	sender := ownerFrom(rec.Sender)
	var local localResult
	for _, g := range rec.Release {
		v.acceptor.ApplyRelease(grantFrom(sender, g))
	}
	for _, a := range rec.Acquire {
		if g := grantFrom(sender, a.Grant); g.Shard < v.slots {
			local.granted[g.Shard] = v.acceptor.ApplyAcquire(now, r.Offset, g)
		}
	}
	for _, w := range rec.Withdraw {
		v.witness.Withdraw(w.Id, executor(sender, w.Attempt))
	}
	for _, b := range rec.Vote {
		local.vote = v.witness.Vote(now, b.Id, time.UnixMilli(b.IssuedUnixMs), executor(sender, b.Attempt))
	}
	if sender == v.self && rec.Sequence == v.sequence && v.local == nil {
		v.local = &local
	}
}
