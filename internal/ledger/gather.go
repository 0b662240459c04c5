package ledger

import (
	"cmp"
	"context"
	"slices"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	programv1 "github.com/berylpond/berylpond/api/program/v1"
)

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
