package ledger

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	programv1 "github.com/berylpond/berylpond/api/program/v1"
	"github.com/berylpond/berylpond/internal/member"
)

// fakeLog is the data centre's event log, shared by the slots.
type fakeLog struct {
	mu          sync.Mutex
	unavailable bool
	delay       time.Duration
	order       []*programv1.Event
	// readTo is the offset up to which the slots have read.
	readTo int64
}

var errUnavailable = errors.New("log unavailable")

func (f *fakeLog) Append(ctx context.Context, ev *programv1.Event) error {
	select {
	case <-time.After(f.delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return errUnavailable
	}
	f.order = append(f.order, ev)
	return nil
}

func (f *fakeLog) Enqueue(ev *programv1.Event) error { return f.Append(context.Background(), ev) }

func (f *fakeLog) AppendAsWitness(ctx context.Context, _ int, ev *programv1.Event) error {
	if err := f.Append(ctx, ev); err != nil {
		return err
	}
	return f.check(ev.Term)
}

func (f *fakeLog) check(term uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, ev := range f.order {
		if ev.GetMarker() != nil && ev.Term > term {
			return errors.New("superseded")
		}
	}
	return nil
}

func (f *fakeLog) WaitRead(ctx context.Context, offset int64) error {
	if offset <= f.readTo {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (f *fakeLog) AppendMarker(ctx context.Context, shard int, term uint64) error {
	return f.Append(ctx, &programv1.Event{Term: term, Body: &programv1.Event_Marker{Marker: &programv1.Marker{Part: int32(shard)}}})
}

// slot is one member of a test cell, reachable over loopback.
type slot struct {
	peerv1.UnimplementedPeerServer
	*Ledger
	server *grpc.Server
}

func (s *slot) Hold(_ context.Context, r *peerv1.HoldRequest) (*peerv1.HoldReply, error) {
	return &peerv1.HoldReply{}, statusError(s.Ledger.HandleHold(r))
}

func (s *slot) FetchHeld(_ context.Context, r *peerv1.FetchHeldRequest) (*peerv1.FetchHeldReply, error) {
	reply, err := s.Promise(int(r.Part), r.Term)
	return reply, statusError(err)
}

func statusError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrStaleTerm):
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	return status.Error(codes.Unavailable, err.Error())
}

type dialer struct{}

func (dialer) Conn(addr string) (grpc.ClientConnInterface, error) {
	return grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
}

// newCell starts a cell of ready slots.
func newCell(t testing.TB, n int, log Log) []*slot {
	t.Helper()
	slots := make([]*slot, n)
	tables := make([]*member.Table, n)
	var members []member.Instance
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		in := member.Instance{ID: string(rune('a' + i)), DataCentre: "giza", Slot: i, Incarnation: 1, PeerAddr: l.Addr().String()}
		members = append(members, in)
		tables[i] = member.NewTable(in)
		slots[i] = &slot{Ledger: New(Config{DataCentre: "giza", Slot: i, Slots: n}, tables[i], dialer{}, log), server: grpc.NewServer()}
		slots[i].SetReady()
		peerv1.RegisterPeerServer(slots[i].server, slots[i])
		go slots[i].server.Serve(l)
		t.Cleanup(slots[i].server.Stop)
	}
	for _, tab := range tables {
		for _, in := range members {
			tab.Merge(in)
		}
	}
	return slots
}

func event(id string) *programv1.Event { return &programv1.Event{Id: id, Program: "p"} }

// collectInOrder collects the events of a program that, as programs do, rejects an event until those before it were applied.
func collectInOrder(s *slot, term uint64, order ...string) ([]string, error) {
	var ids []string
	err := s.CollectHeld(context.Background(), 0, term, func(ev *programv1.Event) ApplyResult {
		if slices.Contains(ids, ev.Id) {
			return Duplicate
		}
		if len(ids) == len(order) || ev.Id != order[len(ids)] {
			return Rejected
		}
		ids = append(ids, ev.Id)
		return Accepted
	})
	return ids, err
}

