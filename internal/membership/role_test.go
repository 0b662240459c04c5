package membership

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/fakes/metastore"
	"github.com/berylpond/berylpond/platform"
)

const partitions = 12

// dealt is an assigner that keeps what it was given.
type dealt struct{ numbers []int }

func (d *dealt) Assign(numbers []int) bool {
	d.numbers = numbers
	return false
}

// fleet is a store and the members of its group, with a clock of their own.
type fleet struct {
	store *metastore.Store
	url   string
	now   time.Time
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{store: metastore.New(partitions), now: time.Now()}
	srv := httptest.NewServer(f.store)
	t.Cleanup(srv.Close)
	f.url = strings.TrimPrefix(srv.URL, "http://")
	return f
}

func (f *fleet) member(address string, cores float64) (*Membership, *dealt) {
	d := &dealt{}
	m := New(Options{
		Store: platform.NewStore(platform.NewHTTPCarrier(f.url, net.IPv4(127, 0, 0, 1))), Topic: "programs",
		Settings: platform.StoreSettings{Partitions: partitions, MinMemberTTL: time.Minute}, Self: address, Start: "1",
		Cores: cores, Assigner: d, Fed: func() bool { return false }, Changed: func() {},
	})
	m.now = func() time.Time { return f.now }
	return m, d
}

// pass lets so much time pass in steps, in each of which the members look at the group.
func (f *fleet) pass(ctx context.Context, d time.Duration, members ...*Membership) {
	for range int(d / observePause) {
		f.now = f.now.Add(observePause)
		for _, m := range members {
			m.follow(ctx)
		}
	}
}

func TestOwnerKeepsItsPartitionsWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	m, d := f.member("a:1", 1)
	f.pass(t.Context(), time.Second, m)
	is.Equal(len(d.numbers), partitions)
	f.store.SetFault(func(*http.Request) metastore.Mode { return metastore.Refuse })
	f.pass(t.Context(), 2*(idleAfter+idleSpread), m)
	is.True(m.Member())
	is.Equal(len(d.numbers), partitions)
}

func TestMemberThatIsNotNeededLeaves(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	var members []*Membership
	for i := range partitions + 1 {
		m, _ := f.member(net.JoinHostPort("10.0.0.1", string(rune('a'+i))), 1)
		m.decide(t.Context())
		members = append(members, m)
	}
	f.pass(t.Context(), idleAfter+idleSpread+time.Second, members...)
	n := 0
	for _, m := range members {
		if m.Member() {
			n++
		}
	}
	is.Equal(n, partitions)
}

func TestInstancesThatComeLaterLeaveAGroupOfEnoughOwnersAlone(t *testing.T) {
	for _, tt := range []struct {
		name   string
		owners int
		cores  float64
		joins  bool
	}{
		{"large, enough owners", 6, 1, false}, {"large, few owners", 5, 1, true},
		{"small, enough owners", 3, 0.2, false}, {"small, few owners", 2, 0.2, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			var owners []*Membership
			for i := range tt.owners {
				m, _ := f.member(net.JoinHostPort("10.0.0.1", string(rune('a'+i))), 1)
				owners = append(owners, m)
			}
			f.pass(t.Context(), time.Second, owners...)
			m, _ := f.member("10.0.0.2:1", tt.cores)
			m.role.started = f.now
			f.pass(t.Context(), stepInAfter+replenishWithin+time.Second, append(owners, m)...)
			is.Equal(m.Member(), tt.joins)
		})
	}
}

func TestNobodyJoinsAGroupThatCannotBeSeen(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	m, _ := f.member("a:1", 0.2)
	m.decide(t.Context())
	f.store.SetFault(func(*http.Request) metastore.Mode { return metastore.Refuse })
	f.pass(t.Context(), 2*(stepInAfter+replenishWithin), m)
	is.True(!m.Member())
	f.store.SetFault(nil)
	f.pass(t.Context(), stepInAfter+replenishWithin+time.Second, m)
	is.True(m.Member())
}
