package ledger

import (
	"cmp"
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	programv1 "github.com/berylpond/berylpond/api/program/v1"
)

// CollectHeld collects the events of a shard from a majority of the cell, including this instance, and passes them to
// apply: first those that a slot has read from the log, which this instance may not have read yet, then the held ones.
// Of two conflicting events the one with the newer term wins: a committed event is recorded again under each later term,
// so the event with the older term was never accepted by a majority. The collected events that are part of the state,
// applied now or before, are recorded again under the new term.
func (l *Ledger) CollectHeld(ctx context.Context, shard int, term uint64,
	apply func(*programv1.Event) ApplyResult) error {
	local, err := l.Promise(shard, term)
	if err != nil {
		return err
	}
	others := l.fetchOthers(ctx, shard, term)
	if len(others)+1 < l.majority() {
		if !l.witnessSuffices(len(others) + 1) {
			return ErrNoMajority
		}
		if err := l.log.AppendMarker(ctx, shard, term); err != nil {
			return err
		}
	}
	if err := l.applyRead(ctx, others, apply); err != nil {
		return err
	}
	held := [][][]byte{local.Events}
	for _, r := range others {
		held = append(held, r.Events)
	}
	var current []*programv1.Event
	for _, events := range decodeByProgram(held) {
		current = append(current, applyNewestFirst(events, apply)...)
	}
	return l.recordAgain(ctx, shard, term, current)
}

// applyRead applies the events that other slots have read from the log. Those before ReadFrom are no longer in the
// replies, so this instance must have read them itself; from there on each reply has all of them in log order.
func (l *Ledger) applyRead(ctx context.Context, replies []*peerv1.FetchHeldReply, apply func(*programv1.Event) ApplyResult) error {
	var from int64
	for _, r := range replies {
		from = max(from, r.ReadFrom)
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := l.log.WaitRead(ctx, from); err != nil {
		return errors.Wrapf(err, "the log was not read up to offset %d", from)
	}
	for _, r := range replies {
		for _, raw := range r.Read {
			ev := &programv1.Event{}
			if err := proto.Unmarshal(raw, ev); err != nil {
				return errors.Wrap(err, "decoding an event that another slot has read")
			}
			apply(ev)
		}
	}
	return nil
}

// ApplyResult is the result of applying a collected event.
type ApplyResult int

const (
	// Accepted means that the event changed the state.
	Accepted ApplyResult = iota
	// Duplicate means that the event had been applied before.
	Duplicate
	// Rejected means that the event does not fit the current state; it may fit after other events have been applied.
	Rejected
)

// applyNewestFirst applies the events of one program. After each applied event it starts again from the newest term, so
// that of two events that fit the one with the newer term is applied. It returns the events that are part of the state,
// in the order in which they were applied or found to be known.
func applyNewestFirst(events []*programv1.Event, apply func(*programv1.Event) ApplyResult) []*programv1.Event {
	slices.SortStableFunc(events, func(a, b *programv1.Event) int { return cmp.Compare(b.Term, a.Term) })
	var applied []*programv1.Event
	for {
		i := slices.IndexFunc(events, func(ev *programv1.Event) bool { return apply(ev) != Rejected })
		if i < 0 {
			return applied
		}
		applied = append(applied, events[i])
		events = slices.Delete(events, i, i+1)
	}
}

// recordAgain makes collected events durable under the new term, so that a later holder finds them at any majority.
func (l *Ledger) recordAgain(ctx context.Context, shard int, term uint64, events []*programv1.Event) error {
	for _, ev := range events {
		if err := l.Record(ctx, shard, term, ev); err != nil {
			return err
		}
	}
	return nil
}

// decodeByProgram decodes the events and groups them by program. Of several copies of an event it returns the one with
// the newest term.
func decodeByProgram(lists [][][]byte) map[string][]*programv1.Event {
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

// fetchOthers returns the events of the other slots that responded and thereby promised the term.
func (l *Ledger) fetchOthers(ctx context.Context, shard int, term uint64) []*peerv1.FetchHeldReply {
	ctx, cancel := context.WithTimeout(ctx, majorityTimeout)
	defer cancel()
	others := l.otherSlots()
	results := make(chan *peerv1.FetchHeldReply, len(others))
	failures := make(chan error, len(others))
	for _, other := range others {
		go func() {
			reply, err := l.fetch(ctx, other.PeerAddr, shard, term)
			if err != nil {
				failures <- err
				return
			}
			results <- reply
		}()
	}
	var replies []*peerv1.FetchHeldReply
	for range others {
		select {
		case reply := <-results:
			replies = append(replies, reply)
		case <-failures:
		case <-ctx.Done():
		}
	}
	return replies
}

func (l *Ledger) fetch(ctx context.Context, addr string, shard int, term uint64) (*peerv1.FetchHeldReply, error) {
	conn, err := l.dial.Conn(addr)
	if err != nil {
		return nil, err
	}
	return peerv1.NewPeerClient(conn).FetchHeld(ctx, &peerv1.FetchHeldRequest{Part: int32(shard), Term: term})
}