func collect(t *testing.T, s *slot, term uint64) ([]string, error) {
	t.Helper()
	var ids []string
	seen := map[string]bool{}
	err := s.CollectHeld(context.Background(), 0, term, func(ev *programv1.Event) ApplyResult {
		if seen[ev.Id] {
			return Duplicate
		}
		seen[ev.Id] = true
		ids = append(ids, ev.Id)
		return Accepted
	})
	return ids, err
}

func TestNewHolderFindsCommittedEvents(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cell := newCell(t, 3, &fakeLog{unavailable: true})
	is.NoErr(cell[0].Record(ctx, 0, 1, event("e1")))
	is.NoErr(cell[0].Record(ctx, 0, 1, event("e2")))
	cell[0].server.Stop()
	ids, err := collectInOrder(cell[1], 2, "e1", "e2")
	is.NoErr(err)
	is.Equal(ids, []string{"e1", "e2"})
}

// Each event is committed by a majority, so that the slots that are left may hold one event each, in any order.
func TestNewHolderFindsEventsThatDifferentSlotsHold(t *testing.T) {
	is := is.New(t)
	cell := newCell(t, 3, &fakeLog{unavailable: true})
	hold := func(slot int, id string) {
		is.NoErr(cell[slot].accept(0, 1, id, mustMarshal(t, &programv1.Event{Id: id, Program: "p", Term: 1})))
	}
	hold(0, "e1")
	hold(0, "e2")
	hold(1, "e2")
	hold(2, "e1")
	cell[0].server.Stop()
	ids, err := collectInOrder(cell[1], 2, "e1", "e2")
	is.NoErr(err)
	is.Equal(ids, []string{"e1", "e2"})
}

// Slots read the log at different times. The slot that is left has read the event back from the log and no longer holds
// it; the new holder has not read it.
func TestNewHolderFindsEventsThatOnlyAnotherSlotHasReadFromTheLog(t *testing.T) {
	is := is.New(t)
	cell := newCell(t, 3, &fakeLog{})
	is.NoErr(cell[2].accept(0, 1, "e1", mustMarshal(t, &programv1.Event{Id: "e1", Program: "p", Term: 1})))
	cell[2].MarkRead(0, 0, event("e1"))
	cell[2].MarkRead(0, 1, event("e2")) // accepted by the predecessor of this slot's process
	cell[0].server.Stop()
	ids, err := collectInOrder(cell[1], 2, "e1", "e2")
	is.NoErr(err)
	is.Equal(ids, []string{"e1", "e2"})
}

func TestNewHolderWaitsForEventsThatOtherSlotsNoLongerHave(t *testing.T) {
	is := is.New(t)
	log := &fakeLog{}
	cell := newCell(t, 3, log)
	for i := range int64(maxReadEvents + 3) {
		cell[2].MarkRead(0, i, event(strconv.Itoa(int(i))))
	}
	cell[0].server.Stop()
	_, err := collect(t, cell[1], 2)
	is.True(errors.Is(err, context.DeadlineExceeded)) // it has not read the three that were dropped
	log.readTo = 3
	ids, err := collect(t, cell[1], 3)
	is.NoErr(err)
	is.Equal(len(ids), maxReadEvents)
	is.Equal(ids[0], "3")
}

func TestEventsReadFromTheLogAreKeptWithinBounds(t *testing.T) {
	is := is.New(t)
	var r readEvents
	big := make([]byte, maxReadBytes/2+1)
	r.add(4, []byte("small"))
	r.add(5, big)
	is.Equal(r.from, int64(0))
	r.add(9, big)
	is.Equal(r.from, int64(6))
	is.Equal(len(r.events), 1)
	is.Equal(r.bytes, len(big))
}

// By responding to a fetch a slot promises the new term, so no event with an older term may be committed after it.
func TestReplacedHolderCannotRecord(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cell := newCell(t, 3, &fakeLog{})
	_, err := collect(t, cell[1], 2)
	is.NoErr(err)
	is.True(errors.Is(cell[0].Record(ctx, 0, 1, event("late")), ErrStaleTerm))
	is.NoErr(cell[1].Record(ctx, 0, 2, event("e2")))
}

