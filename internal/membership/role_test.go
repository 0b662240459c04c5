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

// recordingAssigner is an Assigner that records the assigned partitions.
type recordingAssigner struct{ numbers []int }

func (d *recordingAssigner) Assign(numbers []int) bool {
	d.numbers = numbers
	return false
}

// testGroup is a store with the clock that the members of its group use.
type testGroup struct {
	store *metastore.Store
	url   string
	now   time.Time
}

func newTestGroup(t *testing.T) *testGroup {
	g := &testGroup{store: metastore.New(partitions), now: time.Now()}
	srv := httptest.NewServer(g.store)
	t.Cleanup(srv.Close)
	g.url = strings.TrimPrefix(srv.URL, "http://")
	return g
}

func (g *testGroup) member(address string, cores float64) (*Membership, *recordingAssigner) {
	d := &recordingAssigner{}
	m := New(Options{
		Store: platform.NewStore(platform.NewHTTPTransport(g.url, net.IPv4(127, 0, 0, 1))), Topic: "programs",
		Settings: platform.StoreSettings{Partitions: partitions, MinMemberTTL: time.Minute}, Self: address, StartID: "1",
		Cores: cores, Assigner: d, UsesFeed: func() bool { return false }, OnChange: func() {},
	})
	m.now = func() time.Time { return g.now }
	return m, d
}

// advance advances the clock by d in steps of pollInterval and polls every member at each step.
func (g *testGroup) advance(ctx context.Context, d time.Duration, members ...*Membership) {
	for range int(d / pollInterval) {
		g.now = g.now.Add(pollInterval)
		for _, m := range members {
			m.poll(ctx)
		}
	}
}

func TestOwnerKeepsItsPartitionsWhileTheStoreIsUnavailable(t *testing.T) {
	is := is.New(t)
	g := newTestGroup(t)
	m, d := g.member("a:1", 1)
	g.advance(t.Context(), time.Second, m)
	is.Equal(len(d.numbers), partitions)
	g.store.SetFault(func(*http.Request) metastore.Mode { return metastore.Refuse })
	g.advance(t.Context(), 2*(minIdleTimeout+idleJitter), m)
	is.True(m.IsMember())
	is.Equal(len(d.numbers), partitions)
}

func TestMemberWithoutPartitionsLeaves(t *testing.T) {
	is := is.New(t)
	g := newTestGroup(t)
	var members []*Membership
	for i := range partitions + 1 {
		m, _ := g.member(net.JoinHostPort("10.0.0.1", string(rune('a'+i))), 1)
		m.updateRole(t.Context())
		members = append(members, m)
	}
	g.advance(t.Context(), minIdleTimeout+idleJitter+time.Second, members...)
	n := 0
	for _, m := range members {
		if m.IsMember() {
			n++
		}
	}
	is.Equal(n, partitions)
}

func TestLateInstanceJoinsOnlyAGroupWithFewOwners(t *testing.T) {
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
			g := newTestGroup(t)
			var owners []*Membership
			for i := range tt.owners {
				m, _ := g.member(net.JoinHostPort("10.0.0.1", string(rune('a'+i))), 1)
				owners = append(owners, m)
			}
			g.advance(t.Context(), time.Second, owners...)
			m, _ := g.member("10.0.0.2:1", tt.cores)
			m.role.started = g.now
			g.advance(t.Context(), smallInstanceDelay+joinJitter+time.Second, append(owners, m)...)
			is.Equal(m.IsMember(), tt.joins)
		})
	}
}

func TestNoInstanceJoinsWhileTheStoreIsUnavailable(t *testing.T) {
	is := is.New(t)
	g := newTestGroup(t)
	m, _ := g.member("a:1", 0.2)
	m.updateRole(t.Context())
	g.store.SetFault(func(*http.Request) metastore.Mode { return metastore.Refuse })
	g.advance(t.Context(), 2*(smallInstanceDelay+joinJitter), m)
	is.True(!m.IsMember())
	g.store.SetFault(nil)
	g.advance(t.Context(), smallInstanceDelay+joinJitter+time.Second, m)
	is.True(m.IsMember())
}
