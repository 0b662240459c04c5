package feed

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/internal/routing"
)

// reader simulates an instance that reads the store. It is called directly instead of over a network.
type reader struct {
	server       *Server
	age          time.Duration
	sinceContact time.Duration
	unreachable  bool
	evacuated    []string
	// offset is zero for a reader of an older build.
	offset int64
	// onCall, if not nil, is called before each response.
	onCall   func()
	backends []fleet.Entry
}

func newReader() *reader {
	r := &reader{}
	r.server = NewServer("start", View{
		Configuration: func() *routing.Configuration { return nil },
		Backends:      func() []fleet.Entry { return r.backends },
		Owners:        func() map[int]string { return map[int]string{0: "reader"} },
		Evacuated:     func() ([]string, int64) { return r.evacuated, r.offset },
		Age:           func() (time.Duration, bool) { return r.age, true },
		SinceContact:  func() time.Duration { return r.sinceContact },
	})
	return r
}

func (r *reader) Conn(string) (grpc.ClientConnInterface, error) {
	if r.unreachable {
		return nil, errors.New("unreachable")
	}
	return r, nil
}

func (r *reader) Invoke(ctx context.Context, _ string, in, out any, _ ...grpc.CallOption) error {
	if r.onCall != nil {
		r.onCall()
	}
	resp := r.server.Snapshot(ctx, in.(*turnv1.SnapshotRequest))
	to := out.(*turnv1.SnapshotResponse)
	to.Start, to.Revision, to.Direct, to.AgeMs = resp.Start, resp.Revision, resp.Direct, resp.AgeMs
	to.SilenceMs, to.Changed, to.Owners, to.Backends = resp.SilenceMs, resp.Changed, resp.Owners, resp.Backends
	to.Evacuated, to.OperatorOffset = resp.Evacuated, resp.OperatorOffset
	return nil
}

func (r *reader) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, errors.New("streams are not supported")
}

func newTestClient(r *reader, now *time.Time) *Client {
	c := NewClient(r, func() []string { return []string{"reader"} }, func() *routing.Configuration { return nil },
		func() bool { return true }, Sink{
			Configuration: func([]byte) {}, Backends: func([]fleet.Entry) {}, Owners: func(map[int]string) {},
			Evacuated: func([]string, int64) {},
		})
	c.now = func() time.Time { return *now }
	c.pickReader()
	return c
}

func TestContactIsTheReadersContactWithTheStore(t *testing.T) {
	is := is.New(t)
	r, now := newReader(), time.Now()
	c := newTestClient(r, &now)
	is.True(!c.ContactWithin(time.Minute))
	// The store delays its response to the reader's long poll but not those to its other calls.
	r.age, r.sinceContact = 900*time.Millisecond, 100*time.Millisecond
	is.True(c.poll(t.Context()))
	is.True(c.ContactWithin(200 * time.Millisecond))
	is.True(!c.ConfirmedWithin(800 * time.Millisecond))
	// The reader is isolated together with this instance: it still responds, but the store responds to neither of them.
	r.age, r.sinceContact = 1300*time.Millisecond, 1250*time.Millisecond
	is.True(c.poll(t.Context()))
	is.True(!c.ContactWithin(1200 * time.Millisecond))
	is.True(c.ConfirmedWithin(1800 * time.Millisecond))
}

func TestContactExpiresWhenTheReaderIsUnreachable(t *testing.T) {
	is := is.New(t)
	r, now := newReader(), time.Now()
	c := newTestClient(r, &now)
	is.True(c.poll(t.Context()))
	r.unreachable = true
	is.True(!c.poll(t.Context()))
	now = now.Add(time.Second)
	is.True(!c.ContactWithin(time.Second))
}

// followed is what a follower was told of evacuations.
type followed struct {
	names  []string
	offset int64
	calls  int
}

func follow(r *reader, now *time.Time) (*Client, *followed) {
	c, got := newTestClient(r, now), &followed{}
	c.sink.Evacuated = func(names []string, offset int64) {
		*got = followed{names: names, offset: offset, calls: got.calls + 1}
	}
	return c, got
}

func TestFollowerLearnsOfEvacuationsFromItsReader(t *testing.T) {
	is := is.New(t)
	r, now := newReader(), time.Now()
	c, got := follow(r, &now)
	r.offset = 4
	is.True(c.poll(t.Context()))
	is.Equal(len(got.names), 0)
	r.evacuated, r.offset = []string{"a"}, 5
	r.server.NotifyChanged()
	is.True(c.poll(t.Context()))
	is.Equal(got.names, []string{"a"})
	is.Equal(got.offset, int64(5))
	is.True(c.EvacuationsConfirmedWithin(time.Second))
	// Without a change the response leaves the data centres out, which takes nothing back.
	calls := got.calls
	is.True(c.poll(t.Context()))
	is.Equal(got.calls, calls)
	is.Equal(c.EvacuationsConfirmed(), now)
}

// Guards against a reader of an older build, which lists no evacuated data centres, passing for one that knows of none.
func TestReaderOfAnOlderBuildTakesNoEvacuationBack(t *testing.T) {
	is := is.New(t)
	r, now := newReader(), time.Now()
	c, got := follow(r, &now)
	is.True(c.poll(t.Context()))
	is.Equal(got.calls, 0)
	is.True(c.ConfirmedWithin(time.Second))
	is.True(!c.EvacuationsConfirmedWithin(time.Second))
	is.True(c.EvacuationsConfirmed().IsZero())
}

// Guards against a response that waited in the kernel while the instance stood still counting as news.
func TestResponseReadAfterAStandstillDoesNotConfirmTheView(t *testing.T) {
	is := is.New(t)
	r, now := newReader(), time.Now()
	c, got := follow(r, &now)
	r.offset, r.onCall = 4, func() { now = now.Add(6 * time.Second) }
	is.True(!c.poll(t.Context()))
	is.Equal(got.calls, 0)
	is.True(!c.ConfirmedWithin(time.Minute))
	r.onCall = nil
	is.True(c.poll(t.Context()))
	is.True(c.EvacuationsConfirmedWithin(time.Second))
}

// Guards against followers sending cold servers what the reader of the store knows to be too much.
func TestFollowersLearnWhichServersAreCold(t *testing.T) {
	is := is.New(t)
	r, now := newReader(), time.Now()
	r.backends = []fleet.Entry{
		{ID: "cold", Cold: fleet.ColdReport{Known: true, Left: 2 * time.Second, AsOf: now}},
		{ID: "warm", Cold: fleet.ColdReport{Known: true, AsOf: now.Add(-time.Minute)}},
		{ID: "unknown"},
	}
	c := newTestClient(r, &now)
	var got []fleet.Entry
	c.sink.Backends = func(e []fleet.Entry) { got = e }
	is.True(c.poll(t.Context()))
	is.Equal(got[0].Cold.Known, true)
	is.Equal(got[0].Cold.Left, 2*time.Second)
	is.True(got[1].Cold.Known)
	is.Equal(got[1].Cold.Left, time.Duration(0))
	is.True(now.Sub(got[1].Cold.AsOf) >= time.Minute) // as old as at the reader
	is.True(!got[2].Cold.Known)
}