// A holder that was isolated has an event that no other slot has. When it becomes the holder again, the conflicting
// event that its successor committed must win.
func TestNewerTermWinsOverAnUncommittedEvent(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cell := newCell(t, 3, &fakeLog{unavailable: true})
	is.NoErr(cell[0].Record(ctx, 0, 1, event("base")))
	raw, err := proto.Marshal(&programv1.Event{Id: "alone", Program: "p", Term: 1})
	is.NoErr(err)
	is.NoErr(cell[0].accept(0, 1, "alone", raw))
	is.NoErr(cell[1].accept(0, 2, "base", mustMarshal(t, &programv1.Event{Id: "base", Program: "p", Term: 2})))
	is.NoErr(cell[1].accept(0, 2, "counted", mustMarshal(t, &programv1.Event{Id: "counted", Program: "p", Term: 2})))
	is.NoErr(cell[2].accept(0, 2, "counted", mustMarshal(t, &programv1.Event{Id: "counted", Program: "p", Term: 2})))
	var order []string
	err = cell[0].CollectHeld(ctx, 0, 3, func(ev *programv1.Event) ApplyResult {
		fits := len(order) == 0 && ev.Id == "base" || len(order) == 1 && ev.Id != "base"
		if !fits {
			return Rejected
		}
		order = append(order, ev.Id)
		return Accepted
	})
	is.NoErr(err)
	is.Equal(order, []string{"base", "counted"})
}

func mustMarshal(t *testing.T, ev *programv1.Event) []byte {
	t.Helper()
	raw, err := proto.Marshal(ev)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestRecordFailsWithoutAMajority(t *testing.T) {
	is := is.New(t)
	cell := newCell(t, 3, &fakeLog{})
	cell[1].server.Stop()
	cell[2].server.Stop()
	is.True(errors.Is(cell[0].Record(context.Background(), 0, 1, event("e1")), ErrNoMajority))
	_, err := collect(t, cell[0], 2)
	is.True(errors.Is(err, ErrNoMajority))
}

func TestRestartedSlotDoesNotCountTowardsTheMajority(t *testing.T) {
	is := is.New(t)
	cell := newCell(t, 3, &fakeLog{unavailable: true})
	is.NoErr(cell[0].Record(context.Background(), 0, 1, event("e1")))
	cell[0].server.Stop()
	cell[2].mu.Lock()
	cell[2].ready = false // a new process that has not read the log
	cell[2].mu.Unlock()
	_, err := collect(t, cell[1], 2)
	is.True(errors.Is(err, ErrNoMajority))
}

func TestSingleSlotCellRequiresTheLog(t *testing.T) {
	is := is.New(t)
	log := &fakeLog{}
	cell := newCell(t, 1, log)
	is.NoErr(cell[0].RecordOnMajority(context.Background(), 0, 1, event("e1")))
	log.delay = 2 * logTimeout
	is.NoErr(cell[0].Record(context.Background(), 0, 1, event("slow"))) // the log is the only durable copy
	log.delay, log.unavailable = 0, true
	is.True(cell[0].Record(context.Background(), 0, 1, event("e2")) != nil) // no copy outside the process
}

func TestLogIsTheWitnessOfAnEvenCell(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log := &fakeLog{}
	cell := newCell(t, 2, log)
	cell[0].server.Stop()
	is.NoErr(cell[1].Record(ctx, 0, 1, event("e1")))
	_, err := collect(t, cell[1], 3)
	is.NoErr(err)
	is.True(cell[1].Record(ctx, 0, 3, event("e2")) == nil)
	// The event of a returning holder with an older term comes after the marker and is refused.
	is.True(log.AppendAsWitness(ctx, 0, &programv1.Event{Id: "late", Program: "p", Term: 2}) != nil)
	log.unavailable = true
	is.True(errors.Is(cell[1].Record(ctx, 0, 3, event("e3")), errUnavailable))
}

func TestEventsReadFromTheLogAreDropped(t *testing.T) {
	is := is.New(t)
	cell := newCell(t, 1, &fakeLog{})
	for i := range 100 {
		id := string(rune('A' + i))
		is.NoErr(cell[0].Record(context.Background(), 0, 1, event(id)))
		cell[0].DropHeld(0, id)
	}
	n, bytes := cell[0].HeldEvents()
	is.Equal(n, 0)
	is.Equal(bytes, 0)
	is.True(len(cell[0].held[0].order) <= 16)
}
